//! State of a job, its attempt and its tasks as known to the coordinator.

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

use crate::message::StopCause;
use crate::record::JobPhase;
use crate::record::JobRecord;

/// Stage of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The job has no attempt.
    Queued,
    /// A placement waits until a start is permitted.
    AwaitPermit,
    /// The record of the attempt is being written.
    Record,
    /// Accelerators are being reserved on the workers.
    Reserve { until: Millis },
    /// The release is being written to the record; then the attempt waits until a start is
    /// permitted.
    Commit { until: Millis },
    /// Start operations are being sent.
    Start { until: Millis },
    /// The whole gang was seen running, or was adopted after its release.
    Run,
    /// Tasks checkpoint before they are stopped.
    Checkpoint { until: Millis },
    /// Tasks are being stopped.
    Stop,
    /// The result of the attempt is being written.
    Finalise,
}

/// Why an attempt is ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum EndReason {
    /// The gang could not be started.
    Abort,
    /// All tasks ended with success.
    Finished,
    /// Tasks were lost with their worker or their lease.
    Lost(String),
    /// A stop was requested.
    Request(StopCause),
    /// A task reported failure.
    TaskFailed(String),
}

/// Last known state of a task on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// Stopped, ended when its lease expired, or no longer known to its worker.
    Ended,
    Failed,
    Finished,
    /// Reserved, not started.
    Held,
    Running,
    /// Not reported by its worker yet.
    Unknown,
}

impl TaskState {
    /// Whether the task has ended for any reason.
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
    /// Whether a reservation may have been sent, by this or a former coordinator.
    pub reserve_sent: bool,
    /// Whether a start operation may have been sent.
    pub start_sent: bool,
    /// Whether the worker acknowledged a stop.
    pub stop_acked: bool,
    /// Whether the worker refused the reservation.
    pub refused: bool,
    /// Whether its worker restarted and knew nothing of it.
    pub vanished: bool,
    /// Whether the worker reported that the task ran.
    pub ran: bool,
    /// Whether an inherited task is known not to have run: after the worker accepted this epoch, it
    /// reported the task as only reserved.
    pub never_ran: bool,
    /// Whether the worker acknowledged the checkpoint before the current stop.
    pub checkpointed: bool,
    /// Most work reported as saved.
    pub saved: Millis,
    /// Time after which the task is inactive unless another operation extends its lease.
    pub active_until: Millis,
    /// When the last acknowledged lease was requested.
    pub renewed: Millis,
    /// Whether that lease was `Timing::run_lease`.
    pub long_lease: bool,
    /// Share of full speed acknowledged by the worker, in percent.
    pub percent: u8,
}

impl Task {
    /// A task for which no operation was sent yet.
    pub fn new(key: TaskKey, place: TaskPlace) -> Task {
        Task {
            place,
            key,
            state: TaskState::Unknown,
            reserve_sent: false,
            start_sent: false,
            stop_acked: false,
            refused: false,
            vanished: false,
            ran: false,
            never_ran: false,
            checkpointed: false,
            saved: Millis::ZERO,
            active_until: Millis::ZERO,
            renewed: Millis::ZERO,
            long_lease: false,
            percent: 100,
        }
    }

    /// Applies a report of the worker. `inherited` says whether a former coordinator began the
    /// attempt.
    pub fn apply_report(&mut self, report: &TaskReport, inherited: bool) {
        self.state = report.phase.into();
        self.ran |= report.ran;
        self.saved = self.saved.max(report.saved);
        let unstarted = matches!(report.phase, TaskPhase::Held | TaskPhase::Lapsed);
        if inherited && unstarted && !report.ran {
            self.never_ran = true;
        }
    }

    /// Whether the task can no longer hold accelerators.
    pub fn is_inactive(&self, now: Millis) -> bool {
        let ended = self.state.is_over() || (self.stop_acked && self.state == TaskState::Unknown);
        !self.reserve_sent || ended || now >= self.active_until
    }
}

/// A write of a record that is not acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub record: JobRecord,
    pub expect: Revision,
    pub state: WriteState,
}

/// Progress of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteState {
    /// Queued for the rate limit.
    Waiting,
    /// Sent at this time; the answer is awaited.
    Sent(Millis),
    /// Failed or not answered; to be repeated at this time.
    Retry(Millis),
}

/// A job that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The last record known to be durable.
    pub rec: JobRecord,
    pub rev: Revision,
    /// A later record by another process, received while a write was in progress.
    pub newer: Option<(JobRecord, Revision)>,
    pub stage: Stage,
    pub plan: Option<GangPlan>,
    pub tasks: Vec<Task>,
    pub write: Option<Write>,
    pub end_reason: Option<EndReason>,
    /// Whether a former coordinator began the attempt.
    pub inherited: bool,
    /// When this coordinator took up the attempt or, if later, saw its whole gang running.
    pub active_since: Millis,
    /// Workers that caused the attempt to be stopped.
    pub blame: Vec<WorkerId>,
    /// Requested share of full speed, in percent.
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
            end_reason: None,
            inherited: false,
            active_since: Millis::ZERO,
            blame: Vec::new(),
            percent: 100,
        }
    }

    /// Drops the attempt and takes over the later record, if there is one.
    pub fn reset(&mut self) {
        let current = (self.rec.clone(), self.rev);
        let newer = self.newer.take().filter(|n| n.1 > current.1);
        let (rec, rev) = newer.unwrap_or(current);
        *self = Job::new(rec, rev);
    }

    /// Sets the placement and creates its tasks.
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

    /// The description of a task for its worker.
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

    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        self.tasks.iter_mut().find(|t| t.key == *key)
    }

    /// Whether any task of this attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.tasks
            .iter()
            .any(|t| t.start_sent && (t.ran || !t.never_ran))
    }

    /// Whether the job may be started again after an attempt that may have run.
    pub fn is_restartable(&self) -> bool {
        self.rec.spec.is_stoppable()
    }

    /// Whether the durable record allows start operations to be sent.
    pub fn is_released(&self) -> bool {
        matches!(self.rec.phase, JobPhase::Running { .. })
    }

    /// Work saved by the whole gang: the least that any of its tasks saved, but no less than
    /// earlier attempts did.
    pub fn saved(&self) -> Millis {
        let least = self.tasks.iter().map(|t| t.saved).min();
        least.unwrap_or(Millis::ZERO).max(self.rec.saved)
    }

    /// The failure domain to which the job moves, if it was stopped for that.
    pub fn move_to(&self) -> Option<&DomainId> {
        match &self.end_reason {
            Some(EndReason::Request(StopCause::Move(domain))) => Some(domain),
            _ => None,
        }
    }
}
