//! Stages of an attempt that has tasks on workers.

use base::JobId;
use base::Millis;
use base::WorkerId;

use crate::coord::Coordinator;
use crate::job::Job;
use crate::job::Stage;
use crate::job::Task;
use crate::job::TaskState;
use crate::job::Why;
use crate::message::Report;
use crate::record::JobPhase;

impl Coordinator {
    pub(crate) fn advance_reserve(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Stage::Reserve { until } = job.stage else {
            return false;
        };
        let refused = workers_of(job, |t| t.refused || t.state.is_over());
        let missing = workers_of(job, |t| t.state != TaskState::Held);
        if self.out || !refused.is_empty() {
            self.stop(id, Why::Abort, refused);
        } else if missing.is_empty() {
            self.commit(id);
        } else if self.now >= until {
            self.stop(id, Why::Abort, missing);
        } else {
            return false;
        }
        true
    }

    /// Records the release before any start operation is sent.
    fn commit(&mut self, id: &JobId) {
        let now = self.now;
        let until = now + self.timing.commit_within;
        let early = self.faults.early_start;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(plan) = job.plan.clone() else {
            return;
        };
        job.stage = Stage::Commit { until };
        let mut record = job.rec.clone();
        record.phase = JobPhase::Running { plan, since: now };
        if !early {
            self.write(id, record);
        }
    }

    pub(crate) fn advance_commit(&mut self, id: &JobId) -> bool {
        let start = Stage::Start {
            until: self.now + self.timing.start_within,
        };
        let allowed = self.can_start();
        let fresh = self.now.since(Millis(self.timing.hold_lease.0 / 2));
        let early = self.faults.early_start;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Stage::Commit { until } = job.stage else {
            return false;
        };
        let durable = job.write.is_none() && job.is_released();
        let held = |t: &Task| t.state == TaskState::Held && t.renewed >= fresh;
        let lapsed = workers_of(job, |t| t.state.is_over());
        if self.out || !lapsed.is_empty() {
            self.stop(id, Why::Abort, lapsed);
        } else if (durable || early) && allowed && job.tasks.iter().all(held) {
            job.stage = start;
        } else if self.now >= until {
            self.stop(id, Why::Abort, Vec::new());
        } else {
            return false;
        }
        true
    }

    pub(crate) fn advance_start(&mut self, id: &JobId) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Stage::Start { until } = job.stage else {
            return false;
        };
        let started = |t: &Task| matches!(t.state, TaskState::Finished | TaskState::Running);
        if job.tasks.iter().all(started) {
            job.stage = Stage::Run;
            job.begun = now;
            let attempt = job.rec.attempt;
            let job = id.clone();
            self.tell(Report::Running { job, attempt });
        } else if let Some((why, blame)) = broken(job) {
            self.stop(id, why, blame);
        } else if now >= until {
            let blame = workers_of(job, |t| !started(t));
            self.stop(id, Why::Abort, blame);
        } else {
            return false;
        }
        true
    }

    pub(crate) fn advance_run(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if is_finished(job) {
            self.stop(id, Why::Finished, Vec::new());
            return true;
        }
        let unstarted = workers_of(job, |t| t.state == TaskState::Held);
        let silent = workers_of(job, |t| self.is_silent(job, t));
        let fault = if let Some(fault) = broken(job) {
            fault
        } else if !unstarted.is_empty() {
            (Why::Lost("a task was not started".into()), unstarted)
        } else if !silent.is_empty() {
            (Why::Lost("a worker does not answer".into()), silent)
        } else {
            return false;
        };
        self.stop(id, fault.0, fault.1);
        true
    }

    fn is_silent(&self, job: &Job, task: &Task) -> bool {
        let heard = self.workers.get(&task.place.worker).map(|w| w.heard);
        let last = heard.unwrap_or_default().max(job.begun);
        !task.state.is_over() && self.now.since(last) >= self.timing.silent_after
    }

    pub(crate) fn advance_save(&mut self, id: &JobId) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Stage::Save { until } = job.stage else {
            return false;
        };
        let kept = job.tasks.iter().all(|t| t.kept || t.state.is_over());
        if !kept && now < until && broken(job).is_none() {
            return false;
        }
        job.stage = Stage::Stop;
        true
    }

    pub(crate) fn advance_stop(&mut self, id: &JobId) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let quiet = job.tasks.iter().all(|t| t.is_quiet(now));
        if !quiet || job.write.is_some() {
            return false;
        }
        job.stage = Stage::Settle;
        let record = self.settled(id);
        if let Some(record) = record {
            self.write(id, record);
        }
        true
    }
}

/// The workers of the tasks that `pick` chooses.
fn workers_of(job: &Job, pick: impl Fn(&Task) -> bool) -> Vec<WorkerId> {
    let picked = job.tasks.iter().filter(|t| pick(t));
    picked.map(|t| t.place.worker.clone()).collect()
}

/// Whether every task ended with success.
pub(crate) fn is_finished(job: &Job) -> bool {
    let over = |t: &Task| t.state == TaskState::Finished;
    !job.tasks.is_empty() && job.tasks.iter().all(over)
}

/// Why a gang cannot go on, by what its workers reported, and the workers to blame.
fn broken(job: &Job) -> Option<(Why, Vec<WorkerId>)> {
    let failed = workers_of(job, |t| t.state == TaskState::Failed);
    if let Some(first) = failed.first() {
        let evidence = format!(
            "{} of {} tasks failed, one on {first}",
            failed.len(),
            job.tasks.len()
        );
        return Some((Why::TaskFailed(evidence), failed));
    }
    let ended = workers_of(job, |t| t.state == TaskState::Ended);
    let first = ended.first()?;
    let reason = format!("a task on {first} was ended");
    Some((Why::Lost(reason), ended))
}
