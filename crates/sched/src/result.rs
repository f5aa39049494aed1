//! The result of an attempt: the job is requeued, moves, or gets its final outcome.

use base::JobId;
use base::Millis;

use crate::coordinator::Coordinator;
use crate::job::EndReason;
use crate::job::Job;
use crate::message::AttemptResult;
use crate::message::Report;
use crate::message::StopCause;
use crate::record::JobOutcome;
use crate::record::JobPhase;
use crate::record::JobRecord;
use crate::stage::is_finished;

/// Number of attempts in a row that are lost with their workers soon after the start, after which the
/// job is held responsible for it.
const MAX_LOSSES: u32 = 4;

/// Time for which an attempt must have run, so that its loss shows nothing of the job.
const EARLY_LOSS: Millis = Millis(5_000);

impl Coordinator {
    /// The record that ends the attempt; `None` if the durable record needs no change.
    pub(crate) fn final_record(&self, id: &JobId) -> Option<JobRecord> {
        let job = self.jobs.get(id)?;
        let mut record = job.rec.clone();
        record.ran |= job.may_have_run();
        record.saved = job.saved();
        match self.is_early_loss(job) {
            Some(true) => record.losses += 1,
            Some(false) => record.losses = 0,
            None => {}
        }
        let outcome = outcome(job, &record, self.overrides.restart_all);
        record.phase = outcome.map_or(JobPhase::Queued, |outcome| JobPhase::Done { outcome });
        if let (JobPhase::Queued, Some(domain)) = (&record.phase, job.move_to()) {
            record.domain = domain.clone();
        }
        (record != job.rec).then_some(record)
    }

    /// Whether a worker lost the job's tasks soon after their start; `None` if the attempt ended early
    /// for another reason, which shows nothing.
    fn is_early_loss(&self, job: &Job) -> Option<bool> {
        // A worker that restarts may be silent before that.
        let early = self.timing.silence_timeout + self.timing.start_timeout + EARLY_LOSS;
        let is_early = self.now.since(job.active_since) < early;
        let is_lost = job.tasks.iter().any(|t| t.vanished && t.start_sent);
        match is_early {
            true => is_lost.then_some(true),
            false => Some(false),
        }
    }

    /// Ends the attempt once its result is durable.
    pub(crate) fn advance_finalise(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.write.is_some() {
            return false;
        }
        let attempt = job.plan.as_ref().map_or(job.rec.attempt, |p| p.attempt);
        let result = self.attempt_result(job);
        let requeued = matches!(result, AttemptResult::Requeued { .. });
        self.drop_attempt(id);
        self.notify(Report::Ended {
            job: id.clone(),
            attempt,
            result,
        });
        if !requeued {
            self.jobs.remove(id);
            return false;
        }
        if self.jobs.get(id).is_some_and(|j| j.rec.cancel) {
            self.active.insert(id.clone());
            return true;
        }
        self.notify_queued(id);
        false
    }

    fn attempt_result(&self, job: &Job) -> AttemptResult {
        if let JobPhase::Done { outcome } = &job.rec.phase {
            return AttemptResult::Done(outcome.clone());
        }
        if job.rec.domain != self.domain {
            return AttemptResult::Moved(job.rec.domain.clone());
        }
        let failed = match job.end_reason {
            Some(EndReason::TaskFailed(_)) => job.blame.clone(),
            _ => Vec::new(),
        };
        AttemptResult::Requeued { failed }
    }
}

/// The final outcome of the job, or `None` if it may be attempted again. `record` holds what is known
/// after this attempt; `restart` allows another attempt in any case.
fn outcome(job: &Job, record: &JobRecord, restart: bool) -> Option<JobOutcome> {
    if is_finished(job) {
        return Some(JobOutcome::Finished);
    }
    let ran = record.ran;
    let reason = job.end_reason.clone().unwrap_or(EndReason::Abort);
    let is_harmful = record.losses >= MAX_LOSSES;
    let restartable = !ran || restart || job.is_restartable() && !is_harmful;
    let ran_seen = job.tasks.iter().any(|t| t.ran);
    match reason {
        EndReason::Request(StopCause::Cancel) => Some(JobOutcome::Cancelled { ran }),
        EndReason::Request(StopCause::Fail(evidence)) if ran => {
            Some(JobOutcome::Failed { evidence })
        }
        EndReason::Request(StopCause::Fail(reason)) => Some(JobOutcome::Refused { reason }),
        _ if restartable => None,
        EndReason::Lost(_) | EndReason::Abort if is_harmful => {
            let losses = record.losses;
            Some(JobOutcome::Failed {
                evidence: format!(
                    "{losses} attempts in a row were lost with their workers soon after the start"
                ),
            })
        }
        EndReason::TaskFailed(evidence) => Some(JobOutcome::Failed { evidence }),
        EndReason::Lost(evidence) if ran_seen => Some(JobOutcome::Failed { evidence }),
        EndReason::Lost(reason) => Some(JobOutcome::Unknown { reason }),
        _ if ran_seen => Some(JobOutcome::Failed {
            evidence: "stopped after it had run, and not to be repeated".into(),
        }),
        _ => Some(JobOutcome::Unknown {
            reason: "a start could not be completed, and a task may have run".into(),
        }),
    }
}
