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

/// What the planner is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A start did not get as far as running anything; the job is queued again.
    Aborted {
        /// The job.
        job: JobId,
        /// The worker that refused or did not answer.
        blame: Option<WorkerId>,
    },
    /// A job was found running, by a coordinator that has taken over.
    Adopt {
        /// The job.
        spec: JobSpec,
        /// Where it runs.
        plan: GangPlan,
        /// When the attempt started.
        since: Millis,
        /// Work saved by checkpoints.
        saved: Millis,
    },
    /// Jobs are cancelled, all in one pass.
    Cancel(Vec<JobId>),
    /// A failure domain is in service again.
    DomainBack(DomainId),
    /// A failure domain is taken out of service: nothing starts there from this step on.
    DomainOut(DomainId),
    /// All tasks of a job have ended and its accelerators are free.
    Ended {
        /// The job.
        job: JobId,
        /// How it ended.
        how: Ended,
    },
    /// Whether new starts are allowed at the moment. Not allowed until the first of these;
    /// all workers known so far should be given before it.
    Permit(bool),
    /// New settings.
    Policy(Policy),
    /// A checkpoint was saved.
    Progress {
        /// The job.
        job: JobId,
        /// Work saved by checkpoints, over all attempts.
        saved: Millis,
    },
    /// All tasks of a job run.
    Running {
        /// The job.
        job: JobId,
    },
    /// A job to be queued. One that is already known is left as it is.
    Submit {
        /// The job.
        spec: JobSpec,
        /// When its caller submitted it.
        at: Millis,
        /// Its next attempt. Above 1, it counts as one that may have run.
        attempt: Attempt,
        /// Work saved by checkpoints of earlier attempts.
        saved: Millis,
    },
    /// Time passes. Give at least one a second.
    Tick,
    /// A worker is gone. Its jobs are ended by [`Input::Ended`] once that is certain.
    WorkerDown(WorkerId),
    /// A worker is leaving: its jobs go on or are moved, nothing new starts there.
    WorkerLeaving(WorkerId),
    /// A worker is in service, for the first time or again.
    WorkerUp(WorkerSpec),
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ended {
    /// A task failed by itself.
    Failed {
        /// Where it failed.
        worker: WorkerId,
    },
    /// With success.
    Finished,
    /// It was stopped, after it may have run.
    Stopped {
        /// Work saved by checkpoints, over all attempts.
        saved: Millis,
    },
    /// Whether it finished is not known; it does not run any more.
    Unknown,
}

/// Why a job is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// It was cancelled.
    Cancel,
    /// Its failure domain was taken out.
    DomainOut,
    /// It makes room for a larger gang and continues elsewhere.
    Move,
    /// Its accelerators are claimed by their guarantee or by urgent work.
    Reclaim,
    /// One of its workers is gone or leaving.
    Worker,
}

/// Why a job was refused before it ever started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RefuseReason {
    /// It was cancelled before it started.
    Cancelled,
    /// No failure domain that it may use could hold it with all its workers free.
    NoRoom,
    /// It cannot be stopped, and is too large for the capacity that no guarantee needs.
    NoSurplus,
    /// It needs more accelerators than its organisation's quota.
    Quota {
        /// The quota.
        quota: Accels,
    },
    /// Its shape is malformed.
    Shape(&'static str),
    /// Its organisation is not known.
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

/// Why a job that ran is given up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// The distinct workers on which it failed, in order of their ids.
    pub workers: Vec<WorkerId>,
    /// Failed attempts.
    pub failures: u32,
    /// Whether it may not be started again since it is neither idempotent nor checkpointed.
    pub once: bool,
    /// Whether the result of the last attempt is not known.
    pub unknown: bool,
    /// Why it can never run again, if that is so.
    pub refused: Option<RefuseReason>,
}

/// What the planner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// A job was cancelled after it had started, and has ended.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// A guarantee that was short is met again.
    Covered {
        /// Index in the policy's guarantees.
        guarantee: usize,
        /// The organisation.
        org: OrgId,
    },
    /// A job that ran is given up.
    Fail {
        /// The job.
        job: JobId,
        /// Why.
        evidence: Evidence,
    },
    /// Nothing is placed on a worker any more.
    Isolate(WorkerId),
    /// An isolated worker is tried with one small job.
    Probe(WorkerId),
    /// A job is refused: it never started and will not.
    Refuse {
        /// The job.
        job: JobId,
        /// Why.
        reason: RefuseReason,
    },
    /// A queued job is handed back, so that another failure domain may take it.
    Release {
        /// The job.
        job: JobId,
        /// Its next attempt.
        attempt: Attempt,
        /// Work saved by checkpoints.
        saved: Millis,
    },
    /// An isolated worker is in full use again.
    Restore(WorkerId),
    /// Guaranteed capacity is missing.
    Short {
        /// Index in the policy's guarantees.
        guarantee: usize,
        /// The organisation.
        org: OrgId,
        /// The number of gangs that cannot be met.
        missing: u32,
    },
    /// A gang starts.
    Start(GangPlan),
    /// A job is stopped; [`Input::Ended`] follows.
    Stop {
        /// The job.
        job: JobId,
        /// Why.
        why: StopReason,
        /// Whether its work is saved first.
        checkpoint: bool,
    },
}
