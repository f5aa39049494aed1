//! A job and its tasks as the coordinator knows them.

use base::DomainId;
use base::GangPlan;
use base::Millis;
use base::Revision;
use base::TaskPlace;
use base::WorkerId;
use work::wire::TaskKey;
use work::wire::TaskPhase;
use work::wire::TaskReport;
use work::wire::TaskSpec;

use crate::message::StopWhy;
use crate::record::JobPhase;
use crate::record::JobRecord;

/// Stage of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// No attempt.
    Queued,
    /// A placement waits for permission to start.
    Wait,
    /// The record of the attempt is being written.
    Claim,
    /// Reservations are being made.
    Reserve { until: Millis },
    /// The record of the release is being written, then permission is awaited.
    Commit { until: Millis },
    /// Start operations are being sent.
    Start { until: Millis },
    /// The whole gang runs.
    Run,
    /// Checkpoints are being made before a stop.
    Save { until: Millis },
    /// Tasks are being ended.
    Stop,
    /// The result of the attempt is being written.
    Settle,
}

/// Why an attempt is ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Why {
    /// A start did not succeed.
    Abort,
    /// All tasks ended with success.
    Finished,
    /// Tasks were lost with their worker or their lease.
    Lost(String),
    /// By request.
    Request(StopWhy),
    /// A task failed by itself.
    TaskFailed(String),
}

/// What is known of a task on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// Stopped, lapsed, or no longer known to its worker.
    Ended,
    Failed,
    Finished,
    Held,
    Running,
    Unknown,
}

impl TaskState {
    /// Whether the task is over.
    pub fn is_over(self) -> bool {
        use TaskState::*;
        matches!(self, Ended | Failed | Finished)
    }
}

impl From<TaskPhase> for TaskState {
    fn from(phase: TaskPhase) -> TaskState {
        match phase {
            TaskPhase::Failed => TaskState::Failed,
            TaskPhase::Finished => TaskState::Finished,
            TaskPhase::Held => TaskState::Held,
            TaskPhase::Lapsed | TaskPhase::Stopped => TaskState::Ended,
            TaskPhase::Running => TaskState::Running,
        }
    }
}

/// A task of the current attempt.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub place: TaskPlace,
    pub key: TaskKey,
    pub state: TaskState,
    /// A reservation may have been sent, by this or a former coordinator.
    pub sent: bool,
    /// A start operation may have been sent.
    pub begun: bool,
    /// The worker acknowledged a stop.
    pub stopped: bool,
    /// The worker refused the reservation.
    pub refused: bool,
    /// The worker reported that it ran.
    pub ran: bool,
    /// The worker proved that it never ran, after it accepted this epoch.
    pub clean: bool,
    /// The worker acknowledged a checkpoint of the current stop.
    pub kept: bool,
    /// Work saved, as last reported.
    pub saved: Millis,
    /// Latest time at which it may still be active without another operation.
    pub bound: Millis,
    /// When the last acknowledged lease was sent.
    pub renewed: Millis,
    /// Whether that lease was the long one.
    pub long: bool,
    /// Acknowledged share of speed.
    pub percent: u8,
}

impl Task {
    /// A task of an attempt that this coordinator begins.
    pub fn new(key: TaskKey, place: TaskPlace) -> Task {
        Task {
            place,
            key,
            state: TaskState::Unknown,
            sent: false,
            begun: false,
            stopped: false,
            refused: false,
            ran: false,
            clean: false,
            kept: false,
            saved: Millis::ZERO,
            bound: Millis::ZERO,
            renewed: Millis::ZERO,
            long: false,
            percent: 100,
        }
    }

    /// Takes in a report of the worker.
    pub fn observe(&mut self, report: &TaskReport, inherited: bool) {
        self.state = report.phase.into();
        self.ran |= report.ran;
        self.saved = self.saved.max(report.saved);
        let unstarted = matches!(report.phase, TaskPhase::Held | TaskPhase::Lapsed);
        if inherited && unstarted && !report.ran {
            self.clean = true;
        }
    }

