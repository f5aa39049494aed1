//! Messages from the operators' and callers' ports to the services behind them.

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

/// A call that was not carried out, with its HTTP status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused {
    /// HTTP status.
    pub status: u16,
    /// The answer's body.
    pub refusal: Refusal,
}

impl Refused {
    /// A refusal that did not run and will not run.
    pub fn not_run(status: u16, reason: impl Into<String>) -> Refused {
        Refused {
            status,
            refusal: Refusal::not_run(reason),
        }
    }

    /// The answer to a call that may have been carried out.
    pub fn unknown(reason: impl Into<String>) -> Refused {
        Refused {
            status: 504,
            refusal: Refusal::unknown(reason),
        }
    }

    /// Adds the time to come back.
    pub fn after(mut self, retry: base::Millis) -> Refused {
        self.refusal.retry = Some(retry);
        self
    }
}

/// Result of a call.
pub type Answered<T> = Result<T, Refused>;

/// Accepts a job, or finds the one that was accepted under the same id.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<Submitted>")]
pub struct SubmitJob(pub JobSpec);

/// An accepted job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submitted {
    /// The job.
    pub info: JobInfo,
    /// Whether this call created it.
    pub created: bool,
}

/// Reads a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<JobInfo>")]
pub struct GetJob(pub JobId);

/// Lists jobs.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<JobsReply>")]
pub struct ListJobs(pub JobsQuery);

/// Cancels jobs.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<CancelReply>")]
pub struct CancelJobs(pub CancelRequest);

/// Reads settings.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<SettingsReply>")]
pub struct ReadSettings(pub SettingsQuery);

/// Explains where a setting's value comes from.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<ExplainReply>")]
pub struct ExplainSetting(pub SettingsQuery);

/// Lists changes of settings.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<HistoryReply>")]
pub struct ReadHistory(pub HistoryQuery);

/// Changes settings.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<ChangeReply>")]
pub struct ChangeSettings(pub SettingsRequest);

/// Takes a failure domain out or back.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<ChangeReply>")]
pub struct SetDomain {
    /// The failure domain.
    pub domain: DomainId,
    /// Whether it goes out.
    pub out: bool,
    /// Operation and operator.
    pub call: conf::api::DomainRequest,
}

/// Lists organisations.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Answered<OrgsReply>")]
pub struct ReadOrgs;

/// Lists guaranteed shapes.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<ShapesReply>")]
pub struct ReadShapes(pub ShapesQuery);

/// Lists workers.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answered<WorkersReply>")]
pub struct ReadWorkers(pub WorkersQuery);

/// Reads the state of the site.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Answered<Status>")]
pub struct ReadStatus;
