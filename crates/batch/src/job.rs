//! State of one job and its tasks.

use std::collections::BTreeMap;

use base::Fence;
use base::JobId;
use base::Millis;
use base::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use crate::account::Loss;
use crate::account::Stage;
use crate::account::Trace;
use crate::adrift::AdriftStarts;
use crate::crash::Crash;
use crate::plan::Withheld;
use crate::record::Submitted;
use crate::spec::RunNumber;
use crate::spec::StepSpec;
use crate::spec::TaskId;
use crate::spec::MAX_JOB_TASKS;
use crate::speed::Meter;

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// Cancelled by its caller.
    Cancelled,
    /// All tasks are done.
    Completed,
    /// A task or a gang has used up the attempts that its queue allows.
    Failed,
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
}

impl JobPhase {
    /// Whether the job has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, JobPhase::Queued | JobPhase::Running)
    }
}

/// What the coordinator knows about an open run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// It has ended or is refused, and requests to start it may be carried out by a later incarnation of its
    /// worker. It occupies nothing.
    Adrift,
    /// Recorded by an earlier coordinator; the worker's next report shows whether it still runs.
    Inherited,
    /// Waits to be recorded; the start request is not sent yet.
    Planned,
    /// Listed in a report, or its start was accepted.
    Running,
    /// The start request has been sent and not answered.
    Sent,
    /// To be stopped, because it is no longer wanted.
    Stopping,
    /// Requests to start it have no answer. It may be active or become so, and its start is requested again
    /// of the same worker, which carries it out once.
    Unanswered,
}

/// A run that may occupy a worker.
#[derive(Clone, Debug)]
pub struct OpenRun {
    /// Number of the run.
    pub run: RunNumber,
    /// Id of the worker.
    pub worker: WorkerId,
    /// Incarnation of the worker (its start as Unix time).
    pub born: u64,
    /// Fencing token of its start.
    pub fence: Fence,
    /// Requests to start it that may still be carried out.
    pub adrift: AdriftStarts,
    /// Number of times that its start was requested without an answer.
    pub unanswered: usize,
    /// When its start is to be requested again; `None` if that is not due, or waits to be recorded.
    pub repeat_at: Option<Millis>,
    /// What is known about it.
    pub phase: RunPhase,
    /// When it was planned.
    pub planned_at: Millis,
    /// Reading of the worker's clock. A later report that does not list the run proves that it has
    /// ended.
    pub absent_after: Option<u64>,
    /// Since when its worker has listed rows that cannot be read, one of which may stand for it.
    pub hidden_since: Option<Millis>,
    /// When a stop request was last sent.
    pub stop_sent: Option<Millis>,
    /// When it was first known to have started.
    pub seen_at: Option<Millis>,
    /// When its progress last changed.
    pub progress_at: Millis,
    /// When its progress was last saved.
    pub saved_at: Option<Millis>,
    /// Why it is being stopped or has ended without a result.
    pub loss: Option<Loss>,
    /// Progress in percent, as last reported.
    pub percent: u32,
    /// Measurement of its rate of progress.
    pub meter: Meter,
    /// Whether it continued from saved progress.
    pub restored: bool,
    /// Processor share in percent that the worker last accepted; `None` if an earlier coordinator
    /// may have changed it.
    pub share: Option<u32>,
    /// When a request for a new share was sent that has not been accepted yet.
    pub share_requested: Option<Millis>,
}

impl OpenRun {
    /// A run that has just been planned.
    pub fn planned(run: RunNumber, worker: WorkerId, born: u64, now: Millis) -> OpenRun {
        OpenRun {
            run,
            worker,
            born,
            fence: Fence(0),
            adrift: AdriftStarts::default(),
            unanswered: 0,
            repeat_at: None,
            phase: RunPhase::Planned,
            planned_at: now,
            absent_after: None,
            hidden_since: None,
            stop_sent: None,
            seen_at: None,
            progress_at: now,
            saved_at: None,
            loss: None,
            percent: 0,
            meter: Meter::default(),
            restored: false,
            share: Some(100),
            share_requested: None,
        }
    }
}

