//! Task history recorded by the fake workers of a site, and the coordinators of failure domains.

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

/// Longest time from the submission of a job of 0.4 s until it is reported as finished.
pub const SHORT_JOB_MAX: Duration = Duration::from_secs(3);

/// Longest time until urgent work starts, also when the coordinator has just been killed.
pub const URGENT_START_MAX: Duration = Duration::from_millis(4_100);

/// Longest time in which tasks still start in a failure domain or on a worker taken out of service.
pub const OUT_MAX: Duration = Duration::from_secs(2);

/// Phase changes of a job's tasks on these workers, in order of time.
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

/// Number of tasks of a job that started to run.
pub fn started(site: &Site, job: &str) -> usize {
    let changes = changes(&site.worker_states(), job);
    let running = changes.iter().filter(|c| c.phase == TaskPhase::Running);
    running.count()
}

/// Number of tasks that started to run, by attempt of the job.
pub fn started_by_attempt(workers: &[WorkerState], job: &str) -> BTreeMap<Attempt, usize> {
    let mut counts = BTreeMap::new();
    for change in changes(workers, job) {
        if change.phase == TaskPhase::Running {
            *counts.entry(change.key.attempt).or_default() += 1;
        }
    }
    counts
}

/// Longest time for which a task of a job that was running at `from` continued to run.
pub fn ran_on_after(workers: &[WorkerState], job: &str, from: Millis) -> Millis {
    let changes = changes(workers, job);
    let running = changes.iter().filter(|c| c.phase == TaskPhase::Running);
    let before = running.filter(|c| c.at <= from);
    let ends = before.map(|b| {
        let mut later = changes.iter().filter(|c| c.key == b.key && c.at >= b.at);
        later
            .find(|c| !c.phase.is_active())
            .map_or(Millis::MAX, |c| c.at)
    });
    ends.max().unwrap_or(from).since(from)
}

/// Index of the daemon that coordinates a failure domain, according to the daemons' own status.
pub fn coordinator(site: &Site, domain: &str) -> Option<usize> {
    (0..site.daemons.len()).find(|i| {
        let status = get_json(site.daemons[*i].ports.operators, "/v1/status");
        let held = status["coordinators"].as_array();
        held.is_some_and(|held| held.iter().any(|c| c["domain"] == domain))
    })
}

/// Waits until a failure domain has a coordinator. Returns the daemon's index.
pub fn await_coordinator(site: &Site, domain: &str) -> usize {
    let started_at = Instant::now();
    loop {
        if let Some(index) = coordinator(site, domain) {
            return index;
        }
        assert!(
            started_at.elapsed() < super::WAIT_TIMEOUT,
            "no coordinator of {domain}"
        );
        std::thread::sleep(super::POLL_INTERVAL);
    }
}
