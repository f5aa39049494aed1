//! Specification of a job, as callers submit it: steps, each of which has a number of identical
//! tasks.

use std::fmt;
use std::ops::AddAssign;
use std::ops::SubAssign;

use base::JobId;
use base::Millis;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Most tasks in one step. The record of such a job stays below 0.1 MB.
const MAX_TASKS: u32 = 2_000;

/// Most tasks in all steps of a job, and in its occurrences that are open at the same time. The
/// store takes records of up to a megabyte.
pub const MAX_JOB_TASKS: u32 = 10_000;

/// Largest amount of a resource that a task needs or a worker offers, and longest estimated
/// duration, two years. What exceeds them is taken as that much, so that sums and products of many
/// tasks stay within the range of numbers.
const MAX_AMOUNT: u64 = 1 << 24;
pub(crate) const MAX_ESTIMATE: Millis = Millis(1 << 36);

/// Most steps in one job.
pub const MAX_STEPS: usize = 64;

/// Most bytes of the text that is sent with every start of a task.
const MAX_SPEC_BYTES: usize = 4_000;

/// Most bytes of a label, a rack or an image. Names in the store have as many at most.
const MAX_NAME_BYTES: usize = 200;

/// Most occurrences of a scheduled job.
const MAX_OCCURRENCES: u32 = 10_000;

/// Number of a run of a task. The first run is 1, and numbers only increase.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// The number of the following run.
    pub fn next(self) -> RunNumber {
        RunNumber(self.0.saturating_add(1))
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence, from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u16,
    /// Index of the task in its step.
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
    /// The step that the task belongs to.
    pub fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job.
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

/// Resources that a task occupies or a worker offers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accels: u64,
}

impl Resources {
    /// Whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.accels <= self.accels
    }

    /// These resources less `used`; none of them goes below zero.
    pub fn saturating_sub(&self, used: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(used.cpu),
            memory: self.memory.saturating_sub(used.memory),
            accels: self.accels.saturating_sub(used.accels),
        }
    }

    /// Whether any resource is in both.
    pub fn overlaps(&self, other: &Resources) -> bool {
        self.cpu.min(other.cpu) > 0
            || self.memory.min(other.memory) > 0
            || self.accels.min(other.accels) > 0
    }

    /// These resources within the range that the scheduler counts with.
    pub fn bounded(self) -> Resources {
        Resources {
            cpu: self.cpu.min(MAX_AMOUNT),
            memory: self.memory.min(MAX_AMOUNT),
            accels: self.accels.min(MAX_AMOUNT),
        }
    }

    /// These resources `count` times.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accels: self.accels.saturating_mul(count),
        }
    }

    /// How many tasks with this need fit into `available`.
    pub fn count_fitting(&self, available: &Resources) -> u64 {
        let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        ratio(available.cpu, self.cpu)
            .min(ratio(available.memory, self.memory))
            .min(ratio(available.accels, self.accels))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources {
            cpu,
            memory,
            accels,
        } = self;
        write!(f, "cpu {cpu} memory {memory} accels {accels}")
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.accels = self.accels.saturating_add(other.accels);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.saturating_sub(&other);
    }
}

/// Time table of a scheduled job.
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

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// The caller's rough estimate of a task's duration.
    pub estimate: Millis,
    /// Indices of the earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether a stopped task can continue from saved progress.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which runs all at the same time or not at all.
    pub gang: bool,
    /// Whether the gang runs faster on a single rack.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data of the tasks.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker.
    pub per_worker: Option<u32>,
    /// Whether several copies of a task may run in parallel.
    pub copies: bool,
    /// Whether the tasks are long-running: they end only when the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of the same image behave alike.
    pub image: Option<String>,
    /// Latency target of a long-running task.
    pub tail_target: Option<Millis>,
    /// Whether the tasks are best-effort: they use only processor time that others leave idle.
    pub fills: bool,
    /// Number of tasks of a long-running step that may be out of service at a time; zero sets no limit.
    pub may_miss: u32,
}

impl StepSpec {
    /// What its tasks need at the least to start: those of a gang only start together.
    pub fn at_once(&self) -> Resources {
        match self.gang {
            true => self.need.times(u64::from(self.count)),
            false => self.need,
        }
    }

    /// Length of its longest label, rack or image in bytes.
    fn longest_name(&self) -> Option<usize> {
        let names = [&self.label, &self.data_rack, &self.image];
        names.into_iter().flatten().map(String::len).max()
    }

    /// Latency target of a serving task; `None` if the tasks do not serve.
    pub fn serving_target(&self) -> Option<Millis> {
        self.tail_target.filter(|_| self.lasting)
    }

