//! Recognition of workers that fail whatever they start.
//!
//! Load pattern: within a moment one worker in eight begins to fail every run within milliseconds
//! of its start, and says that it is well. A gang of eight then meets such a worker in two of three
//! attempts, and many jobs use their attempts up within a second. So once several workers have
//! failed runs of different jobs early, those on which a run has since survived its start are
//! preferred, and a job that has already failed waits for them for a while.
//!
//! A worker on which several jobs fail is paused. Failures point at a worker only beside others that do
//! better: at most half of a pool is paused at a time, and what finds no other room for a while is tried
//! on paused workers too.

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

/// Number of different jobs that fail in a row on a worker before it is paused.
const FAILURES_BEFORE_PAUSE: usize = 2;

/// First pause of a worker on which jobs fail in a row. It doubles with each further job.
const FIRST_PAUSE: Millis = Millis(3_000);

/// Limit on how often the pause doubles.
const MAX_DOUBLINGS: usize = 4;

/// Time for which a failure counts against its worker: twice the longest pause, so that a worker that
/// fails again after each pause stays known.
const PAUSE_MEMORY: Millis = Millis((FIRST_PAUSE.0 << MAX_DOUBLINGS) * 2);

/// At most one in so many workers of a pool is paused.
const PAUSED_SHARE: usize = 2;

/// Times after which a step that finds no other room is tried on paused workers: one that lasts, and any
/// other, which a failure costs an attempt.
const PAUSE_PATIENCE: (Millis, Millis) = (Millis(500), Millis(2_000));

/// A failure that counts against its worker.
#[derive(Clone, Debug)]
struct WorkerFailure {
    job: JobId,
    at: Millis,
    /// End of the pause that it causes.
    until: Millis,
}

/// Failures of different jobs on a worker since work last went well there.
#[derive(Clone, Debug, Default)]
pub struct WorkerFailures {
    recent: Vec<WorkerFailure>,
    /// End of the pauses by failures that were dropped while there was an alarm.
    alarm_until: Millis,
}

impl WorkerFailures {
    /// Records that a run of the job failed. `is_alarming` is whether this alone points at the worker.
    pub fn record(&mut self, job: &JobId, is_alarming: bool, now: Millis) {
        self.note(job, now, now);
        let jobs = self.recent.len();
        let pause = match jobs.checked_sub(FAILURES_BEFORE_PAUSE) {
            Some(more) => Millis(FIRST_PAUSE.0 << more.min(MAX_DOUBLINGS)),
            None if is_alarming => FIRST_PAUSE,
            None => Millis::ZERO,
        };
        self.note(job, now, now + pause);
    }

    /// Records that a run of the job made no progress, which pauses the worker for this time.
    pub fn record_stall(&mut self, job: &JobId, pause: Millis, now: Millis) {
        self.note(job, now, now + pause);
    }

    fn note(&mut self, job: &JobId, at: Millis, until: Millis) {
        let is_recent = |f: &WorkerFailure| at.since(f.at) <= PAUSE_MEMORY;
        self.recent.retain(is_recent);
        let known = self.recent.iter().position(|f| f.job == *job);
        let failure = WorkerFailure {
            job: job.clone(),
            at,
            until: known.map_or(until, |num| until.max(self.recent[num].until)),
        };
        match known {
            Some(num) => self.recent[num] = failure,
            None => self.recent.push(failure),
        }
    }

    /// Drops the failures of a job that seems itself responsible for them. The pause that they caused
    /// ends, unless there is an alarm: many workers fail then, and a sound job may meet several.
    pub fn exonerate(&mut self, job: &JobId, is_alarm: bool) {
        if is_alarm {
            self.alarm_until = self.paused_until();
        }
        self.recent.retain(|f| f.job != *job);
    }

    /// Drops the failures before a run started that went well.
    pub fn refute_before(&mut self, started: Millis) {
        self.recent.retain(|f| f.at >= started);
        if self.recent.is_empty() {
            self.alarm_until = Millis::ZERO;
        }
    }

    /// Drops all failures.
    pub fn clear(&mut self) {
        *self = WorkerFailures::default();
    }

    /// Number of jobs whose failures count.
    pub fn jobs(&self, now: Millis) -> usize {
        let recent = self.recent.iter();
        recent.filter(|f| now.since(f.at) <= PAUSE_MEMORY).count()
    }

    /// End of the latest pause that the failures cause.
    pub fn paused_until(&self) -> Millis {
        let ends = self.recent.iter().map(|f| f.until);
        ends.fold(self.alarm_until, Millis::max)
    }

    /// Time of the latest failure.
    pub fn latest(&self) -> Millis {
        let times = self.recent.iter().map(|f| f.at);
        times.max().unwrap_or_default()
    }
}

/// Most workers of a pool that are paused at a time, of `workers` that could be used.
pub fn most_paused(workers: usize) -> usize {
    workers / PAUSED_SHARE
}

/// Whether a step that has waited for `waited` is tried on paused workers too. Unless it `lasts`, it
/// waits for others while the pool is busy.
pub fn tries_paused(waited: Millis, lasts: bool, is_quiet: bool) -> bool {
    let (lasting, other) = PAUSE_PATIENCE;
    match lasts {
        true => waited >= lasting,
        false => waited >= other && is_quiet,
    }
}

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
