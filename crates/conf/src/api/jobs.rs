//! Requests and responses about jobs.

use std::fmt;
use std::str::FromStr;

use base::Attempt;
use base::DomainId;
use base::IdError;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::OrgId;
use base::TaskPlace;
use serde::Deserialize;
use serde::Serialize;

use crate::tree::OpId;
use crate::tree::Operator;

/// Phase of a job's life cycle.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// Cancelled; none of its tasks runs.
    Cancelled,
    /// Ended with an error.
    Failed,
    /// Ended successfully.
    Finished,
    /// Waiting for accelerators.
    Queued,
    /// Rejected, because it can never run.
    Refused,
    /// All of its tasks are running.
    Running,
    /// Accelerators are being reserved.
    Starting,
    /// Its tasks are being stopped.
    Stopping,
    /// Contact with an attempt that must not be repeated was lost; whether the attempt
    /// completed is not known.
    Unknown,
}

impl JobPhase {
    const NAMES: [(JobPhase, &'static str); 9] = [
        (JobPhase::Cancelled, "cancelled"),
        (JobPhase::Failed, "failed"),
        (JobPhase::Finished, "finished"),
        (JobPhase::Queued, "queued"),
        (JobPhase::Refused, "refused"),
        (JobPhase::Running, "running"),
        (JobPhase::Starting, "starting"),
        (JobPhase::Stopping, "stopping"),
        (JobPhase::Unknown, "unknown"),
    ];

    /// Whether the job has ended.
    pub fn is_final(self) -> bool {
        use JobPhase::*;
        matches!(self, Cancelled | Failed | Finished | Refused | Unknown)
    }
}

impl fmt::Display for JobPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = JobPhase::NAMES.iter().find(|(p, _)| p == self);
        f.write_str(named.map_or("", |(_, n)| n))
    }
}

impl FromStr for JobPhase {
    type Err = IdError;

    fn from_str(text: &str) -> Result<JobPhase, IdError> {
        let named = JobPhase::NAMES.iter().find(|(_, n)| *n == text);
        named
            .map(|(p, _)| *p)
            .ok_or_else(|| IdError::Malformed("job phase", text.to_string()))
    }
}

/// A job and its current state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobInfo {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Current phase.
    pub phase: JobPhase,
    /// The failure domain that the job is assigned to, or was last assigned to.
    pub domain: Option<DomainId>,
    /// Number of attempts started so far.
    pub attempt: Attempt,
    /// Workers that its tasks are placed on.
    pub places: Vec<TaskPlace>,
    /// Human-readable reason for the phase.
    pub reason: String,
    /// Time of submission.
    pub submitted: Millis,
    /// Time at which the latest attempt began to run.
    pub started: Option<Millis>,
    /// Time at which the job ended.
    pub ended: Option<Millis>,
    /// Estimated start time of a queued job, if there is an estimate.
    pub expected: Option<Millis>,
}

/// Filter and page of a job listing, which is ordered by id.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobsQuery {
    /// Restricts the list to this organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub org: Option<OrgId>,
    /// Restricts the list to this phase.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub phase: Option<JobPhase>,
    /// Restricts the list to greater ids; set it to the last id of the previous page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<JobId>,
    /// Maximum number of jobs in the page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// One page of jobs, ordered by id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobsReply {
    /// Jobs that match the query.
    pub jobs: Vec<JobInfo>,
    /// Whether more jobs follow the last one.
    pub more: bool,
}

/// Request to cancel jobs. Jobs that have ended are left unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelRequest {
    /// Operation id; a resend must carry the same id.
    pub op: OpId,
    /// Operator who makes the request.
    pub who: Operator,
    /// Jobs to cancel.
    #[serde(default)]
    pub jobs: Vec<JobId>,
    /// Also cancels every job of this organisation that has not ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub org: Option<OrgId>,
}

/// Result of a cancellation for each job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CancelReply {
    /// Jobs that will not run any further.
    pub cancelled: Vec<JobId>,
    /// Jobs that had already ended.
    pub ended: Vec<JobId>,
    /// Ids that belong to no known job.
    pub missing: Vec<JobId>,
}