    /// Whether it limits the number of its tasks that may be out of service at a time.
    pub fn is_limited(&self) -> bool {
        self.lasting && self.may_miss > 0
    }

    /// Resources that a task takes from a worker's capacity. A best-effort task takes no processor
    /// time.
    pub fn occupies(&self) -> Resources {
        let cpu = if self.fills { 0 } else { self.need.cpu };
        Resources { cpu, ..self.need }
    }
}

/// A job as a caller submits it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submission {
    /// Opaque text that is sent with every start of a task.
    pub spec: String,
    /// The steps; a step can only depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Time table, if the job is scheduled.
    pub schedule: Option<Schedule>,
}

quick_error! {
    /// Why a submission is invalid.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SubmissionError {
        /// There are no steps.
        NoSteps {
            display("the job has no steps")
        }
        /// A step depends on itself or on a later one.
        InvalidDependency(step: usize) {
            display("step {step}: \"after\" names a step that is not an earlier one")
        }
        /// A step has no tasks or too many.
        InvalidCount(step: usize) {
            display("step {step}: \"count\" must be 1 to {MAX_TASKS}")
        }
        /// There are too many tasks in all.
        TooManyTasks(num: u32) {
            display("the job has {num} tasks: send at most {MAX_JOB_TASKS}")
        }
        /// There are too many steps.
        TooManySteps(num: usize) {
            display("the job has {num} steps: send at most {MAX_STEPS}")
        }
        /// The text of the job is too long.
        LongSpec(bytes: usize) {
            display("\"spec\" has {bytes} bytes: send at most {MAX_SPEC_BYTES}")
        }
        /// A label, a rack or an image is too long.
        LongName(step: usize, bytes: usize) {
            display("step {step}: a name has {bytes} bytes: send at most {MAX_NAME_BYTES}")
        }
        /// A step names more steps than there can be before it.
        TooManyDependencies(step: usize, num: usize) {
            display("step {step}: \"after\" names {num} steps: name each once, {MAX_STEPS} at most")
        }
        /// There are too many occurrences.
        TooManyOccurrences(num: u32) {
            display("the job has {num} occurrences: send at most {MAX_OCCURRENCES}")
        }
    }
}

impl Submission {
    /// Checks the properties that the scheduler relies on.
    pub fn check(&self) -> Result<(), SubmissionError> {
        if self.steps.is_empty() {
            return Err(SubmissionError::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(SubmissionError::TooManySteps(self.steps.len()));
        }
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(SubmissionError::LongSpec(self.spec.len()));
        }
        for (num, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                return Err(SubmissionError::InvalidCount(num));
            }
            if let Some(bytes) = step.longest_name().filter(|b| *b > MAX_NAME_BYTES) {
                return Err(SubmissionError::LongName(num, bytes));
            }
            if step.after.len() > MAX_STEPS {
                let found = step.after.len();
                return Err(SubmissionError::TooManyDependencies(num, found));
            }
        }
        self.check_order()?;
        let tasks = self.tasks();
        if tasks > MAX_JOB_TASKS {
            return Err(SubmissionError::TooManyTasks(tasks));
        }
        match self.schedule {
            Some(s) if s.runs > MAX_OCCURRENCES => Err(SubmissionError::TooManyOccurrences(s.runs)),
            _ => Ok(()),
        }
    }

    /// Checks that each step depends only on earlier ones.
    pub fn check_order(&self) -> Result<(), SubmissionError> {
        let invalid = |(num, step): (usize, &StepSpec)| {
            let later = step.after.iter().any(|&a| usize::from(a) >= num);
            later.then_some(SubmissionError::InvalidDependency(num))
        };
        let found = self.steps.iter().enumerate().find_map(invalid);
        found.map_or(Ok(()), Err)
    }

    /// Number of tasks in all steps.
    pub fn tasks(&self) -> u32 {
        let counts = self.steps.iter().map(|s| s.count);
        counts.fold(0, u32::saturating_add)
    }

    /// Limits estimates and needs to the range that the scheduler counts with.
    pub fn bound(&mut self) {
        for step in &mut self.steps {
            step.need = step.need.bounded();
            step.estimate = step.estimate.min(MAX_ESTIMATE);
        }
    }

    /// Estimated duration of the longest chain of dependent steps.
    pub fn critical_path(&self) -> Millis {
        self.remaining_path(|_| false)
    }

    /// Estimated duration of the longest chain of dependent steps, where those for which `done`
    /// returns true take no time.
    pub fn remaining_path(&self, done: impl Fn(usize) -> bool) -> Millis {
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
