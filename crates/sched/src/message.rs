//! Inputs and actions of the coordinator.

use base::Attempt;
use base::DomainId;
use base::Epoch;
use base::GangPlan;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::Revision;
use base::WorkerId;
use work::wire::EpochCall;
use work::wire::TaskCall;
use work::wire::TaskReply;
use work::wire::WorkerState;

use crate::record::JobOutcome;
use crate::record::JobRecord;

/// Id of a call to a worker; unique within a coordinator.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Inputs of the coordinator, fed by the host.
#[derive(Clone, Debug)]
pub enum Input {
    /// The lock was lost, or another process holds it.
    Deposed,
    /// Whether operators have taken the failure domain out of service. No gang is started while it
    /// is out.
    DomainOut(bool),
    /// Whether the lease of the lock may have expired. While it may, no gang is started. Running
    /// gangs are still renewed, which is safe since workers refuse an epoch after a higher one.
    LockSuspect(bool),
    /// The lock was acquired.
    Elected {
        /// Epoch of the lock, higher than any before.
        epoch: Epoch,
    },
    /// A record was deleted from the platform.
    RecordDeleted(JobId),
    /// Permits starts for a limited time, during which the settings held are proved to be the
    /// newest.
    Permit {
        /// End of the permit.
        until: Millis,
    },
    /// A placement of a queued job by the planner. The coordinator sets its attempt number.
    Plan(GangPlan),
    /// New or changed records in the platform. Accepted in any role.
    Records(Vec<(JobRecord, Revision)>),
    /// The result of a call.
    Reply {
        /// Id of the call.
        call: CallId,
        /// The worker called.
        worker: WorkerId,
        /// The answer, or why there is none.
        result: CallResult,
    },
    /// The planner stops jobs. Jobs that are stopped together belong in one input, so that each
    /// worker gets one call.
    Stop {
        /// Jobs to stop.
        jobs: Vec<JobId>,
        /// Whether running jobs that can checkpoint do so first.
        checkpoint: bool,
        /// Why, and what becomes of the jobs.
        cause: StopCause,
    },
    /// All records as of some time after the election were delivered.
    Synced,
    /// Limits the speed of the tasks of a job.
    Throttle {
        /// The job to limit.
        job: JobId,
        /// Share of full speed in percent, 1 to 100.
        percent: u8,
    },
    /// Time has passed. The host sends one about every 100 ms.
    Tick,
    /// All workers of the failure domain that the platform lists, including those that are leaving.
    Workers(Vec<WorkerId>),
    /// The result of a write.
    Wrote {
        /// The job whose record was written.
        job: JobId,
        /// Operation id in the record written.
        op: u64,
        /// Whether the record was written.
        result: WriteResult,
    },
}

/// Result of a call to a worker.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// The worker refused the epoch.
    Fenced(Epoch),
    /// There was no answer; the call may or may not have been carried out.
    Lost,
    /// The call was not sent.
    NotSent,
    /// Answer to an epoch call.
    State(WorkerState),
    /// Answer to a task call.
    Tasks(TaskReply),
}

/// Result of a write.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// Not written: the platform holds this record and revision instead, or none.
    Conflict(Option<Box<(JobRecord, Revision)>>),
    /// Written as this revision.
    Done(Revision),
    /// There was no answer; the write may or may not have taken effect.
    Lost,
    /// The write was not sent, or the platform refused it because of overload.
    NotSent,
}

/// Why a job is stopped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StopCause {
    /// Its caller or an operator cancels the job.
    Cancel,
    /// The job cannot succeed, for the reason given. Its outcome is `Refused` if it never ran and
    /// `Failed` otherwise.
    Fail(String),
    /// The job continues in another failure domain.
    Move(DomainId),
    /// The job goes back to the queue.
    Requeue,
}

/// Actions for the host.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a worker. The host feeds back exactly one `Reply`, with `Lost` after the time-out.
    Call {
        /// Id of the call.
        call: CallId,
        /// The worker to call.
        worker: WorkerId,
        /// The request.
        body: CallBody,
    },
    /// Pass a report to the planner and the log.
    Notify(Report),
    /// Write a record if the platform still holds the expected revision. The host may add the
    /// condition that the lock is still held under the epoch of the record.
    Write {
        /// The record; `epoch` and `op` identify the write.
        record: Box<JobRecord>,
        /// The revision to replace.
        expect: Revision,
    },
}

/// Request of a call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallBody {
    /// `POST /v1/epoch`: announces the epoch and reads the state of the worker.
    Epoch(EpochCall),
    /// `POST /v1/tasks`: operations on tasks.
    Tasks(TaskCall),
}

/// Result of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The job has its final outcome.
    Done(JobOutcome),
    /// The job moved to another failure domain.
    Moved(DomainId),
    /// The job is queued again; a `Queued` report follows.
    Requeued {
        /// Workers on which a task reported failure.
        failed: Vec<WorkerId>,
    },
}

/// Reports to the planner and the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// A gang could not be started. The job is queued again once its reservations are released.
    Aborted {
        /// The job that was not started.
        job: JobId,
        /// Workers that prevented the start, such as those that refused or did not answer.
        blame: Vec<WorkerId>,
    },
    /// An attempt begun by a former coordinator is continued, or stopped if it was not released.
    Adopted {
        /// The job as submitted.
        spec: Box<JobSpec>,
        /// Placement of the attempt.
        plan: GangPlan,
        /// When it was released to run, or adopted if it was not.
        since: Millis,
        /// Work saved so far.
        saved: Millis,
    },
    /// The coordinator lost its role.
    Deposed {
        /// The higher epoch, if a worker reported it.
        by: Option<Epoch>,
    },
    /// An attempt ended, and all its accelerators are free.
    Ended {
        /// The job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: Attempt,
        /// What became of the job.
        result: AttemptResult,
    },
    /// A job waits for a placement.
    Queued {
        /// The job as submitted.
        spec: Box<JobSpec>,
        /// Number of its next attempt.
        attempt: Attempt,
        /// When it was submitted.
        submitted: Millis,
        /// Work saved by earlier attempts.
        saved: Millis,
    },
    /// Take-over is finished: jobs of former coordinators were adopted.
    Ready,
    /// All tasks of a gang were started.
    Running {
        /// The job of the gang.
        job: JobId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// This coordinator is no longer responsible for a job, since another process moved it,
    /// deleted it or wrote its outcome. Tasks that are left of it are stopped.
    Dropped(JobId),
    /// A worker that was reported as silent answers again.
    WorkerRecovered(WorkerId),
    /// A worker has not answered for too long.
    WorkerSilent(WorkerId),
}
