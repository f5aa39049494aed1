//! Jobs, shapes and placements as the scheduling crates share them.

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

/// How far apart the tasks of a gang may be placed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Anywhere in one failure domain.
    #[default]
    Domain,
    /// On workers of one rack.
    Rack,
    /// On one worker.
    Worker,
}

/// The size of a gang: equal tasks, each with adjacent accelerators on one worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of tasks.
    pub tasks: u32,
    /// Adjacent accelerators of each task; zero for a task without any.
    pub accels: Accels,
    /// Cores of each task.
    #[serde(default)]
    pub cores: Cores,
    /// Memory of each task.
    #[serde(default)]
    pub memory: Bytes,
    /// How far apart the tasks may be.
    #[serde(default)]
    pub spread: Spread,
}

/// A job as its caller declared it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The caller's id of the job.
    pub id: JobId,
    /// The organisation that the job is for.
    pub org: OrgId,
    /// Jobs of one kind run for about the same time.
    pub kind: JobKind,
    /// The size of the gang.
    pub shape: Shape,
    /// Declared run time; often far off.
    pub length: Millis,
    /// The failure domain that it must run in, if any.
    #[serde(default)]
    pub domain: Option<DomainId>,
    /// Whether it goes before work that is not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Whether it may be started again after an attempt that ran for a while.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether its tasks can checkpoint, so that a stop loses little work.
    #[serde(default)]
    pub checkpoint: bool,
    /// What each task runs, in the worker's own terms; passed on unread.
    #[serde(default)]
    pub payload: String,
}

impl JobSpec {
    /// Whether the job can be stopped and continued later without breaking a promise.
    pub fn is_stoppable(&self) -> bool {
        self.idempotent || self.checkpoint
    }

    /// Accelerators of the whole gang.
    pub fn accels(&self) -> Accels {
        Accels(self.shape.tasks * self.shape.accels.0)
    }
}

/// Where one task of a gang runs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskPlace {
    /// Index of the task in its gang, from 0.
    pub task: u32,
    /// The worker.
    pub worker: WorkerId,
    /// Index of the first accelerator on the worker.
    pub first: u32,
    /// Number of adjacent accelerators.
    pub count: Accels,
}

/// A placement of a whole gang for one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GangPlan {
    /// The job.
    pub job: JobId,
    /// The attempt, from 1.
    pub attempt: Attempt,
    /// One place for each task, in the order of the task indexes.
    pub places: Vec<TaskPlace>,
}

/// A worker as the platform describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// The worker.
    pub id: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its rack.
    pub rack: RackId,
    /// Accelerators, numbered from 0; neighbours in number are adjacent.
    pub accels: Accels,
    /// Processor cores.
    pub cores: Cores,
    /// Memory.
    pub memory: Bytes,
}
