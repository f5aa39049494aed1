//! The durable record of a job, kept in the platform under `jobs/<id>`.

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

/// Version of the wire type that this build writes.
const VERSION: u32 = 1;

/// How far a job has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "phase")]
pub enum JobPhase {
    /// Ended for good.
    Done {
        /// Its one outcome.
        outcome: JobOutcome,
    },
    /// Waits for a placement.
    Queued,
    /// A start operation of this attempt may have been sent; written before the first one.
    Running {
        /// Its placement.
        plan: GangPlan,
        /// When it was released to run.
        since: Millis,
    },
    /// Accelerators may be reserved for this attempt; no start operation was sent.
    Starting {
        /// Its placement.
        plan: GangPlan,
    },
}

/// The one final outcome of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum JobOutcome {
    /// Cancelled by its caller or an operator.
    Cancelled {
        /// Whether any task may have run.
        ran: bool,
    },
    /// It ran and did not succeed.
    Failed {
        /// What was seen, for the caller.
        evidence: String,
    },
    /// All tasks ended with success.
    Finished,
    /// Refused before any task ran.
    Refused {
        /// Why, for the caller.
        reason: String,
    },
    /// It may have run, and nothing tells how far; it is not started again.
    Unknown {
        /// Why nothing is known.
        reason: String,
    },
}

impl JobOutcome {
    /// What the caller may conclude about whether the work ran.
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

/// The record of a job.
///
/// A caller creates it queued with `epoch` and `op` zero. Afterwards only coordinators write
/// it, but for `cancel`: whoever sets that keeps every other field, so that a coordinator
/// still finds its own operation id after a lost answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobRecord {
    /// The job as declared.
    pub spec: JobSpec,
    /// The failure domain whose coordinator is responsible.
    pub domain: DomainId,
    /// How far it has come.
    pub phase: JobPhase,
    /// Attempts begun so far.
    pub attempt: Attempt,
    /// Work saved by checkpoints of earlier attempts.
    pub saved: Millis,
    /// When it was submitted.
    pub submitted: Millis,
    /// Whether any task of any attempt may have run.
    pub ran: bool,
    /// Whether its caller asked for its end.
    pub cancel: bool,
    /// Epoch of the last coordinator that wrote it.
    pub epoch: Epoch,
    /// Operation id of that write, unique within the epoch.
    pub op: u64,
}

impl JobRecord {
    /// A newly submitted job.
    pub fn new(spec: JobSpec, domain: DomainId, submitted: Millis) -> JobRecord {
        JobRecord {
            spec,
            domain,
            phase: JobPhase::Queued,
            attempt: Attempt(0),
            saved: Millis::ZERO,
            submitted,
            ran: false,
            cancel: false,
            epoch: Epoch(0),
            op: 0,
        }
    }

    /// Whether it has its outcome.
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

/// What is stored for a [`JobRecord`].
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
    cancel: bool,
    epoch: Epoch,
    op: u64,
}

quick_error! {
    /// Why a stored value is not a usable record.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum RecordError {
        /// Written by a newer build.
        Version(version: u32) {
            display("record version {version} is newer than {VERSION}")
        }
        /// The placement is not one of this job's attempt.
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
