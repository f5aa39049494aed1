//! Jobs, shapes and placements that the scheduling crates share.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::ids::Attempt;
use crate::ids::DomainId;
use crate::ids::JobId;
use crate::ids::JobKind;
use crate::ids::OrgId;
use crate::ids::RackId;
use crate::ids::WorkerId;
use crate::size::Accels;
use crate::size::Bytes;
use crate::size::Cores;

/// The topology within which all tasks of a gang must be placed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// One failure domain.
    #[default]
    Domain,
    /// One rack.
    Rack,
    /// One worker.
    Worker,
}

/// The resources of a gang: a number of equal tasks, each of which needs adjacent accelerators
/// on one worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of tasks.
    pub tasks: u32,
    /// Adjacent accelerators of each task; zero if tasks need none.
    pub accels: Accels,
    /// Processor cores of each task.
    #[serde(default)]
    pub cores: Cores,
    /// Memory of each task.
    #[serde(default)]
    pub memory: Bytes,
    /// The topology within which all tasks must be placed.
    #[serde(default)]
    pub spread: Spread,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Id of the job, chosen by the caller.
    pub id: JobId,
    /// The organisation on whose behalf the job runs.
    pub org: OrgId,
    /// Kind of the job. Jobs of the same kind have similar run times.
    pub kind: JobKind,
    /// The resources of the gang.
    pub shape: Shape,
    /// The caller's estimate of the run time, which may be far from the actual one.
    pub length: Millis,
    /// The failure domain in which the job must run; `None` allows every domain.
    #[serde(default)]
    pub domain: Option<DomainId>,
    /// Whether the job is scheduled before jobs that are not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Whether the job may be started again after an attempt has run in part.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether its tasks can write checkpoints, so that little work is lost when they are stopped.
    #[serde(default)]
    pub checkpoint: bool,
    /// What each task runs. Only the worker interprets it.
    #[serde(default)]
    pub payload: String,
}

impl JobSpec {
    /// Whether a running job may be stopped and started again later: it can continue from a
    /// checkpoint, or a second run is harmless.
    pub fn is_stoppable(&self) -> bool {
        self.idempotent || self.checkpoint
    }

    /// Number of accelerators of all tasks together.
    pub fn accels(&self) -> Accels {
        Accels(self.shape.tasks * self.shape.accels.0)
    }
}

/// Placement of one task of a gang.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskPlace {
    /// Index of the task in its gang, from 0.
    pub task: u32,
    /// The worker on which the task runs.
    pub worker: WorkerId,
    /// Index of the first accelerator on the worker.
    pub first: u32,
    /// Number of adjacent accelerators.
    pub count: Accels,
}

/// Placement of all tasks of a gang for one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GangPlan {
    /// The job to which the gang belongs.
    pub job: JobId,
    /// Number of the attempt, from 1.
    pub attempt: Attempt,
    /// Placement of each task, in the order of the task indexes.
    pub places: Vec<TaskPlace>,
}

/// A worker and its resources, as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Id of the worker.
    pub id: WorkerId,
    /// The failure domain of the worker.
    pub domain: DomainId,
    /// The rack in which the worker is installed.
    pub rack: RackId,
    /// Number of accelerators. They are numbered from 0; those with consecutive numbers are
    /// adjacent.
    pub accels: Accels,
    /// Number of processor cores.
    pub cores: Cores,
    /// Memory of the worker.
    pub memory: Bytes,
}
