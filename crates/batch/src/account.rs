//! Accounts of where the time of urgent jobs goes, and the work of runs without a result.
//!
//! Load pattern: during a burst or a fault some urgent jobs end late, and work is thrown away for
//! them. Which of the many possible reasons it was shows only in the sum over all decisions on a job.

use std::fmt;

use base::JobId;
use base::Millis;
use base::WorkerId;

use crate::job::JobPhase;
use crate::rank::USEFUL_FACTOR;
use crate::spec::RunNumber;
use crate::spec::TaskId;
use crate::speed::Speed;

/// What a part of an urgent job's time was spent on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// From its acceptance until the coordinator had read it.
    Acceptance,
    /// Waiting for runs to end that were stopped for it.
    Grace,
    /// Waiting while starts were held because state was not known to be current.
    Held,
    /// Waiting because of its organisation's limit.
    Limit,
    /// Running for longer than its estimate lets expect, whatever the speed of its workers.
    Longer,
    /// Runs without a result, and their clean-up.
    Lost,
    /// A pause after a start that was refused or not answered.
    Pause,
    /// Waiting for a proven worker after a failure, or for one without other jobs.
    Proof,
    /// Waiting for free resources.
    Room,
    /// Additional running time because its workers are slower than usual.
    Slow,
    /// From sending the starts until the workers have accepted them.
    Start,
    /// Waiting until its starts are recorded in the store.
    Store,
    /// Under an earlier coordinator, or until this one had read its state.
    Takeover,
    /// Running, as long as expected at the usual speed.
    Work,
}

impl Stage {
    /// All stages, in the order of their declaration.
    pub const ALL: [Stage; 14] = [
        Stage::Acceptance,
        Stage::Grace,
        Stage::Held,
        Stage::Limit,
        Stage::Longer,
        Stage::Lost,
        Stage::Pause,
        Stage::Proof,
        Stage::Room,
        Stage::Slow,
        Stage::Start,
        Stage::Store,
        Stage::Takeover,
        Stage::Work,
    ];

    /// Name of the stage in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Acceptance => "acceptance",
            Stage::Grace => "grace",
            Stage::Held => "held",
            Stage::Limit => "limit",
            Stage::Longer => "longer",
            Stage::Lost => "lost",
            Stage::Pause => "pause",
            Stage::Proof => "proof",
            Stage::Room => "room",
            Stage::Slow => "slow",
            Stage::Start => "start",
            Stage::Store => "store",
            Stage::Takeover => "takeover",
            Stage::Work => "work",
        }
    }
}

/// What a job is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activity {
    /// Its tasks run.
    Running,
    /// It does not run.
    Waiting(Stage),
}

/// Account of one job's time.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    spent: [Millis; Stage::ALL.len()],
    current: Option<(Activity, Millis)>,
    /// Time of the runs that may still end with a result.
    running: Millis,
    /// Speed of the slowest worker of these runs.
    speed: Speed,
}

impl Trace {
    /// Whether nothing is noted yet.
    pub fn is_new(&self) -> bool {
        self.current.is_none()
    }

    /// Adds time to a stage.
    pub fn add(&mut self, stage: Stage, span: Millis) {
        self.spent[stage as usize] += span;
    }

    /// Notes what the job does from `now` on.
    pub fn advance(&mut self, activity: Activity, now: Millis) {
        self.settle(now);
        self.current = Some((activity, now));
    }

    /// Notes the speed of the slowest worker of new runs.
    pub fn set_speed(&mut self, speed: Speed) {
        self.speed = speed;
    }

    /// Speed of the slowest worker of the latest runs.
    pub fn speed(&self) -> Speed {
        self.speed
    }

    /// Counts the time of the current runs as lost.
    pub fn lose_runs(&mut self, now: Millis) {
        self.settle(now);
        let lost = std::mem::take(&mut self.running);
        self.add(Stage::Lost, lost);
    }

    /// Closes the account at `now` and returns the stages that took time. `expected` is the duration
    /// of the job's work at the usual speed.
    pub fn finish(&mut self, expected: Millis, now: Millis) -> Vec<(Stage, Millis)> {
        self.settle(now);
        self.current = None;
        let running = std::mem::take(&mut self.running);
        let usual = self.speed.usual_time(running).min(running);
        let work = usual.min(expected);
        self.add(Stage::Work, work);
        self.add(Stage::Longer, usual.since(work));
        self.add(Stage::Slow, running.since(usual));
        let spent = Stage::ALL.into_iter().zip(self.spent);
        spent.filter(|(_, span)| *span > Millis::ZERO).collect()
    }

