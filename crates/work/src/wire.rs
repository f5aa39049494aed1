//! Messages of the worker protocol.
//!
//! - `POST /v1/epoch` with [`EpochCall`] answers [`WorkerState`], or status 409 with
//!   [`Fenced`] when the worker has accepted a higher epoch.
//! - `POST /v1/tasks` with [`TaskCall`] answers [`TaskReply`], or 409 with [`Fenced`].
//! - `GET /v1/state` answers [`WorkerState`].

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
    /// Its epoch.
    pub epoch: Epoch,
}

/// Refusal of a call under an epoch lower than the accepted one. Nothing was done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fenced {
    /// The accepted epoch.
    pub epoch: Epoch,
}

/// Names one task of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// Index of the task in its gang.
    pub task: u32,
}

/// Operations on tasks under one epoch, carried out in order. Each may be repeated safely.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskCall {
    /// The coordinator's epoch.
    pub epoch: Epoch,
    /// The operations.
    pub ops: Vec<TaskOp>,
}

/// One operation on a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "op")]
pub enum TaskOp {
    /// Saves the task's work so far.
    Checkpoint {
        /// The task.
        key: TaskKey,
    },
    /// Drops an ended task from the worker's report.
    Forget {
        /// The task.
        key: TaskKey,
    },
    /// Extends the lease of a held or running task.
    Renew {
        /// The task.
        key: TaskKey,
        /// Lease from now on.
        lease: Millis,
    },
    /// Holds accelerators for a task without running it.
    Reserve {
        /// The task.
        key: TaskKey,
        /// What the task needs and does.
        task: TaskSpec,
        /// Lease from now on; the worker lets go when it lapses.
        lease: Millis,
    },
    /// Runs a held task.
    Start {
        /// The task.
        key: TaskKey,
        /// Lease from now on; the worker stops the task when it lapses.
        lease: Millis,
    },
    /// Ends a held or running task. A task that the worker does not know is remembered as
    /// stopped, so that a delayed reservation cannot bring it back.
    Stop {
        /// The task.
        key: TaskKey,
    },
    /// Slows a running task to a share of its speed.
    Throttle {
        /// The task.
        key: TaskKey,
        /// Share of full speed, 1 to 100.
        percent: u8,
    },
}

/// What a task needs and does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskSpec {
    /// The organisation it runs for.
    pub org: OrgId,
    /// Index of the first accelerator.
    pub first: u32,
    /// Number of adjacent accelerators.
    pub count: Accels,
    /// Cores.
    pub cores: Cores,
    /// Memory.
    pub memory: Bytes,
    /// Work already saved by a checkpoint of an earlier attempt.
    pub saved: Millis,
    /// What the task runs, in the worker's own terms. Workers leave it out of their reports.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub payload: String,
}

/// Result of each operation, in order, and the state afterwards of the tasks touched.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReply {
    /// One result an operation.
    pub results: Vec<OpResult>,
    /// All tasks of this worker.
    pub tasks: Vec<TaskReport>,
    /// Whether the worker is leaving and takes no new reservation.
    pub leaving: bool,
}

/// Result of one operation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OpResult {
    /// Accelerators, cores or memory are taken by another task.
    Busy,
    /// Done, now or by an earlier copy of the operation.
    Done,
    /// The worker is leaving.
    Leaving,
    /// The worker does not know the task, or it has ended.
    NoTask,
}

/// Life of a task on its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// Ended by itself with an error.
    Failed,
    /// Ended by itself with success.
    Finished,
    /// Accelerators are held; it does not run.
    Held,
    /// The lease lapsed; the worker ended it.
    Lapsed,
    /// It runs.
    Running,
    /// Ended by a stop operation.
    Stopped,
}

impl TaskPhase {
    /// Whether the task holds accelerators.
    pub fn is_active(self) -> bool {
        matches!(self, TaskPhase::Held | TaskPhase::Running)
    }
}

/// State of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// The task.
    pub key: TaskKey,
    /// What it needs and does.
    pub task: TaskSpec,
    /// Its phase.
    pub phase: TaskPhase,
    /// Whether it ever ran.
    pub ran: bool,
    /// Work saved by the last checkpoint.
    pub saved: Millis,
}

/// State of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerState {
    /// The worker.
    pub worker: WorkerId,
    /// The highest epoch accepted.
    pub epoch: Epoch,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its tasks, ended ones until they are forgotten.
    pub tasks: Vec<TaskReport>,
}
