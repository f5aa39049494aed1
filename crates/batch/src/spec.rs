//! What a caller asks for: a job of steps, each of equal tasks.

use std::fmt;
use std::ops::AddAssign;
use std::ops::SubAssign;

use base::JobId;
use base::Millis;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Most tasks of one step. A record of a job of this size stays under a tenth of a megabyte.
const MAX_TASKS: u32 = 2_000;

/// Most steps of one job.
const MAX_STEPS: usize = 64;

/// Most occurrences of a scheduled job.
const MAX_OCCURRENCES: u32 = 10_000;

/// Number of a start of a task, from 1. It never goes back.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// The number of the next start.
    pub fn next(self) -> RunNumber {
        RunNumber(self.0 + 1)
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A task of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence of a scheduled job, from 0; 0 for other jobs.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// The task within its step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskId {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl TaskId {
    /// The step that it belongs to.
    pub fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// A step of an occurrence of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StepId {
            job,
            occurrence,
            step,
        } = self;
        write!(f, "{job}.{occurrence}.{step}")
    }
}

/// What a task occupies on a worker, or what a worker offers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Accelerators.
    pub accels: u64,
}

impl Resources {
    /// Whether `need` fits into this room.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.accels <= self.accels
    }

    /// The room left after `used`, zero where it is exceeded.
    pub fn without(&self, used: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(used.cpu),
            memory: self.memory.saturating_sub(used.memory),
            accels: self.accels.saturating_sub(used.accels),
        }
    }

    /// How many tasks of this need fit into `room`.
    pub fn copies_in(&self, room: &Resources) -> u64 {
        let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        ratio(room.cpu, self.cpu)
            .min(ratio(room.memory, self.memory))
            .min(ratio(room.accels, self.accels))
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.accels += other.accels;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.without(&other);
    }
}

/// When a scheduled job runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Unix time of the first occurrence.
    pub start: Millis,
    /// Time between two occurrences.
    pub interval: Millis,
    /// Number of occurrences.
    pub runs: u32,
}

impl Schedule {
    /// Unix time at which an occurrence is due.
    pub fn due(&self, occurrence: u32) -> Millis {
        self.start + Millis(u64::from(occurrence).saturating_mul(self.interval.0))
    }
}

/// A step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task occupies.
    pub need: Resources,
    /// The caller's rough estimate of a task's duration.
    pub estimate: Millis,
    /// Earlier steps that must have ended first.
    pub after: Vec<u16>,
    /// Whether a task can go on from what it saved.
    pub checkpoints: bool,
    /// Whether all tasks run together.
    pub gang: bool,
    /// Whether a gang is slower on more than one rack.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack where the data is.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker.
    pub per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of the same image behave alike.
    pub image: Option<String>,
    /// Bound on the response times of a lasting task.
    pub tail_target: Option<Millis>,
    /// Whether the tasks use processor time that others leave unused.
    pub fills: bool,
    /// Tasks of a lasting step that the system may keep from work at a time.
    pub may_miss: u32,
}

impl StepSpec {
    /// Bound on the response times of a task that serves; `None` if it does not serve.
    pub fn serving_target(&self) -> Option<Millis> {
        self.tail_target.filter(|_| self.lasting)
    }

    /// What a task takes of a worker's capacity.
    pub fn occupies(&self) -> Resources {
        let cpu = if self.fills { 0 } else { self.need.cpu };
        Resources { cpu, ..self.need }
    }
}

/// A job as a caller submits it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submission {
    /// Opaque text that every start of its tasks carries.
    pub spec: String,
    /// The steps in order.
    pub steps: Vec<StepSpec>,
    /// Set times, if it has any.
    pub schedule: Option<Schedule>,
}

quick_error! {
    /// Why a submission cannot be accepted.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SubmissionError {
        /// There is nothing to run.
        Empty {
            display("the job has no steps")
        }
        /// A step waits for itself or for a later one.
        Order(step: usize) {
            display("step {step}: \"after\" names a step that is not an earlier one")
        }
        /// A step has no tasks or too many.
        Count(step: usize) {
            display("step {step}: \"count\" must be 1 to {MAX_TASKS}")
        }
        /// Too many steps.
        Steps(num: usize) {
            display("the job has {num} steps: send at most {MAX_STEPS}")
        }
        /// Too many occurrences.
        Occurrences(num: u32) {
            display("the job has {num} occurrences: send at most {MAX_OCCURRENCES}")
        }
    }
}

impl Submission {
    /// Checks what the scheduler relies on.
    pub fn check(&self) -> Result<(), SubmissionError> {
        if self.steps.is_empty() {
            return Err(SubmissionError::Empty);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(SubmissionError::Steps(self.steps.len()));
        }
        for (num, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                return Err(SubmissionError::Count(num));
            }
            if step.after.iter().any(|&a| usize::from(a) >= num) {
                return Err(SubmissionError::Order(num));
            }
        }
        match self.schedule {
            Some(s) if s.runs > MAX_OCCURRENCES => Err(SubmissionError::Occurrences(s.runs)),
            _ => Ok(()),
        }
    }

    /// Longest chain of estimates through the steps.
    pub fn chain(&self) -> Millis {
        self.chain_left(|_| false)
    }

    /// Longest chain of estimates through the steps that are not done.
    pub fn chain_left(&self, done: impl Fn(usize) -> bool) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for (num, step) in self.steps.iter().enumerate() {
            let before = step.after.iter().map(|&a| ends[usize::from(a)]).max();
            let own = if done(num) {
                Millis::ZERO
            } else {
                step.estimate
            };
            ends.push(before.unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
