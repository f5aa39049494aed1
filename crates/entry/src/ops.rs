//! Messages from the handlers of the operators' and callers' ports to the services.

use actix::Message;
use base::DomainId;
use base::JobId;
use base::JobSpec;
use conf::api::CancelReply;
use conf::api::CancelRequest;
use conf::api::ChangeReply;
use conf::api::ExplainReply;
use conf::api::HistoryQuery;
use conf::api::HistoryReply;
use conf::api::JobInfo;
use conf::api::JobsQuery;
use conf::api::JobsReply;
use conf::api::OrgsReply;
use conf::api::Refusal;
use conf::api::SettingsQuery;
use conf::api::SettingsReply;
use conf::api::SettingsRequest;
use conf::api::ShapesQuery;
use conf::api::ShapesReply;
use conf::api::Status;
use conf::api::WorkersQuery;
use conf::api::WorkersReply;

/// Error of a call to a service: the call was refused, or its outcome is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiError {
    /// HTTP status.
    pub status: u16,
    /// Body of the answer.
    pub refusal: Refusal,
}

impl ApiError {
    /// Error of a call that was not executed and will not be.
    pub fn not_run(status: u16, reason: impl Into<String>) -> ApiError {
        ApiError {
            status,
            refusal: Refusal::not_run(reason),
        }
    }

    /// Error of a call that may have been executed.
    pub fn unknown(reason: impl Into<String>) -> ApiError {
        ApiError {
            status: 504,
            refusal: Refusal::unknown(reason),
        }
    }

    /// Adds the time after which the caller may try again.
    pub fn retry_after(mut self, retry: base::Millis) -> ApiError {
        self.refusal.retry = Some(retry);
        self
    }
}

/// Result of a call to a service.
pub type ApiResult<T> = Result<T, ApiError>;

/// Submits a job, or returns the job that was submitted earlier under the same id.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<Submitted>")]
pub struct SubmitJob(pub JobSpec);

/// A submitted job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submitted {
    /// The job.
    pub info: JobInfo,
    /// Whether this call created it.
    pub created: bool,
}

/// Reads a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<JobInfo>")]
pub struct GetJob(pub JobId);

/// Lists jobs.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<JobsReply>")]
pub struct ListJobs(pub JobsQuery);

/// Cancels jobs.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<CancelReply>")]
pub struct CancelJobs(pub CancelRequest);

/// Reads the settings in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<SettingsReply>")]
pub struct ReadSettings(pub SettingsQuery);

/// Explains where the value of a setting comes from.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<ExplainReply>")]
pub struct ExplainSetting(pub SettingsQuery);

/// Lists past changes of settings.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<HistoryReply>")]
pub struct ReadHistory(pub HistoryQuery);

/// Changes settings.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<ChangeReply>")]
pub struct ChangeSettings(pub SettingsRequest);

/// Takes a failure domain out of service or back into service.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<ChangeReply>")]
pub struct SetDomain {
    /// The failure domain.
    pub domain: DomainId,
    /// `true` to take it out of service, `false` to take it back.
    pub out: bool,
    /// The operation id and the operator who asks for the change.
    pub call: conf::api::DomainRequest,
}

/// Lists organisations.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ApiResult<OrgsReply>")]
pub struct ReadOrgs;

/// Lists guaranteed shapes.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<ShapesReply>")]
pub struct ReadShapes(pub ShapesQuery);

/// Lists workers.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ApiResult<WorkersReply>")]
pub struct ReadWorkers(pub WorkersQuery);

/// Reads the state of the site.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ApiResult<Status>")]
pub struct ReadStatus;
