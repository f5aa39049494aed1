//! Messages to the service that forwards requests.

use std::net::SocketAddr;

use actix::Message;
use base::Map;
use base::Millis;
use base::OrgId;
use base::Outcome;
use bytes::Bytes;
use route::Upstream;
use route::UpstreamStatus;

use crate::head::RequestHead;

/// Forwards a caller's request and returns the final answer.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct ServeRequest {
    /// The data from the path and the headers.
    pub head: RequestHead,
    /// The body, forwarded without parsing.
    pub body: Bytes,
}

/// The final answer to a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The request did not run and will not run.
    NotRun {
        /// The reason, as text for the caller.
        why: String,
        /// Time after which the caller may retry.
        retry: Millis,
    },
    /// The request ran; this is the complete answer of the upstream.
    Ran {
        /// HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// The request may have run.
    Unknown {
        /// The reason, as text for the caller.
        why: String,
        /// Time after which the caller may retry.
        retry: Millis,
    },
}

impl Reply {
    /// Whether the request ran, as far as is known.
    pub fn outcome(&self) -> Outcome {
        match self {
            Reply::NotRun { .. } => Outcome::NotRun,
            Reply::Ran { .. } => Outcome::Ran,
            Reply::Unknown { .. } => Outcome::Unknown,
        }
    }
}

/// An upstream and its address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The upstream as the balancer sees it.
    pub upstream: Upstream,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
}

/// Replaces the list of upstreams with the current one of the platform.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetUpstreams(pub Vec<Target>);

/// Limits for the requests of one organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrgLimits {
    /// Weight of its requests when upstreams are full.
    pub weight: f64,
    /// Longest deadline that a request may ask for.
    pub max_deadline: Millis,
    /// Largest body of a request.
    pub max_body: base::Bytes,
    /// Retries allowed as a share of first sends.
    pub retry_share: f64,
}

/// Replaces the list of organisations whose requests are served. Before the first such message,
/// requests of all organisations are served.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetOrgs(pub Map<OrgId, OrgLimits>);

/// Returns the number of requests that are not answered yet.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "usize")]
pub struct CountOpenRequests;

/// Returns the state of the upstreams for operators.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<UpstreamStatus>")]
pub struct UpstreamsStatus;
