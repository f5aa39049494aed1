//! Recognition of workers that fail whatever they start.
//!
//! Load pattern: within a moment one worker in eight begins to fail every run within milliseconds
//! of its start, and says that it is well. A gang of eight then meets such a worker in two of three
//! attempts, and many jobs use their attempts up within a second. So once several workers have
//! failed runs of different jobs early, those on which a run has since survived its start are
//! preferred, and a job that has already failed waits for them for a while.

use base::JobId;
use base::Millis;
use base::WorkerId;

/// Age of a run up to which its failure counts as early.
const EARLY: Millis = Millis(400);

/// Age from which a run has survived its start.
pub(crate) const SURVIVED: Millis = Millis(200);

/// Number of workers, and of jobs, with early failures that raise the alarm.
const ALARM_WORKERS: usize = 3;

/// Time for which an early failure counts.
const FAILURE_MEMORY: Millis = Millis(5_000);

/// Longest waits of a job for proven workers: before an attempt after the first, and before its
/// last.
const PROOF_WAIT: (Millis, Millis) = (Millis(400), Millis(1_500));

/// An early failure.
#[derive(Clone, Debug)]
struct EarlyFailure {
    at: Millis,
    worker: WorkerId,
    job: JobId,
}

/// Recent early failures, and whether they amount to an alarm.
#[derive(Clone, Debug, Default)]
pub struct EarlyFailures {
    recent: Vec<EarlyFailure>,
    /// Time of the first failure of the alarm that is on.
    alarm: Option<Millis>,
}

impl EarlyFailures {
    /// Records that a run failed at `age`. Returns whether this points at its worker.
    pub fn record(&mut self, worker: &WorkerId, job: &JobId, age: Millis, now: Millis) -> bool {
        if age > EARLY {
            return false;
        }
        self.forget(now);
        self.recent.push(EarlyFailure {
            at: now,
            worker: worker.clone(),
            job: job.clone(),
        });
        let distinct = |same: fn(&EarlyFailure, &EarlyFailure) -> bool| {
            let firsts = self.recent.iter().enumerate().filter(|(num, failure)| {
                !self.recent[..*num].iter().any(|other| same(other, failure))
            });
            firsts.count()
        };
        let workers = distinct(|a, b| a.worker == b.worker);
        let jobs = distinct(|a, b| a.job == b.job);
        if workers >= ALARM_WORKERS && jobs >= ALARM_WORKERS {
            let first = self.recent.first().map_or(now, |f| f.at);
            self.alarm.get_or_insert(first);
        }
        self.alarm.is_some()
    }

    /// The time from which a worker must have proved itself; `None` while there is no alarm.
    pub fn alarm(&mut self, now: Millis) -> Option<Millis> {
        self.forget(now);
        self.alarm
    }

    fn forget(&mut self, now: Millis) {
        self.recent.retain(|f| now.since(f.at) <= FAILURE_MEMORY);
        if self.recent.is_empty() {
            self.alarm = None;
        }
    }
}

/// Whether a job that has failed `failures` times out of `attempts`, and has waited since then for
/// `waited`, goes on waiting for proven workers.
pub fn waits_for_proof(failures: usize, attempts: u32, waited: Millis) -> bool {
    let (usual, last) = PROOF_WAIT;
    match failures {
        0 => false,
        _ if failures + 1 >= attempts as usize => waited < last,
        _ => waited < usual,
    }
}