/// A run that has ended, and whose task does not start again, though a request to start the run may still be
/// carried out by a later incarnation of its worker.
#[derive(Clone, Debug)]
pub struct EndedAdrift {
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub run: RunNumber,
    /// Until when a request to start it may be carried out.
    pub until: Millis,
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Number of its latest run.
    pub run: RunNumber,
    /// Its failed runs. They are kept by number because a worker reports an ended run again until
    /// that is acknowledged.
    pub failed: Vec<RunNumber>,
    /// Whether a run has succeeded.
    pub done: bool,
    /// Saved progress from which the next run continues.
    pub saved: String,
    /// The run that may be active. Boxed, as most tasks of a long queue have none.
    pub open: Option<Box<OpenRun>>,
    /// Workers on which it failed.
    pub avoid: Vec<WorkerId>,
    /// Losses of workers under its runs, since it last ran well.
    pub crashes: Vec<Crash>,
    /// Since when it has been waiting for a worker without other jobs.
    pub held_since: Option<Millis>,
    /// Since when a task that lasts has not been running.
    pub idle_since: Option<Millis>,
}

/// State of one step of an occurrence.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// Its tasks, by index.
    pub tasks: Vec<TaskState>,
    /// Failed runs of the gang.
    pub failed: Vec<RunNumber>,
    /// Since when tasks of the step have been waiting for resources, on the coordinator's clock.
    pub ready_at: Option<Millis>,
    /// Since when it had been waiting when all its tasks were placed; none once a start was accepted.
    pub unstarted_since: Option<Millis>,
    /// No task of the step starts before this time.
    pub not_before: Millis,
    /// What the step waited for in the last planning pass.
    pub waits_for: Option<Stage>,
    /// Whether it was logged that the step waits long although a guarantee covers it.
    pub delay_logged: bool,
    /// Whether it was logged that the step waits because of its organisation's limit.
    pub hold_logged: bool,
    /// Since when it has had nothing running; if it lasts, since when one of its tasks has not been.
    pub idle_since: Option<Millis>,
    /// Whether it was logged since then that it waits beside free room.
    pub idle_logged: bool,
    /// What kept it from workers with room when that was last noted.
    pub withheld: Withheld,
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

    /// Whether any task may occupy a worker.
    pub fn is_open(&self) -> bool {
        self.tasks.iter().any(|t| t.open.is_some())
    }

    /// Number of failed runs of the gang, or the most of any task.
    pub fn failures(&self) -> usize {
        let most = self.tasks.iter().map(|t| t.failed.len()).max();
        self.failed.len().max(most.unwrap_or_default())
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
    /// Its steps, in the order of the submission.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// An occurrence of which no task has run.
    pub fn new(specs: &[StepSpec]) -> Occurrence {
        Occurrence {
            steps: specs.iter().map(StepState::new).collect(),
        }
    }

    /// Whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Whether all steps that `spec` depends on are done.
    pub fn is_ready(&self, spec: &StepSpec) -> bool {
        spec.after
            .iter()
            .all(|&a| self.steps[usize::from(a)].is_done())
    }
}

/// State of one job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the job.
    pub id: JobId,
    /// The submission and the rules of its queue.
    pub submitted: Submitted,
    /// When this coordinator added it.
    pub added_at: Millis,
    /// State that callers see.
    pub phase: JobPhase,
    /// Occurrences that are due and have not ended.
    pub open: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to fall due.
    pub next: u32,
    /// When it ended, on the coordinator's clock.
    pub ended: Option<Millis>,
    /// Its ended runs that may still be started again. Their ends are not acknowledged before they cannot be.
    pub adrift: Vec<EndedAdrift>,
    /// Whether it was sent beyond the rate of its organisation.
    pub excess: bool,
    /// Workers on which a task of the job has failed, without duplicates.
    pub failed_on: Vec<WorkerId>,
    /// Whether an earlier coordinator may have planned it.
    pub inherited: bool,
    /// When its record, which the store has refused, is to be stored again.
    pub aside_until: Option<Millis>,
    /// Account of its time; kept for urgent jobs only.
    pub trace: Trace,
    /// Number of runs that were stopped for it.
    pub stopped_runs: usize,
    /// Work that those of them which have ended had done, in core-milliseconds.
    pub stopped_work: u64,
}

/// Number of workers on which a job must fail before the job itself is held responsible.
const SUSPECT_WORKERS: usize = 2;

impl Job {
    /// A job of which no task has run.
    pub fn new(id: JobId, submitted: Submitted, now: Millis) -> Job {
        let mut open = BTreeMap::new();
        let mut next = 0;
        if submitted.work.schedule.is_none() {
            open.insert(0, Occurrence::new(&submitted.work.steps));
            next = 1;
        }
        Job {
            id,
            submitted,
            added_at: now,
            phase: JobPhase::Queued,
            open,
            next,
            ended: None,
            adrift: Vec::new(),
            excess: false,
            failed_on: Vec::new(),
            inherited: false,
            aside_until: None,
            trace: Trace::default(),
            stopped_runs: 0,
            stopped_work: 0,
        }
    }

