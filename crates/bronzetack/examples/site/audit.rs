//! Compares the outcomes reported to callers with the runs recorded by the workers.

use std::collections::BTreeMap;

use base::Attempt;
use base::JobId;
use base::Millis;
use fakes::tasks::PhaseChange;
use work::wire::TaskPhase;

use crate::load::Outcome;
use crate::load::Results;
use crate::start::Site;

/// Longest time that some tasks of a gang may run while others do not.
const MAX_PARTIAL_TIME: Millis = Millis(3_500);

/// Number of violations of each kind.
pub struct Audit {
    /// Requests reported as run that no worker ran.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Requests reported as not run that a worker ran.
    pub false_not_run: u64,
    /// Gangs of which only some tasks ran for longer than [`MAX_PARTIAL_TIME`].
    pub partial: u64,
}

impl Audit {
    /// Audits a site after the load has ended.
    pub fn of(site: &Site, results: &Results) -> Audit {
        let runs = runs(site);
        let count = |id: &str| runs.get(id).copied().unwrap_or(0);
        let mut audit = Audit {
            lost: 0,
            doubled: 0,
            false_not_run: 0,
            partial: partial_gangs(site),
        };
        for request in &results.requests {
            let runs = count(&request.id);
            audit.lost += u64::from(request.outcome == Outcome::Ran && runs == 0);
            audit.doubled += u64::from(!request.idempotent && runs > 1);
            audit.false_not_run += u64::from(request.outcome == Outcome::NotRun && runs > 0);
        }
        audit
    }
}

fn runs(site: &Site) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for worker in site.workers() {
        for (id, runs) in &worker.lock().runs {
            *all.entry(id.clone()).or_default() += runs;
        }
    }
    all
}

/// Start and end times of the tasks of one attempt of a job.
#[derive(Default)]
struct Gang {
    started: Vec<Millis>,
    ended: Vec<Millis>,
    /// Tasks that were held, whether or not they started.
    held: usize,
}

fn partial_gangs(site: &Site) -> u64 {
    let mut gangs: BTreeMap<(JobId, Attempt), Gang> = BTreeMap::new();
    for worker in site.workers() {
        for change in worker.lock().tasks.changes() {
            let key = (change.key.job.clone(), change.key.attempt);
            record(gangs.entry(key).or_default(), change);
        }
    }
    gangs.values().filter(|gang| is_partial(gang)).count() as u64
}

fn record(gang: &mut Gang, change: &PhaseChange) {
    match change.phase {
        TaskPhase::Held => gang.held += 1,
        TaskPhase::Running => gang.started.push(change.at),
        _ => gang.ended.push(change.at),
    }
}

fn is_partial(gang: &Gang) -> bool {
    let Some(first) = gang.started.iter().min() else {
        return false;
    };
    let last = gang.started.iter().max().unwrap_or(first);
    let end = gang.ended.iter().max().copied().unwrap_or(Millis::MAX);
    if gang.started.len() < gang.held {
        return end.since(*first) > MAX_PARTIAL_TIME;
    }
    last.since(*first) > MAX_PARTIAL_TIME
}
