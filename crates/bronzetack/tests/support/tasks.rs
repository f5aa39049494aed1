//! What the worker stand-ins of a site recorded of tasks, and who coordinates.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::Attempt;
use base::Millis;
use fakes::tasks::PhaseChange;
use fakes::worker::WorkerState;
use work::wire::TaskPhase;

use super::callers::get_json;
use super::Site;

/// From the submission of a job of 0.4 s to the sight of its end.
pub const SHORT: Duration = Duration::from_secs(3);

/// Start of urgent work, the coordinator's death included.
pub const URGENT: Duration = Duration::from_millis(4_100);

/// Time in which a failure domain that was taken out stops starting tasks.
pub const OUT: Duration = Duration::from_secs(2);

/// The phase changes of a job's tasks on these workers, in order of time.
pub fn changes(workers: &[WorkerState], job: &str) -> Vec<PhaseChange> {
    let mut all = Vec::new();
    for worker in workers {
        let inner = worker.lock();
        let of_job = inner.tasks.changes().iter();
        all.extend(of_job.filter(|c| c.key.job.as_str() == job).cloned());
    }
    all.sort_by_key(|change| change.at);
    all
}

/// How many tasks of a job began to run.
pub fn started(site: &Site, job: &str) -> usize {
    let changes = changes(&site.worker_states(), job);
    let running = changes.iter().filter(|c| c.phase == TaskPhase::Running);
    running.count()
}

/// How many tasks of each attempt of a job began to run.
pub fn by_attempt(workers: &[WorkerState], job: &str) -> BTreeMap<Attempt, usize> {
    let mut counts = BTreeMap::new();
    for change in changes(workers, job) {
        if change.phase == TaskPhase::Running {
            *counts.entry(change.key.attempt).or_default() += 1;
        }
    }
    counts
}

/// How long after `from` a task of a job still ran that had begun before.
pub fn ran_on(workers: &[WorkerState], job: &str, from: Millis) -> Millis {
    let changes = changes(workers, job);
    let begun = changes.iter().filter(|c| c.phase == TaskPhase::Running);
    let before = begun.filter(|c| c.at <= from);
    let ends = before.map(|b| {
        let mut later = changes.iter().filter(|c| c.key == b.key && c.at >= b.at);
        later
            .find(|c| !c.phase.is_active())
            .map_or(Millis::MAX, |c| c.at)
    });
    ends.max().unwrap_or(from).since(from)
}

/// The index of the daemon that coordinates a failure domain. Asks all daemons.
pub fn coordinator(site: &Site, domain: &str) -> Option<usize> {
    (0..site.daemons.len()).find(|i| {
        let status = get_json(site.daemons[*i].ports.operators, "/v1/status");
        let held = status["coordinators"].as_array();
        held.is_some_and(|held| held.iter().any(|c| c["domain"] == domain))
    })
}

/// Waits for a coordinator of a failure domain.
pub fn await_coordinator(site: &Site, domain: &str) -> usize {
    let begun = Instant::now();
    loop {
        if let Some(holder) = coordinator(site, domain) {
            return holder;
        }
        assert!(begun.elapsed() < super::SOON, "no coordinator of {domain}");
        std::thread::sleep(super::POLL);
    }
}
