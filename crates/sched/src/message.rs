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

/// Names a call to a worker; unique within a coordinator.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// What the host tells the coordinator.
#[derive(Clone, Debug)]
pub enum Input {
    /// The lock was lost, or somebody else holds it.
    Deposed,
    /// Whether the failure domain is taken out.
    DomainOut(bool),
    /// Whether the lock may have lapsed. While it may, no gang is started; running ones are
    /// renewed, since workers refuse the epoch once there is a higher one.
    Doubt(bool),
    /// The lock was acquired.
    Elected {
        /// Its epoch, higher than any before.
        epoch: Epoch,
    },
    /// A record was removed from the platform.
    Erased(JobId),
    /// The settings held are proved the newest until a time.
    Permit {
        /// End of the proof.
        until: Millis,
    },
    /// The planner's placement of a queued job. The attempt in it is set by the coordinator.
    Plan(GangPlan),
    /// Records of the platform, at any time and in any role.
    Records(Vec<(JobRecord, Revision)>),
    /// The result of a call.
    Reply {
        /// The call.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// The result.
        result: CallResult,
    },
    /// The planner wants jobs to end their attempt, or their life; a wave is one input.
    Stop {
        /// The jobs.
        jobs: Vec<JobId>,
        /// Whether their tasks save their work first.
        checkpoint: bool,
        /// Why.
        why: StopWhy,
    },
    /// Every record was delivered as it was at some time after the election.
    Synced,
    /// Slows the tasks of a job.
    Throttle {
        /// The job.
        job: JobId,
        /// Share of full speed, 1 to 100.
        percent: u8,
    },
    /// Time passes. Wanted every 100 ms or so.
    Tick,
    /// The workers of the failure domain that the platform lists, leaving ones included.
    Workers(Vec<WorkerId>),
    /// The result of a write.
    Wrote {
        /// The job.
        job: JobId,
        /// The operation id of the record written.
        op: u64,
        /// The result.
        result: WriteResult,
    },
}

/// Result of a call to a worker.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// The worker refused the epoch.
    Fenced(Epoch),
    /// No answer; it may or may not have been carried out.
    Lost,
    /// Nothing was sent.
    NotSent,
    /// Answer to an epoch call.
    State(WorkerState),
    /// Answer to a task call.
    Tasks(TaskReply),
}

/// Result of a write.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// Not written: this is what the platform holds, if anything.
    Conflict(Option<Box<(JobRecord, Revision)>>),
    /// Written.
    Done(Revision),
    /// No answer; it may or may not have taken effect.
    Lost,
    /// Nothing was sent, or the platform refused it for overload.
    NotSent,
}

/// Why a job is stopped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StopWhy {
    /// Its caller or an operator ends it.
    Cancel,
    /// Its evidence says that it cannot succeed. Refused if it never ran, failed otherwise.
    Fail(String),
    /// It continues in another failure domain.
    Move(DomainId),
    /// It goes back to the queue.
    Requeue,
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a worker. Exactly one reply is wanted, `Lost` after the call's time-out.
    Call {
        /// Names the call.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// The call.
        body: CallBody,
    },
    /// Tell the planner and the log.
    Tell(Report),
    /// Write a record if the platform holds the expected revision. The host may add the
    /// condition that the lock is still held under the record's epoch.
    Write {
        /// The record; `epoch` and `op` identify the write.
        record: Box<JobRecord>,
        /// The revision that it replaces.
        expect: Revision,
    },
}

/// A call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallBody {
    /// `POST /v1/epoch`; also reads the state back.
    Epoch(EpochCall),
    /// `POST /v1/tasks`.
    Tasks(TaskCall),
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The job has its outcome.
    Done(JobOutcome),
    /// The job moved to another failure domain.
    Moved(DomainId),
    /// The job is queued again; a `Queue` report follows.
    Requeued {
        /// Workers on which a task failed by itself.
        failed: Vec<WorkerId>,
    },
}

/// What happened, for the planner and the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// A start was given up; the job is queued again as soon as its tasks are released.
    Aborted {
        /// The job.
        job: JobId,
        /// Workers that refused or did not answer.
        blame: Vec<WorkerId>,
    },
    /// A gang of a former coordinator goes on.
    Adopted {
        /// The job.
        spec: Box<JobSpec>,
        /// Its placement.
        plan: GangPlan,
        /// When it was released to run.
        since: Millis,
        /// Work saved so far.
        saved: Millis,
    },
    /// The coordinator no longer acts.
    Deposed {
        /// The higher epoch, where a worker told it.
        by: Option<Epoch>,
    },
    /// An attempt ended, and all its accelerators are free.
    Ended {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// How.
        how: Ending,
    },
    /// A job waits for a placement.
    Queue {
        /// The job.
        spec: Box<JobSpec>,
        /// The attempt that its next start will be.
        attempt: Attempt,
        /// When it was submitted.
        submitted: Millis,
        /// Work saved by earlier attempts.
        saved: Millis,
    },
    /// Take-over finished: everything that runs is known.
    Ready,
    /// A whole gang runs.
    Running {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
    },
    /// A job is no longer this coordinator's: moved, removed, or given its outcome by another.
    /// What is left of an attempt is stopped.
    Unqueued(JobId),
    /// A silent worker answers again.
    WorkerBack(WorkerId),
    /// A worker does not answer.
    WorkerSilent(WorkerId),
}