    /// Whether nothing of it can be active any more.
    pub fn is_quiet(&self, now: Millis) -> bool {
        let over = self.state.is_over() || (self.stopped && self.state == TaskState::Unknown);
        !self.sent || over || now >= self.bound
    }
}

/// A write in progress.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub record: JobRecord,
    pub expect: Revision,
    pub state: WriteState,
}

/// Where a write is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteState {
    /// Waits for the rate limit.
    Waiting,
    /// Sent at a time.
    Sent(Millis),
    /// Repeated at a time.
    Retry(Millis),
}

/// A job that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The record as last known to be durable.
    pub rec: JobRecord,
    pub rev: Revision,
    /// A later record by somebody else, seen while a write was in progress.
    pub newer: Option<(JobRecord, Revision)>,
    pub stage: Stage,
    pub plan: Option<GangPlan>,
    pub tasks: Vec<Task>,
    pub write: Option<Write>,
    pub why: Option<Why>,
    /// Whether a former coordinator began the attempt.
    pub inherited: bool,
    /// When this coordinator began to attend to the attempt.
    pub begun: Millis,
    /// Workers that refused or were silent.
    pub blame: Vec<WorkerId>,
    /// Wanted share of speed.
    pub percent: u8,
}

impl Job {
    /// A job without an attempt.
    pub fn new(rec: JobRecord, rev: Revision) -> Job {
        Job {
            rec,
            rev,
            newer: None,
            stage: Stage::Queued,
            plan: None,
            tasks: Vec::new(),
            write: None,
            why: None,
            inherited: false,
            begun: Millis::ZERO,
            blame: Vec::new(),
            percent: 100,
        }
    }

    /// Forgets the attempt.
    pub fn reset(&mut self) {
        let known = (self.rec.clone(), self.rev);
        let newer = self.newer.take().filter(|n| n.1 > known.1);
        let (rec, rev) = newer.unwrap_or(known);
        *self = Job::new(rec, rev);
    }

    /// Sets the placement and its tasks.
    pub fn set_plan(&mut self, plan: GangPlan) {
        let key = |p: &TaskPlace| TaskKey {
            job: plan.job.clone(),
            attempt: plan.attempt,
            task: p.task,
        };
        let task = |p: &TaskPlace| Task::new(key(p), p.clone());
        self.tasks = plan.places.iter().map(task).collect();
        self.plan = Some(plan);
    }

    /// What the worker is told about a task.
    pub fn task_spec(&self, place: &TaskPlace) -> TaskSpec {
        TaskSpec {
            org: self.rec.spec.org.clone(),
            first: place.first,
            count: place.count,
            cores: self.rec.spec.shape.cores,
            memory: self.rec.spec.shape.memory,
            saved: self.rec.saved,
            payload: self.rec.spec.payload.clone(),
        }
    }

    /// The task with this key.
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        self.tasks.iter_mut().find(|t| t.key == *key)
    }

    /// Whether a task of this attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.tasks.iter().any(|t| t.begun && (t.ran || !t.clean))
    }

    /// Whether the job may be started again after an attempt that may have run.
    pub fn is_restartable(&self) -> bool {
        self.rec.spec.is_stoppable()
    }

    /// Whether the durable record says that start operations may be sent.
    pub fn is_released(&self) -> bool {
        matches!(self.rec.phase, JobPhase::Running { .. })
    }

    /// Work saved by all tasks.
    pub fn saved(&self) -> Millis {
        let least = self.tasks.iter().map(|t| t.saved).min();
        least.unwrap_or(Millis::ZERO).max(self.rec.saved)
    }

    /// The domain that the job moves to, if it does.
    pub fn move_to(&self) -> Option<&DomainId> {
        match &self.why {
            Some(Why::Request(StopWhy::Move(domain))) => Some(domain),
            _ => None,
        }
    }
}
