//! Messages of the worker protocol.
//!
//! - `POST /v1/epoch` with [`EpochCall`] returns [`WorkerState`], or status 409 with
//!   [`Fenced`] if the worker has accepted a higher epoch.
//! - `POST /v1/tasks` with [`TaskCall`] returns [`TaskReply`], or status 409 with
//!   [`Fenced`].
//! - `GET /v1/state` returns [`WorkerState`].

use base::Accels;
use base::Attempt;
use base::Bytes;
use base::Cores;
use base::DomainId;
use base::Epoch;
use base::JobId;
use base::Millis;
use base::OrgId;
use base::WorkerId;
use serde::Deserialize;
use serde::Serialize;

/// Asks a worker to accept the epoch of a coordinator and to refuse lower ones from then on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochCall {
    /// The coordinator's failure domain.
    pub domain: DomainId,
    /// The coordinator's epoch.
    pub epoch: Epoch,
}

/// Refusal of a call whose epoch is lower than the accepted one. The call was not carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fenced {
    /// The epoch that the worker has accepted.
    pub epoch: Epoch,
}

/// Identifies a task of an attempt to run a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The attempt to run the job.
    pub attempt: Attempt,
    /// Index of the task in its gang.
    pub task: u32,
}

/// Operations on tasks under one epoch, carried out in order. Each operation is idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskCall {
    /// The coordinator's epoch.
    pub epoch: Epoch,
    /// The operations, in order.
    pub ops: Vec<TaskOp>,
}

/// One operation on a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "op")]
pub enum TaskOp {
    /// Makes the task save a checkpoint.
    Checkpoint {
        /// The task.
        key: TaskKey,
    },
    /// Removes an ended task from the worker's state.
    Forget {
        /// The task.
        key: TaskKey,
    },
    /// Extends the lease of a reserved or running task.
    Renew {
        /// The task.
        key: TaskKey,
        /// Duration of the lease, from receipt of the operation.
        lease: Millis,
    },
    /// Reserves accelerators for a task without starting it.
    Reserve {
        /// The task.
        key: TaskKey,
        /// Resources and payload of the task.
        task: TaskSpec,
        /// Duration of the lease, from receipt of the operation. The worker frees the
        /// accelerators when it expires.
        lease: Millis,
    },
    /// Starts a reserved task.
    Start {
        /// The task.
        key: TaskKey,
        /// Duration of the lease, from receipt of the operation. The worker stops the task when
        /// it expires.
        lease: Millis,
    },
    /// Stops a reserved or running task. A task that the worker does not know is recorded as
    /// stopped, so that a delayed reservation for it is refused.
    Stop {
        /// The task.
        key: TaskKey,
    },
    /// Limits the speed of a running task.
    Throttle {
        /// The task.
        key: TaskKey,
        /// Percentage of full speed, 1 to 100.
        percent: u8,
    },
}

/// Resources and payload of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskSpec {
    /// The organisation that the task runs for.
    pub org: OrgId,
    /// Index of the first reserved accelerator on the worker.
    pub first: u32,
    /// Number of accelerators; their indices are consecutive.
    pub count: Accels,
    /// Number of CPU cores.
    pub cores: Cores,
    /// Size of the memory.
    pub memory: Bytes,
    /// Run time at full speed that was saved by the last checkpoint of an earlier attempt.
    pub saved: Millis,
    /// What to run, in a format that only the worker interprets. Empty in reports of workers.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub payload: String,
}

/// Response to a [`TaskCall`]: result of each operation, and state of all tasks afterwards.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReply {
    /// One result for each operation, in the same order.
    pub results: Vec<OpResult>,
    /// All tasks of the worker.
    pub tasks: Vec<TaskReport>,
    /// Whether the worker is leaving and refuses new reservations.
    pub leaving: bool,
}

/// Result of one operation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OpResult {
    /// Another task uses the accelerators, cores or memory.
    Busy,
    /// Carried out, now or when the operation was received before.
    Done,
    /// The worker is leaving and refuses new reservations.
    Leaving,
    /// The worker does not know the task, or the task has ended.
    NoTask,
}

/// Phase of a task on its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task exited with an error.
    Failed,
    /// The task exited successfully.
    Finished,
    /// Accelerators are reserved; the task has not been started.
    Held,
    /// The lease expired, and the worker ended the task.
    Lapsed,
    /// The task is running.
    Running,
    /// A stop operation ended the task.
    Stopped,
}

impl TaskPhase {
    /// Whether the task uses accelerators: reserved or running.
    pub fn is_active(self) -> bool {
        matches!(self, TaskPhase::Held | TaskPhase::Running)
    }
}

/// State of a task as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// The task.
    pub key: TaskKey,
    /// Its resources, without the payload.
    pub task: TaskSpec,
    /// Its present phase.
    pub phase: TaskPhase,
    /// Whether the task was ever started.
    pub ran: bool,
    /// Run time at full speed that was saved by the last checkpoint.
    pub saved: Millis,
}

/// State of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerState {
    /// Id of the worker.
    pub worker: WorkerId,
    /// The highest epoch that the worker has accepted.
    pub epoch: Epoch,
    /// Whether the worker is leaving and refuses new reservations.
    pub leaving: bool,
    /// All tasks, including ended ones that were not removed by [`TaskOp::Forget`].
    pub tasks: Vec<TaskReport>,
}
