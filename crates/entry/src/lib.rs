//! HTTP interfaces for callers and operators, and the service that forwards requests to upstreams.
//!
//! The handlers parse HTTP on a thread of each server and send typed messages to actors. All
//! actors run on one other thread, where the decisions are made.

pub mod ops;

mod answer;
mod callers;
mod claims;
mod connections;
mod exchange;
mod framing;
mod head;
mod jobs;
mod msg;
mod operators;
mod ready;
mod requests;
mod server;
mod stream;

pub use callers::callers_routes;
pub use claims::ClaimClient;
pub use claims::ClaimFuture;
pub use claims::Claimed;
pub use connections::Connections;
pub use head::RequestHead;
pub use jobs::jobs_routes;
pub use jobs::JobsPort;
pub use msg::CountOpenRequests;
pub use msg::OrgLimits;
pub use msg::Reply;
pub use msg::ServeRequest;
pub use msg::SetOrgs;
pub use msg::SetUpstreams;
pub use msg::Target;
pub use msg::UpstreamsStatus;
pub use operators::operators_routes;
pub use operators::OperatorsPort;
pub use ready::Ready;
pub use requests::Requests;
pub use requests::RequestsConfig;
pub use server::Server;
