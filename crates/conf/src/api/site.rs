//! Responses of a daemon of `bronzetack batch` about the site that its coordinator schedules.

use base::DomainId;
use base::Epoch;
use base::JobId;
use base::Millis;
use base::OrgId;
use base::VmId;
use base::WorkerId;
use serde::Deserialize;
use serde::Serialize;

/// State of the site as one daemon sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteStatus {
    /// VM of the answering daemon.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it accepts callers.
    pub ready: bool,
    /// What needs attention.
    pub alarms: Vec<String>,
    /// Duration of the current outage of the store; zero while it answers.
    pub outage: Millis,
    /// Version of the configuration that it holds, if it has one.
    pub version: Option<u64>,
    /// Time since the configuration was known to be current.
    pub age: Millis,
    /// Number of other daemons that it knows.
    pub daemons: usize,
    /// What the coordinator knows; absent if this daemon is not the coordinator.
    pub coordinator: Option<CoordinatorStatus>,
}

/// What the coordinator knows about the site.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CoordinatorStatus {
    /// Its epoch.
    pub epoch: Epoch,
    /// Time for which it has been coordinator.
    pub elected: Millis,
    /// Time for which it has been holding starts back, if it does.
    pub held: Option<Millis>,
    /// Time since the workers' entries that it decides by were known to be current.
    #[serde(default)]
    pub entries: Millis,
    /// Time since the callers' requests that it decides by were known to be current.
    #[serde(default)]
    pub requests: Millis,
    /// Number of workers by state.
    pub workers: Vec<WorkerCount>,
    /// Accelerators of the usable workers.
    pub accels: u64,
    /// Those that no run occupies.
    pub free: u64,
    /// Jobs by priority, by queue and by organisation.
    pub jobs: Vec<JobCount>,
    /// Guarantees and what fills them.
    pub guarantees: Vec<GuaranteeStatus>,
    /// Tasks under which workers were lost, since they last ran well.
    #[serde(default)]
    pub suspects: Vec<String>,
}

/// Number of workers in one state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerCount {
    /// The state.
    pub state: String,
    /// The number.
    pub count: usize,
}

/// What jobs are counted by.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Grouping {
    /// The organisation.
    Org,
    /// The priority.
    Priority,
    /// The queue.
    Queue,
}

/// Number of jobs with the same priority, queue or organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobCount {
    /// What they are counted by.
    pub by: Grouping,
    /// What they have in common.
    pub name: String,
    /// Jobs of which no task has started.
    pub waiting: usize,
    /// Jobs of which a task has started.
    pub running: usize,
}

/// An organisation's guarantee.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuaranteeStatus {
    /// The organisation.
    pub org: OrgId,
    /// Accelerators that its urgent jobs can always get.
    pub accels: u64,
    /// Accelerators that its urgent jobs occupy.
    pub used: u64,
}

/// A job, and the latest decisions on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteJob {
    /// Id of the job.
    pub job: JobId,
    /// State that callers see.
    pub phase: String,
    /// Its queue.
    pub queue: String,
    /// Its organisation.
    pub org: Option<OrgId>,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Time since it was accepted.
    pub age: Millis,
    /// Time from acceptance in which it should end.
    pub objective: Millis,
    /// Its steps that have not ended.
    pub steps: Vec<SiteStep>,
    /// Its runs that may be active.
    pub runs: Vec<SiteRun>,
    /// The latest decisions on it, the newest last.
    pub decisions: Vec<SiteDecision>,
}

/// A step that has not ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteStep {
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
    /// Number of its tasks.
    pub tasks: usize,
    /// Tasks that are done.
    pub done: usize,
    /// Tasks with a run that may be active.
    pub open: usize,
    /// Whether the steps before it are done.
    pub ready: bool,
    /// Time for which tasks of it have been waiting for resources.
    pub waiting: Option<Millis>,
    /// Failed runs of the gang, or the most of any task.
    pub failures: usize,
    /// Time for which it has had nothing running; if it lasts, for which one of its tasks has not been.
    #[serde(default)]
    pub idle: Option<Millis>,
    /// What it waits for, if anything.
    #[serde(default)]
    pub waits_for: Option<String>,
    /// What kept it from usable workers with room, that with the most room first.
    #[serde(default)]
    pub withheld: Vec<WithheldRoom>,
}

/// Room on usable workers that a step does not get.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WithheldRoom {
    /// What keeps the step from it.
    pub obstacle: String,
    /// Number of tasks of the step that would fit.
    pub tasks: u64,
}

/// A run that may be active.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteRun {
    /// The task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// The worker.
    pub worker: WorkerId,
    /// What is known about it.
    pub phase: String,
    /// Progress in percent.
    pub percent: u32,
}

/// A decision on a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteDecision {
    /// Time since it was made.
    pub age: Millis,
    /// What was decided, and why.
    pub text: String,
}

/// The workers of the site.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteWorkers {
    /// All workers, ordered by id.
    pub workers: Vec<SiteWorker>,
}

/// A worker of the site.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteWorker {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its rack, if it names one.
    pub rack: Option<String>,
    /// Whether tasks are placed on it, and why not.
    pub state: String,
    /// Time since the poll that it last answered was sent.
    pub heard: Millis,
    /// Its accelerators.
    pub accels: u64,
    /// Those that no run occupies.
    pub free: u64,
    /// Number of runs that may be active on it.
    pub runs: usize,
    /// Its speed in percent of what is usual in its pool, if its runs have shown it.
    pub speed: Option<u32>,
}
