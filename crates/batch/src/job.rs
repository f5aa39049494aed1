//! The state of one job and its tasks.

use std::collections::BTreeMap;

use base::JobId;
use base::Millis;
use base::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use crate::record::Submitted;
use crate::spec::RunNumber;
use crate::spec::StepSpec;
use crate::spec::TaskId;

/// What callers are told of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// Cancelled by its caller.
    Cancelled,
    /// All tasks have ended as done.
    Completed,
    /// A task or a gang has failed as often as its queue allows.
    Failed,
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
}

impl JobPhase {
    /// Whether the job never runs again.
    pub fn is_final(self) -> bool {
        !matches!(self, JobPhase::Queued | JobPhase::Running)
    }
}

/// How far an open run is known to have come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// Recorded by an earlier coordinator; a report of the worker tells.
    Inherited,
    /// To be recorded before its order is sent.
    Planned,
    /// Listed by the worker, or its order was accepted.
    Running,
    /// Its order is under way.
    Sent,
    /// Its order got no answer, or it is no longer wanted: it has to be stopped.
    Stopping,
}

/// A run that may occupy a worker.
#[derive(Clone, Debug)]
pub struct OpenRun {
    /// Its number.
    pub run: RunNumber,
    /// Where it runs.
    pub worker: WorkerId,
    /// Start of that life of the worker, Unix time.
    pub born: u64,
    /// How far it is known to have come.
    pub phase: RunPhase,
    /// When it was planned.
    pub since: Millis,
    /// Reading of the worker's clock after which a report without the run proves it gone.
    pub settled: Option<u64>,
    /// When a stop was last sent.
    pub stop_sent: Option<Millis>,
    /// When it was first seen at work.
    pub seen: Option<Millis>,
    /// When its progress last changed.
    pub moved: Millis,
    /// Work done in percent, as the worker last said.
    pub percent: u32,
    /// Share of its time for which it works, in percent, as last ordered; `None` if an earlier
    /// coordinator may have changed it.
    pub pace: Option<u32>,
    /// When an order that sets it was last sent without an answer since.
    pub paced_at: Option<Millis>,
}

impl OpenRun {
    /// A run that is to be recorded.
    pub fn planned(run: RunNumber, worker: WorkerId, born: u64, now: Millis) -> OpenRun {
        OpenRun {
            run,
            worker,
            born,
            phase: RunPhase::Planned,
            since: now,
            settled: None,
            stop_sent: None,
            seen: None,
            moved: now,
            percent: 0,
            pace: Some(100),
            paced_at: None,
        }
    }
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Number of its latest run.
    pub run: RunNumber,
    /// Runs that failed. A worker lists an end again until it is acknowledged.
    pub failed: Vec<RunNumber>,
    /// Whether a run has ended as done.
    pub done: bool,
    /// Saved progress from which the next run goes on.
    pub saved: String,
    /// The run that may be going on.
    pub open: Option<OpenRun>,
    /// Workers on which it failed.
    pub avoid: Vec<WorkerId>,
}

/// A step.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<TaskState>,
    /// Runs of the gang that failed.
    pub failed: Vec<RunNumber>,
    /// Since when tasks of the step wait for room, by the coordinator's clock.
    pub ready_at: Option<Millis>,
    /// Not to be tried before this time.
    pub not_before: Millis,
}

impl StepState {
    fn new(spec: &StepSpec) -> StepState {
        StepState {
            tasks: vec![TaskState::default(); spec.count as usize],
            ..StepState::default()
        }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.done)
    }

    /// Whether a task may occupy a worker.
    pub fn is_open(&self) -> bool {
        self.tasks.iter().any(|t| t.open.is_some())
    }

    /// The highest run number of any task.
    pub fn last_run(&self) -> RunNumber {
        let runs = self.tasks.iter().map(|t| t.run);
        runs.max().unwrap_or_default()
    }
}

