//! Inputs and actions of the planner.

use std::fmt;

use base::Accels;
use base::Attempt;
use base::DomainId;
use base::GangPlan;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::OrgId;
use base::WorkerId;
use base::WorkerSpec;

use crate::policy::Policy;

/// An event reported to the planner.
#[derive(Clone, Debug)]
pub enum Input {
    /// A start failed before any task ran; the job is queued again.
    Aborted {
        /// Job of the start.
        job: JobId,
        /// The worker that refused the start or did not answer.
        blame: Option<WorkerId>,
    },
    /// A coordinator that has taken over found this job running.
    Adopt {
        /// The job as submitted.
        spec: JobSpec,
        /// Its placement, with the number of the attempt.
        plan: GangPlan,
        /// When the attempt started.
        since: Millis,
        /// Run time saved by checkpoints, over all attempts.
        saved: Millis,
    },
    /// Cancels jobs in one step. Ids of unknown jobs are ignored.
    Cancel(Vec<JobId>),
    /// A failure domain is back in service.
    DomainBack(DomainId),
    /// A failure domain is taken out of service; nothing starts there from this step on.
    DomainOut(DomainId),
    /// All tasks of an attempt have ended and its accelerators are free.
    Ended {
        /// Job of the attempt.
        job: JobId,
        /// Result of the attempt.
        how: Ended,
    },
    /// Allows or forbids starts; forbidden at first. Report all known workers before the first
    /// permission, since jobs that fit on none of them are refused then.
    AllowStarts(bool),
    /// Replaces all settings.
    Policy(Policy),
    /// A job saved a checkpoint.
    Progress {
        /// Job that saved it.
        job: JobId,
        /// Run time saved by checkpoints, over all attempts.
        saved: Millis,
    },
    /// All tasks of an attempt have started to run.
    Running {
        /// Job of the attempt.
        job: JobId,
    },
    /// Queues a job. A job that is already known is ignored.
    Submit {
        /// The job as submitted.
        spec: JobSpec,
        /// When the caller submitted it.
        at: Millis,
        /// Number of the next attempt. If it is above 1, the job may have run already.
        attempt: Attempt,
        /// Run time saved by checkpoints of earlier attempts.
        saved: Millis,
    },
    /// The time has passed without another event. Expected at least once a second.
    Tick,
    /// A worker is lost. [`Input::Ended`] follows for its jobs once they are known to have
    /// ended.
    WorkerDown(WorkerId),
    /// A worker is leaving: running jobs continue or are moved, and nothing new starts there.
    WorkerLeaving(WorkerId),
    /// A worker is in service, for the first time or again.
    WorkerUp(WorkerSpec),
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ended {
    /// A task failed on its own.
    Failed {
        /// Worker of the failed task.
        worker: WorkerId,
    },
    /// All tasks succeeded.
    Finished,
    /// The attempt was stopped, and its tasks may have run.
    Stopped {
        /// Run time saved by checkpoints, over all attempts.
        saved: Millis,
    },
    /// The job no longer runs, but its result is unknown.
    Unknown,
}

/// Reason of a stop order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// The job was cancelled.
    Cancel,
    /// Its failure domain was taken out of service.
    DomainOut,
    /// It is moved so that a waiting gang fits.
    Move,
    /// A guarantee or an urgent job claims its accelerators.
    Reclaim,
    /// One of its workers is lost or leaving.
    Worker,
}

/// Why a job that never ran was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RefuseReason {
    /// It was cancelled before it started.
    Cancelled,
    /// No failure domain that it may use could hold it even with all workers free.
    NoRoom,
    /// It cannot be stopped and does not fit on the capacity outside guarantees.
    NoSurplus,
    /// It needs more accelerators than its organisation's quota.
    Quota {
        /// Quota of the organisation.
        quota: Accels,
    },
    /// Its shape breaks a limit, given as text.
    Shape(&'static str),
    /// Its organisation is not in the policy.
    UnknownOrg,
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RefuseReason::Cancelled => f.write_str("cancelled before it started"),
            RefuseReason::NoRoom => f.write_str("no failure domain can hold its shape"),
            RefuseReason::NoSurplus => {
                f.write_str("it cannot be stopped and does not fit beside the guarantees")
            }
            RefuseReason::Quota { quota } => write!(f, "over the quota of {quota} accelerators"),
            RefuseReason::Shape(problem) => f.write_str(problem),
            RefuseReason::UnknownOrg => f.write_str("its organisation is not known"),
        }
    }
}

/// What is known about a job that ran and is given up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// Distinct workers on which it failed, sorted by id.
    pub workers: Vec<WorkerId>,
    /// Number of failed attempts.
    pub failures: u32,
    /// Whether it must not be started again, because it is neither idempotent nor
    /// checkpointable.
    pub not_restartable: bool,
    /// Whether the result of the last attempt is unknown.
    pub unknown: bool,
    /// Why it can never run again, if that is the reason.
    pub refused: Option<RefuseReason>,
}

/// What the caller has to carry out or to report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// A cancelled job that had started has ended.
    Cancelled {
        /// Job that has ended.
        job: JobId,
    },
    /// A guarantee that was short can be met again.
    GuaranteeMet {
        /// Index in [`Policy::guarantees`].
        guarantee: usize,
        /// Organisation that holds the guarantee.
        org: OrgId,
    },
    /// A job that may have run is given up.
    Fail {
        /// Job that is given up.
        job: JobId,
        /// Failures that led to it.
        evidence: Evidence,
    },
    /// A worker was isolated: nothing but probes is placed on it.
    Isolate(WorkerId),
    /// An isolated worker may run one small job as a probe.
    Probe(WorkerId),
    /// A job is refused; it never ran and will not run.
    Refuse {
        /// Job that is refused.
        job: JobId,
        /// Why it cannot run.
        reason: RefuseReason,
    },
    /// A queued job is handed back so that another failure domain can take it.
    Release {
        /// Job that is handed back.
        job: JobId,
        /// Number of its next attempt.
        attempt: Attempt,
        /// Run time saved by checkpoints, over all attempts.
        saved: Millis,
    },
    /// A worker is no longer isolated.
    Restore(WorkerId),
    /// Some gangs of a guarantee have no places. Reported again when their number changes.
    GuaranteeShort {
        /// Index in [`Policy::guarantees`].
        guarantee: usize,
        /// Organisation that holds the guarantee.
        org: OrgId,
        /// Number of its gangs without places.
        missing: u32,
    },
    /// Start all tasks of a gang.
    Start(GangPlan),
    /// Stop an attempt; [`Input::Ended`] is expected to follow.
    Stop {
        /// Job of the attempt.
        job: JobId,
        /// Reason of the order.
        why: StopReason,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
}
