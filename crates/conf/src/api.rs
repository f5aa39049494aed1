//! JSON messages of the operators' port, shared by the daemon and `tackctl`.
//!
//! | method and path | query or request | answer |
//! |---|---|---|
//! | `GET /v1/status` | | 200 [`Status`] |
//! | `GET /v1/settings` | [`SettingsQuery`] | 200 [`SettingsReply`] |
//! | `GET /v1/settings/explain` | [`SettingsQuery`] with `key` | 200 [`ExplainReply`] |
//! | `GET /v1/settings/history` | [`HistoryQuery`] | 200 [`HistoryReply`] |
//! | `POST /v1/settings` | [`SettingsRequest`] | 200 [`ChangeReply`] |
//! | `POST /v1/domains/{domain:.+}/out` | [`DomainRequest`] | 200 [`ChangeReply`] |
//! | `POST /v1/domains/{domain:.+}/back` | [`DomainRequest`] | 200 [`ChangeReply`] |
//! | `GET /v1/orgs` | | 200 [`OrgsReply`] |
//! | `GET /v1/shapes` | [`ShapesQuery`] | 200 [`ShapesReply`] |
//! | `GET /v1/workers` | [`WorkersQuery`] | 200 [`WorkersReply`] |
//! | `POST /v1/jobs` | [`base::JobSpec`] | 201 [`JobInfo`], or 200 if the job already exists |
//! | `GET /v1/jobs` | [`JobsQuery`] | 200 [`JobsReply`] |
//! | `POST /v1/jobs/cancel` | [`CancelRequest`] | 200 [`CancelReply`] |
//! | `GET /v1/jobs/{id:.+}` | | 200 [`JobInfo`] |
//! | `DELETE /v1/jobs/{id:.+}` | | 200 [`CancelReply`] |
//!
//! Identifiers may contain slashes, so `{...:.+}` matches the rest of the path.
//!
//! Every other response has a [`Refusal`] as its body:
//!
//! | status | outcome | when |
//! |---|---|---|
//! | 400 | not run | the query or the body is malformed |
//! | 404 | not run | no such path, job, organisation or failure domain |
//! | 409 | not run | the settings changed after the expected revision ([`Refusal::conflict`]); for a job, its id belongs to a different job |
//! | 413 | not run | the body is too large |
//! | 422 | not run | the input has [`Refusal::findings`] |
//! | 429, 503 | not run | the daemon is overloaded or not ready; see [`Refusal::retry`] |
//! | 504 | unknown | the write may have taken effect; resend it with the same operation id or job id |
//!
//! Every request that changes state carries an operation id or a job id. It may be resent to
//! any daemon with the same id and takes effect at most once. A refusal describes only the
//! send that it answers: if an earlier send got no response, its outcome stays unknown until
//! the same operation is accepted.

mod jobs;
mod settings;
mod site;
mod status;

pub use jobs::CancelReply;
pub use jobs::CancelRequest;
pub use jobs::JobInfo;
pub use jobs::JobPhase;
pub use jobs::JobsQuery;
pub use jobs::JobsReply;
pub use settings::ChainLink;
pub use settings::ChangeReply;
pub use settings::Conflict;
pub use settings::DomainRequest;
pub use settings::ExplainReply;
pub use settings::HistoryQuery;
pub use settings::HistoryReply;
pub use settings::OrgInfo;
pub use settings::OrgsReply;
pub use settings::Refusal;
pub use settings::Setting;
pub use settings::SettingsQuery;
pub use settings::SettingsReply;
pub use settings::SettingsRequest;
pub use settings::ShapeInfo;
pub use settings::ShapesQuery;
pub use settings::ShapesReply;
pub use site::CoordinatorStatus;
pub use site::Grouping;
pub use site::GuaranteeStatus;
pub use site::JobCount;
pub use site::SiteDecision;
pub use site::SiteJob;
pub use site::SiteRun;
pub use site::SiteStatus;
pub use site::SiteStep;
pub use site::SiteWorker;
pub use site::SiteWorkers;
pub use site::WithheldRoom;
pub use site::WorkerCount;
pub use status::Coordinator;
pub use status::DomainStatus;
pub use status::PeerStatus;
pub use status::PlatformState;
pub use status::Status;
pub use status::WorkerInfo;
pub use status::WorkersQuery;
pub use status::WorkersReply;
