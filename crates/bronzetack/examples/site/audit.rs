//! Compares what callers were told with what the workers recorded.

use std::collections::BTreeMap;

use base::Attempt;
use base::JobId;
use base::Millis;
use fakes::tasks::PhaseChange;
use work::wire::TaskPhase;

use crate::load::Heard;
use crate::load::Told;
use crate::start::Site;

/// Longest time that some tasks of a gang may run while others do not.
const PARTIAL_MAX: Millis = Millis(3_500);

/// What does not agree.
pub struct Audit {
    /// Requests that a caller was told had run, and no worker ran.
    pub lost: u64,
    /// Requests that may run once and ran more often.
    pub doubled: u64,
    /// Requests that a caller was told had not run, and a worker ran.
    pub false_not_run: u64,
    /// Gangs that ran partially for longer than allowed.
    pub partial: u64,
}

impl Audit {
    /// Audits a site after its load.
    pub fn of(site: &Site, told: &Told) -> Audit {
        let runs = runs(site);
        let count = |id: &str| runs.get(id).copied().unwrap_or(0);
        let mut audit = Audit {
            lost: 0,
            doubled: 0,
            false_not_run: 0,
            partial: partial_gangs(site),
        };
        for request in &told.requests {
            let runs = count(&request.id);
            audit.lost += u64::from(request.heard == Heard::Ran && runs == 0);
            audit.doubled += u64::from(!request.idempotent && runs > 1);
            audit.false_not_run += u64::from(request.heard == Heard::NotRun && runs > 0);
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

/// When the tasks of one attempt began and ended to run.
#[derive(Default)]
struct Gang {
    begun: Vec<Millis>,
    ended: Vec<Millis>,
    held: usize,
}

fn partial_gangs(site: &Site) -> u64 {
    let mut gangs: BTreeMap<(JobId, Attempt), Gang> = BTreeMap::new();
    for worker in site.workers() {
        for change in worker.lock().tasks.changes() {
            let key = (change.key.job.clone(), change.key.attempt);
            note(gangs.entry(key).or_default(), change);
        }
    }
    gangs.values().filter(|gang| is_partial(gang)).count() as u64
}

fn note(gang: &mut Gang, change: &PhaseChange) {
    match change.phase {
        TaskPhase::Held => gang.held += 1,
        TaskPhase::Running => gang.begun.push(change.at),
        _ => gang.ended.push(change.at),
    }
}

fn is_partial(gang: &Gang) -> bool {
    let Some(first) = gang.begun.iter().min() else {
        return false;
    };
    let last = gang.begun.iter().max().unwrap_or(first);
    let end = gang.ended.iter().max().copied().unwrap_or(Millis::MAX);
    if gang.begun.len() < gang.held {
        return end.since(*first) > PARTIAL_MAX;
    }
    last.since(*first) > PARTIAL_MAX
}
