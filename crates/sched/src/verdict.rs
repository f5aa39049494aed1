//! The result of an attempt: queued again, moved, or the job's one outcome.

use base::JobId;

use crate::coord::Coordinator;
use crate::job::Job;
use crate::job::Why;
use crate::message::Ending;
use crate::message::Report;
use crate::message::StopWhy;
use crate::record::JobOutcome;
use crate::record::JobPhase;
use crate::record::JobRecord;
use crate::stage::is_finished;

impl Coordinator {
    /// The record that settles the attempt; `None` if the durable one does already.
    pub(crate) fn settled(&self, id: &JobId) -> Option<JobRecord> {
        let job = self.jobs.get(id)?;
        let mut record = job.rec.clone();
        record.ran |= job.may_have_run();
        record.saved = job.saved();
        let outcome = outcome(job, record.ran, self.faults.restart_all);
        record.phase = outcome.map_or(JobPhase::Queued, |outcome| JobPhase::Done { outcome });
        if let (JobPhase::Queued, Some(domain)) = (&record.phase, job.move_to()) {
            record.domain = domain.clone();
        }
        (record != job.rec).then_some(record)
    }

    /// Ends the attempt once its result is durable.
    pub(crate) fn advance_settle(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.write.is_some() {
            return false;
        }
        let attempt = job.plan.as_ref().map_or(job.rec.attempt, |p| p.attempt);
        let how = self.ending(job);
        let kept = matches!(how, Ending::Requeued { .. });
        self.drop_attempt(id);
        self.tell(Report::Ended {
            job: id.clone(),
            attempt,
            how,
        });
        if !kept {
            self.jobs.remove(id);
            return false;
        }
        if self.jobs.get(id).is_some_and(|j| j.rec.cancel) {
            self.active.insert(id.clone());
            return true;
        }
        self.tell_queued(id);
        false
    }

    fn ending(&self, job: &Job) -> Ending {
        if let JobPhase::Done { outcome } = &job.rec.phase {
            return Ending::Done(outcome.clone());
        }
        if job.rec.domain != self.domain {
            return Ending::Moved(job.rec.domain.clone());
        }
        let failed = match job.why {
            Some(Why::TaskFailed(_)) => job.blame.clone(),
            _ => Vec::new(),
        };
        Ending::Requeued { failed }
    }
}

/// The outcome of the job, if its attempt was its last. `ran` says whether any task of any
/// attempt may have run.
fn outcome(job: &Job, ran: bool, restart: bool) -> Option<JobOutcome> {
    if is_finished(job) {
        return Some(JobOutcome::Finished);
    }
    let why = job.why.clone().unwrap_or(Why::Abort);
    let again = !ran || restart || job.is_restartable();
    let seen = job.tasks.iter().any(|t| t.ran);
    match why {
        Why::Request(StopWhy::Cancel) => Some(JobOutcome::Cancelled { ran }),
        Why::Request(StopWhy::Fail(evidence)) if ran => Some(JobOutcome::Failed { evidence }),
        Why::Request(StopWhy::Fail(reason)) => Some(JobOutcome::Refused { reason }),
        _ if again => None,
        Why::TaskFailed(evidence) => Some(JobOutcome::Failed { evidence }),
        Why::Lost(evidence) if seen => Some(JobOutcome::Failed { evidence }),
        Why::Lost(reason) => Some(JobOutcome::Unknown { reason }),
        _ if seen => Some(JobOutcome::Failed {
            evidence: "stopped after it had run, and not to be repeated".into(),
        }),
        _ => Some(JobOutcome::Unknown {
            reason: "a start could not be completed, and a task may have run".into(),
        }),
    }
}
