//! The durable record of a job, stored in the platform under `jobs/<id>`.

use std::fmt;

use base::Attempt;
use base::DomainId;
use base::Epoch;
use base::GangPlan;
use base::JobSpec;
use base::Millis;
use base::Outcome;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Format version that this build writes, and the newest that it reads.
const VERSION: u32 = 1;

/// Durable phase of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "phase")]
pub enum JobPhase {
    /// The job has ended.
    Done {
        /// Final outcome; it never changes.
        outcome: JobOutcome,
    },
    /// The job waits for a placement.
    Queued,
    /// Start operations of this attempt may have been sent. Written before the first of them.
    Running {
        /// Placement of the attempt.
        plan: GangPlan,
        /// When the attempt was released to run.
        since: Millis,
    },
    /// Accelerators may be reserved for this attempt; no start operation was sent.
    Starting {
        /// Placement of the attempt.
        plan: GangPlan,
    },
}

/// Final outcome of a job. A job gets exactly one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum JobOutcome {
    /// Cancelled by its caller or an operator.
    Cancelled {
        /// Whether any task may have run.
        ran: bool,
    },
    /// The job ran and did not succeed.
    Failed {
        /// What was observed; shown to the caller.
        evidence: String,
    },
    /// All tasks ended with success.
    Finished,
    /// Refused before any task ran.
    Refused {
        /// Why it was refused; shown to the caller.
        reason: String,
    },
    /// The job may have run, with an unknown result. It is not started again.
    Unknown {
        /// Why the result is unknown; shown to the caller.
        reason: String,
    },
}

impl JobOutcome {
    /// Whether the job ran, as far as the caller may rely on it.
    pub fn outcome(&self) -> Outcome {
        match self {
            JobOutcome::Cancelled { ran: false } | JobOutcome::Refused { .. } => Outcome::NotRun,
            JobOutcome::Cancelled { ran: true } | JobOutcome::Unknown { .. } => Outcome::Unknown,
            JobOutcome::Failed { .. } | JobOutcome::Finished => Outcome::Ran,
        }
    }
}

impl fmt::Display for JobOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobOutcome::Cancelled { ran: false } => f.write_str("cancelled, not run"),
            JobOutcome::Cancelled { ran: true } => f.write_str("cancelled, may have run"),
            JobOutcome::Failed { evidence } => write!(f, "failed: {evidence}"),
            JobOutcome::Finished => f.write_str("finished"),
            JobOutcome::Refused { reason } => write!(f, "refused, not run: {reason}"),
            JobOutcome::Unknown { reason } => write!(f, "outcome unknown: {reason}"),
        }
    }
}

/// The durable record of a job.
///
/// It is created as queued, with `epoch` and `op` zero. Afterwards only coordinators write it,
/// except for `cancel`: whoever sets that flag keeps every other field, so that a coordinator
/// still recognises its own write by `epoch` and `op` after the answer was lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobRecord {
    /// The job as submitted.
    pub spec: JobSpec,
    /// The failure domain whose coordinator is responsible.
    pub domain: DomainId,
    /// Current phase.
    pub phase: JobPhase,
    /// Number of the latest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Work saved by checkpoints of earlier attempts.
    pub saved: Millis,
    /// When the job was submitted.
    pub submitted: Millis,
    /// Whether any task of any attempt may have run.
    pub ran: bool,
    /// Number of its latest attempts in a row that were lost with their workers soon after the start.
    pub losses: u32,
    /// Whether the job was cancelled by its caller or an operator.
    pub cancel: bool,
    /// Epoch of the coordinator that wrote the record last; 0 if none did.
    pub epoch: Epoch,
    /// Operation id of that write, unique within the epoch; 0 if there was none.
    pub op: u64,
}

impl JobRecord {
    /// The record of a newly submitted job.
    pub fn new(spec: JobSpec, domain: DomainId, submitted: Millis) -> JobRecord {
        JobRecord {
            spec,
            domain,
            phase: JobPhase::Queued,
            attempt: Attempt(0),
            saved: Millis::ZERO,
            submitted,
            ran: false,
            losses: 0,
            cancel: false,
            epoch: Epoch(0),
            op: 0,
        }
    }

    /// Whether the job has its final outcome.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, JobPhase::Done { .. })
    }

    /// The placement of the current attempt, if there is one.
    pub fn plan(&self) -> Option<&GangPlan> {
        match &self.phase {
            JobPhase::Running { plan, .. } | JobPhase::Starting { plan } => Some(plan),
            JobPhase::Done { .. } | JobPhase::Queued => None,
        }
    }
}

/// Stored form of a [`JobRecord`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordWire {
    version: u32,
    spec: JobSpec,
    domain: DomainId,
    state: JobPhase,
    attempt: Attempt,
    saved: Millis,
    submitted: Millis,
    ran: bool,
    #[serde(default)]
    losses: u32,
    #[serde(default)]
    cancel: bool,
    epoch: Epoch,
    op: u64,
}

quick_error! {
    /// Why a stored value is not a valid record.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum RecordError {
        /// The format version is newer than this build supports.
        Version(version: u32) {
            display("record version {version} is newer than {VERSION}")
        }
        /// The placement names another job or another attempt.
        Plan {
            display("the placement does not fit the job and its attempt")
        }
    }
}

impl From<JobRecord> for RecordWire {
    fn from(rec: JobRecord) -> RecordWire {
        RecordWire {
            version: VERSION,
            spec: rec.spec,
            domain: rec.domain,
            state: rec.phase,
            attempt: rec.attempt,
            saved: rec.saved,
            submitted: rec.submitted,
            ran: rec.ran,
            losses: rec.losses,
            cancel: rec.cancel,
            epoch: rec.epoch,
            op: rec.op,
        }
    }
}

impl TryFrom<RecordWire> for JobRecord {
    type Error = RecordError;

    fn try_from(wire: RecordWire) -> Result<JobRecord, RecordError> {
        if wire.version > VERSION {
            return Err(RecordError::Version(wire.version));
        }
        let rec = JobRecord {
            spec: wire.spec,
            domain: wire.domain,
            phase: wire.state,
            attempt: wire.attempt,
            saved: wire.saved,
            submitted: wire.submitted,
            ran: wire.ran,
            losses: wire.losses,
            cancel: wire.cancel,
            epoch: wire.epoch,
            op: wire.op,
        };
        let fits = |p: &GangPlan| p.job == rec.spec.id && p.attempt == rec.attempt;
        if rec.plan().is_some_and(|p| !fits(p)) {
            return Err(RecordError::Plan);
        }
        Ok(rec)
    }
}