/// One occurrence of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// An occurrence of which nothing has run.
    pub fn new(specs: &[StepSpec]) -> Occurrence {
        Occurrence {
            steps: specs.iter().map(StepState::new).collect(),
        }
    }

    /// Whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Whether all steps that `spec` waits for are done.
    pub fn is_ready(&self, spec: &StepSpec) -> bool {
        spec.after
            .iter()
            .all(|&a| self.steps[usize::from(a)].is_done())
    }
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// What was submitted.
    pub given: Submitted,
    /// When this coordinator learned of it.
    pub known: Millis,
    /// What callers are told.
    pub phase: JobPhase,
    /// Occurrences that are due and have not ended.
    pub open: BTreeMap<u32, Occurrence>,
    /// The next occurrence to come due.
    pub next: u32,
    /// When it ended, by the coordinator's clock.
    pub ended: Option<Millis>,
    /// Workers on which a task of it has failed, each once.
    pub failed_on: Vec<WorkerId>,
}

/// Workers on which a job has to fail before the fault is taken for its own.
const SUSPECT: usize = 2;

impl Job {
    /// A job of which nothing has run.
    pub fn new(id: JobId, given: Submitted, now: Millis) -> Job {
        let mut open = BTreeMap::new();
        let mut next = 0;
        if given.work.schedule.is_none() {
            open.insert(0, Occurrence::new(&given.work.steps));
            next = 1;
        }
        Job {
            id,
            given,
            known: now,
            phase: JobPhase::Queued,
            open,
            next,
            ended: None,
            failed_on: Vec::new(),
        }
    }

    /// Accelerators of its widest step.
    pub fn accels(&self) -> u64 {
        let steps = self.given.work.steps.iter();
        let widths = steps.map(|s| u64::from(s.count) * s.need.accels);
        widths.max().unwrap_or_default()
    }

    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.given.work.schedule.map_or(1, |s| s.runs)
    }

    /// Adds the occurrences that have come due by the Unix time `wall`.
    pub fn due(&mut self, wall: Millis) -> bool {
        let Some(schedule) = self.given.work.schedule else {
            return false;
        };
        if self.phase.is_final() {
            return false;
        }
        let first = self.next;
        while self.next < schedule.runs {
            if schedule.due(self.next) > wall {
                break;
            }
            let occurrence = Occurrence::new(&self.given.work.steps);
            self.open.insert(self.next, occurrence);
            self.next += 1;
        }
        self.next > first
    }

    /// The state of a task, if it is there.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut TaskState> {
        let step = self.step_mut(id)?;
        step.tasks.get_mut(usize::from(id.index))
    }

    /// The state of a task's step, if it is there.
    pub fn step_mut(&mut self, id: &TaskId) -> Option<&mut StepState> {
        let occurrence = self.open.get_mut(&id.occurrence)?;
        occurrence.steps.get_mut(usize::from(id.step))
    }

    /// The description of a task's step.
    pub fn spec(&self, id: &TaskId) -> Option<&StepSpec> {
        self.given.work.steps.get(usize::from(id.step))
    }

    /// Whether its own fault is likelier than that of the workers on which it fails: several of
    /// them, and no task of it was ever done.
    pub fn is_suspect(&self) -> bool {
        let tasks = self.open.values().flat_map(|o| &o.steps);
        let mut tasks = tasks.flat_map(|s| &s.tasks);
        self.failed_on.len() >= SUSPECT && !tasks.any(|t| t.done)
    }

    /// Removes ended occurrences; whether the job is thereby completed.
    pub fn settle(&mut self) -> bool {
        let ended = |o: &Occurrence| o.is_done() && !o.steps.iter().any(StepState::is_open);
        let all_done = self.open.values().all(Occurrence::is_done);
        if all_done && self.next >= self.occurrences() {
            return true;
        }
        if self.given.work.schedule.is_some() {
            self.open.retain(|_, o| !ended(o));
        }
        false
    }

    /// All tasks whose run may be going on.
    pub fn open_tasks(&self) -> Vec<TaskId> {
        let mut found = Vec::new();
        for (&occurrence, state) in &self.open {
            for (step, steps) in state.steps.iter().enumerate() {
                for (index, task) in steps.tasks.iter().enumerate() {
                    if task.open.is_some() {
                        found.push(TaskId {
                            job: self.id.clone(),
                            occurrence,
                            step: step as u16,
                            index: index as u16,
                        });
                    }
                }
            }
        }
        found
    }
}