    fn settle(&mut self, now: Millis) {
        let Some((activity, since)) = self.current else {
            return;
        };
        match activity {
            Activity::Running => self.running += now.since(since),
            Activity::Waiting(stage) => self.add(stage, now.since(since)),
        }
        self.current = Some((activity, now));
    }
}

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Cancelled by its caller.
    Cancelled,
    /// Given up.
    Failed,
    /// Completed within its objective.
    InTime,
    /// Completed late, and still of use.
    Late,
    /// Completed too late to be of use.
    TooLate,
}

impl Outcome {
    /// The outcome of a job that took `took`.
    pub fn new(phase: JobPhase, took: Millis, objective: Millis) -> Outcome {
        match phase {
            JobPhase::Cancelled => Outcome::Cancelled,
            JobPhase::Failed => Outcome::Failed,
            _ if took <= objective => Outcome::InTime,
            _ if took.0 <= objective.0 * USEFUL_FACTOR => Outcome::Late,
            _ => Outcome::TooLate,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Cancelled => "cancelled",
            Outcome::Failed => "failed",
            Outcome::InTime => "in-time",
            Outcome::Late => "late",
            Outcome::TooLate => "too-late",
        })
    }
}

/// Why a run ended without a result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// Its job was cancelled or failed.
    Ended,
    /// It failed.
    Failed,
    /// Another member of its gang ended or did not start, by the worker's report.
    Gang,
    /// Its worker's lease expired.
    Lapsed,
    /// It was stopped because of its organisation's limit.
    Limit,
    /// An earlier coordinator stopped it.
    Predecessor,
    /// Its start was refused.
    Refused,
    /// It made no progress.
    Stalled,
    /// Another run of the task had a result.
    Superseded,
    /// Its start was not answered.
    Unanswered,
    /// Its worker does not report it.
    Unreported,
    /// It was stopped for the upkeep of its worker.
    Upkeep,
    /// It was stopped to make room for an urgent job.
    Urgent,
    /// Its worker is gone.
    Worker,
}

impl LossCause {
    /// Name of the cause in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LossCause::Ended => "ended",
            LossCause::Failed => "failed",
            LossCause::Gang => "gang",
            LossCause::Lapsed => "lapsed",
            LossCause::Limit => "limit",
            LossCause::Predecessor => "predecessor",
            LossCause::Refused => "refused",
            LossCause::Stalled => "stalled",
            LossCause::Superseded => "superseded",
            LossCause::Unanswered => "unanswered",
            LossCause::Unreported => "unreported",
            LossCause::Upkeep => "upkeep",
            LossCause::Urgent => "urgent",
            LossCause::Worker => "worker",
        }
    }
}

/// Why a run is being stopped or has ended without a result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loss {
    /// The cause.
    pub cause: LossCause,
    /// Whether the cause struck another member of its gang.
    pub member: bool,
    /// The job that it made room for, if any.
    pub room_for: Option<JobId>,
}

impl Loss {
    /// A loss that struck the run itself.
    pub fn new(cause: LossCause) -> Loss {
        Loss {
            cause,
            member: false,
            room_for: None,
        }
    }

    /// The loss of the other members of the gang.
    pub fn of_member(&self) -> Loss {
        Loss {
            member: true,
            ..self.clone()
        }
    }
}

/// A run that has ended without a result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Id of the worker.
    pub worker: WorkerId,
    /// Why it ended.
    pub loss: Loss,
    /// Time since its start, or since its progress was last saved.
    pub ran: Millis,
    /// Work of that time, in core-milliseconds.
    pub work: u64,
}

/// A job that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedJob {
    /// Name of its queue.
    pub queue: String,
    /// Priority of the queue.
    pub priority: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since its acceptance.
    pub took: Millis,
    /// Target for that time.
    pub objective: Millis,
    /// What the time was spent on; empty unless the job is urgent.
    pub stages: Vec<(Stage, Millis)>,
    /// Speed of the slowest worker of its latest runs.
    pub speed: Speed,
    /// Number of runs that were stopped for it.
    pub stopped_runs: usize,
    /// Work that these had done, in core-milliseconds.
    pub stopped_work: u64,
}
