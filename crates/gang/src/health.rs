//! Isolation of failing workers. A failure counts against the worker or against the job,
//! depending on where else the job has failed and which other jobs have failed there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Millis;
use base::WorkerId;

use crate::event::Action;
use crate::job::Phase;
use crate::planner::Planner;
use crate::planner::Scan;
use crate::site::JobKey;

/// A job is given up after this many failed attempts for each healthy worker that
/// [`crate::Policy::failures`] asks for, even if it failed on fewer workers.
const FAILED_ATTEMPTS_FACTOR: u32 = 4;

/// Limit of the doublings of [`crate::Policy::probe`].
const MAX_PROBE_DOUBLINGS: u32 = 6;

/// Recent failures of one worker.
#[derive(Clone, Debug, Default)]
struct FailureRecord {
    /// Jobs that failed on it since its last success.
    strikes: BTreeSet<JobKey>,
    /// When an isolated worker is due for a probe.
    next_probe: Option<Millis>,
    /// Isolations and failed probes since its last success.
    isolations: u32,
}

/// Failure records by worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    records: BTreeMap<WorkerId, FailureRecord>,
}

impl Planner {
    /// Records a failure of a job on a worker, which may isolate the worker.
    pub(crate) fn record_failure(&mut self, id: &WorkerId, key: JobKey) {
        let Some(w) = self.site.worker_index(id) else {
            return;
        };
        let blamed = self.is_blamed(key, id);
        let record = self.health.records.entry(id.clone()).or_default();
        if blamed {
            record.strikes.insert(key);
        }
        let strikes = record.strikes.len() as u32;
        let worker = &mut self.site.workers[w];
        worker.recent_failures = strikes.min(self.policy.strikes);
        let probing = worker.probing;
        if probing && blamed {
            self.finish_probe(w, false);
        } else if strikes >= self.policy.strikes && !worker.isolated {
            self.isolate(w);
        }
    }

    /// Whether a job's failure counts against the worker: only if the job has failed on no
    /// other healthy worker.
    fn is_blamed(&self, key: JobKey, id: &WorkerId) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let others = job.failed_on.iter().filter(|f| *f != id);
        others.filter(|f| self.is_healthy(f, key)).count() == 0
    }

    /// Whether a worker is not isolated and no other job has failed on it since its last
    /// success.
    fn is_healthy(&self, id: &WorkerId, key: JobKey) -> bool {
        let Some(w) = self.site.worker_index(id) else {
            return false;
        };
        let strikes = self.health.records.get(id).map(|r| &r.strikes);
        let others = strikes.map_or(0, |s| s.iter().filter(|k| **k != key).count());
        !self.site.workers[w].isolated && others == 0
    }

    /// Whether a job has failed on so many healthy workers, or so many times, that it is given
    /// up.
    pub(crate) fn has_failed_too_often(&self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let healthy = job
            .failed_on
            .iter()
            .filter(|f| self.is_healthy(f, key))
            .count() as u32;
        healthy >= self.policy.failures
            || job.failed_attempts >= FAILED_ATTEMPTS_FACTOR * self.policy.failures
    }

    /// Records a job's success, which ends probes and clears the failures of its workers.
    pub(crate) fn record_success(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let workers: BTreeSet<usize> = job.places.iter().map(|p| p.worker).collect();
        for w in workers {
            if self.site.workers[w].probing {
                self.finish_probe(w, true);
            }
            let worker = &mut self.site.workers[w];
            worker.recent_failures = 0;
            if !worker.isolated {
                self.health.records.remove(&worker.spec.id);
            }
        }
    }

    /// Isolates a worker, unless that exceeds [`crate::Policy::isolation`].
    fn isolate(&mut self, w: usize) {
        if self.exceeds_isolation(self.site.workers[w].spec.accels.0) {
            return;
        }
        self.site.workers[w].isolated = true;
        let id = self.site.workers[w].spec.id.clone();
        self.schedule_probe(&id);
        self.unassign_worker(w);
        for key in self.jobs_on(w) {
            let claiming = self
                .jobs
                .get(&key)
                .is_some_and(|j| j.phase == Phase::Claiming);
            if claiming {
                self.requeue(key);
            }
        }
        self.actions.push(Action::Isolate(id));
        self.rebind();
        self.scan = Scan::All;
    }

    /// Whether isolating `more` accelerators on top of those isolated exceeds the limit.
    fn exceeds_isolation(&self, more: u32) -> bool {
        let sum: u32 = self.site.workers.iter().map(|w| w.spec.accels.0).sum();
        let isolated = self.site.workers.iter().filter(|w| w.isolated);
        let now: u32 = isolated.map(|w| w.spec.accels.0).sum();
        (now + more) * 100 > sum * self.policy.isolation
    }

    /// Restores isolated workers until no more are isolated than the settings allow.
    pub(crate) fn enforce_isolation_limit(&mut self) {
        for w in 0..self.site.workers.len() {
            if !self.exceeds_isolation(0) {
                return;
            }
            if self.site.workers[w].isolated {
                self.restore(w);
            }
        }
    }

    fn schedule_probe(&mut self, id: &WorkerId) {
        let record = self.health.records.entry(id.clone()).or_default();
        let wait = self.policy.probe.0 << record.isolations.min(MAX_PROBE_DOUBLINGS);
        record.next_probe = Some(self.now + Millis(wait));
        record.isolations += 1;
    }

    /// Allows one small job on each isolated worker whose probe is due.
    pub(crate) fn probe_workers(&mut self) {
        let now = self.now;
        for record in self.health.records.iter_mut() {
            let (id, record) = record;
            let Some(w) = self.site.worker_index(id) else {
                continue;
            };
            let worker = &mut self.site.workers[w];
            let due = record.next_probe.is_some_and(|at| at <= now);
            if due && worker.isolated && !worker.probing {
                worker.probing = true;
                record.next_probe = None;
                self.actions.push(Action::Probe(id.clone()));
                self.scan = Scan::All;
            }
        }
    }

    fn finish_probe(&mut self, w: usize, succeeded: bool) {
        if succeeded {
            self.restore(w);
            self.rebind();
            self.scan = Scan::All;
            return;
        }
        self.site.workers[w].probing = false;
        let id = self.site.workers[w].spec.id.clone();
        self.schedule_probe(&id);
    }

    fn restore(&mut self, w: usize) {
        let worker = &mut self.site.workers[w];
        worker.probing = false;
        worker.isolated = false;
        worker.recent_failures = 0;
        let id = worker.spec.id.clone();
        self.health.records.remove(&id);
        self.actions.push(Action::Restore(id));
    }
}
