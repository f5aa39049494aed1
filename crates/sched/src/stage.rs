//! Stages of an attempt that has tasks on workers, from reservation to the final stop.

use base::JobId;
use base::Millis;
use base::WorkerId;

use crate::coordinator::Coordinator;
use crate::job::EndReason;
use crate::job::Job;
use crate::job::Stage;
use crate::job::Task;
use crate::job::TaskState;
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
        if self.domain_out || !refused.is_empty() {
            self.stop(id, EndReason::Abort, refused);
        } else if missing.is_empty() {
            self.commit(id);
        } else if self.now >= until {
            self.stop(id, EndReason::Abort, missing);
        } else {
            return false;
        }
        true
    }

    /// Writes the release of the gang to the record. Start operations are sent only once it is
    /// durable, so that a later coordinator knows that tasks may have run.
    fn commit(&mut self, id: &JobId) {
        let now = self.now;
        let until = now + self.timing.commit_timeout;
        let early = self.overrides.early_start;
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
            until: self.now + self.timing.start_timeout,
        };
        let allowed = self.can_start();
        let renewed_since = self.now.since(Millis(self.timing.reserve_lease.0 / 2));
        let early = self.overrides.early_start;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Stage::Commit { until } = job.stage else {
            return false;
        };
        let durable = job.write.is_none() && job.is_released();
        let held = |t: &Task| t.state == TaskState::Held && t.renewed >= renewed_since;
        let ended = workers_of(job, |t| t.state.is_over());
        if self.domain_out || !ended.is_empty() {
            self.stop(id, EndReason::Abort, ended);
        } else if (durable || early) && allowed && job.tasks.iter().all(held) {
            job.stage = start;
        } else if self.now >= until {
            self.stop(id, EndReason::Abort, Vec::new());
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
            job.active_since = now;
            let attempt = job.rec.attempt;
            let job = id.clone();
            self.notify(Report::Running { job, attempt });
        } else if let Some((reason, blame)) = gang_fault(job) {
            self.stop(id, reason, blame);
        } else if now >= until {
            let blame = workers_of(job, |t| !started(t));
            self.stop(id, EndReason::Abort, blame);
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
            self.stop(id, EndReason::Finished, Vec::new());
            return true;
        }
        let unstarted = workers_of(job, |t| t.state == TaskState::Held);
        let silent = workers_of(job, |t| self.is_silent(job, t));
        let fault = if let Some(fault) = gang_fault(job) {
            fault
        } else if !unstarted.is_empty() {
            (EndReason::Lost("a task was not started".into()), unstarted)
        } else if !silent.is_empty() {
            (EndReason::Lost("a worker does not answer".into()), silent)
        } else {
            return false;
        };
        self.stop(id, fault.0, fault.1);
        true
    }

    fn is_silent(&self, job: &Job, task: &Task) -> bool {
        let heard = self.workers.get(&task.place.worker).map(|w| w.last_heard);
        let last = heard.unwrap_or_default().max(job.active_since);
        !task.state.is_over() && self.now.since(last) >= self.timing.silence_timeout
    }

    pub(crate) fn advance_checkpoint(&mut self, id: &JobId) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Stage::Checkpoint { until } = job.stage else {
            return false;
        };
        let saved = job
            .tasks
            .iter()
            .all(|t| t.checkpointed || t.state.is_over());
        if !saved && now < until && gang_fault(job).is_none() {
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
        let inactive = job.tasks.iter().all(|t| t.is_inactive(now));
        if !inactive || job.write.is_some() {
            return false;
        }
        job.stage = Stage::Finalise;
        let record = self.final_record(id);
        if let Some(record) = record {
            self.write(id, record);
        }
        true
    }
}

/// The workers of the tasks that match `pick`.
fn workers_of(job: &Job, pick: impl Fn(&Task) -> bool) -> Vec<WorkerId> {
    let picked = job.tasks.iter().filter(|t| pick(t));
    picked.map(|t| t.place.worker.clone()).collect()
}

/// Whether every task ended with success.
pub(crate) fn is_finished(job: &Job) -> bool {
    let finished = |t: &Task| t.state == TaskState::Finished;
    !job.tasks.is_empty() && job.tasks.iter().all(finished)
}

/// Why a gang cannot continue, according to its workers, and the workers on which tasks failed
/// or ended.
fn gang_fault(job: &Job) -> Option<(EndReason, Vec<WorkerId>)> {
    let failed = workers_of(job, |t| t.state == TaskState::Failed);
    if let Some(first) = failed.first() {
        let evidence = format!(
            "{} of {} tasks failed, one on {first}",
            failed.len(),
            job.tasks.len()
        );
        return Some((EndReason::TaskFailed(evidence), failed));
    }
    let ended = workers_of(job, |t| t.state == TaskState::Ended);
    let first = ended.first()?;
    let reason = format!("a task on {first} was ended");
    Some((EndReason::Lost(reason), ended))
}