    /// Largest number of accelerators that one of its steps occupies.
    pub fn accels(&self) -> u64 {
        let steps = self.submitted.work.steps.iter();
        let widths = steps.map(|s| u64::from(s.count) * s.need.accels);
        widths.max().unwrap_or_default()
    }

    /// Total number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.submitted.work.schedule.map_or(1, |s| s.runs)
    }

    /// Adds the occurrences that are due by the Unix time `wall`, as far as the limit on open tasks
    /// allows; the others follow once earlier ones have ended. Returns whether there were any.
    pub fn open_due(&mut self, wall: Millis) -> bool {
        let Some(schedule) = self.submitted.work.schedule else {
            return false;
        };
        if self.phase.is_final() {
            return false;
        }
        let first = self.next;
        let most = MAX_JOB_TASKS / self.submitted.work.tasks().max(1);
        while self.next < schedule.runs {
            let full = self.open.len() >= most.max(1) as usize;
            if full || schedule.due(self.next) > wall {
                break;
            }
            let occurrence = Occurrence::new(&self.submitted.work.steps);
            self.open.insert(self.next, occurrence);
            self.next += 1;
        }
        self.next > first
    }

    /// The state of a task, for changes; `None` if it does not exist.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut TaskState> {
        let step = self.step_mut(id)?;
        step.tasks.get_mut(usize::from(id.index))
    }

    /// The state of a task; `None` if it does not exist.
    pub fn task(&self, id: &TaskId) -> Option<&TaskState> {
        let occurrence = self.open.get(&id.occurrence)?;
        let step = occurrence.steps.get(usize::from(id.step))?;
        step.tasks.get(usize::from(id.index))
    }

    /// The state of a task's step; `None` if it does not exist.
    pub fn step_mut(&mut self, id: &TaskId) -> Option<&mut StepState> {
        let occurrence = self.open.get_mut(&id.occurrence)?;
        occurrence.steps.get_mut(usize::from(id.step))
    }

    /// The specification of a task's step.
    pub fn spec(&self, id: &TaskId) -> Option<&StepSpec> {
        self.submitted.work.steps.get(usize::from(id.step))
    }

    /// Whether failures are more likely the job's own fault than that of the workers: it has failed
    /// on several of them, and none of its tasks is done.
    pub fn is_suspect(&self) -> bool {
        let tasks = self.open.values().flat_map(|o| &o.steps);
        let mut tasks = tasks.flat_map(|s| &s.tasks);
        self.failed_on.len() >= SUSPECT_WORKERS && !tasks.any(|t| t.done)
    }

    /// Until when a request to start an ended run may be carried out; `None` if none may.
    pub fn adrift_until(&self, task: &TaskId, run: RunNumber) -> Option<Millis> {
        let mut adrift = self.adrift.iter();
        let found = adrift.find(|a| a.run == run && a.task == *task);
        found.map(|a| a.until)
    }

    /// Removes ended occurrences. Returns whether all tasks of the job are done.
    pub fn remove_ended(&mut self) -> bool {
        let ended = |o: &Occurrence| o.is_done() && !o.steps.iter().any(StepState::is_open);
        let all_done = self.open.values().all(Occurrence::is_done);
        if all_done && self.next >= self.occurrences() {
            return true;
        }
        if self.submitted.work.schedule.is_some() {
            self.open.retain(|_, o| !ended(o));
        }
        false
    }

    /// All tasks with an open run.
    pub fn open_tasks(&self) -> Vec<TaskId> {
        self.tasks_where(|task| task.open.is_some())
    }

    /// All tasks under whose runs workers were lost.
    pub fn crashed_tasks(&self) -> Vec<TaskId> {
        self.tasks_where(|task| !task.crashes.is_empty())
    }

    fn tasks_where(&self, holds: impl Fn(&TaskState) -> bool) -> Vec<TaskId> {
        let mut found = Vec::new();
        for (&occurrence, state) in &self.open {
            for (step, steps) in state.steps.iter().enumerate() {
                for (index, task) in steps.tasks.iter().enumerate() {
                    if holds(task) {
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
