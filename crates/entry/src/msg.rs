//! Messages to the service that carries requests.

use std::net::SocketAddr;

use actix::Message;
use base::Map;
use base::Millis;
use base::OrgId;
use base::Outcome;
use bytes::Bytes;
use route::Upstream;
use route::UpstreamStatus;

use crate::head::Head;

/// A caller's request.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Serve {
    /// What the headers say.
    pub head: Head,
    /// The body, passed on unread.
    pub body: Bytes,
}

/// The final answer to a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It did not run and will not run.
    NotRun {
        /// The reason, for a reader.
        why: String,
        /// When the caller may come back.
        retry: Millis,
    },
    /// It ran; this is the upstream's whole answer.
    Ran {
        /// HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// It may have run.
    Unknown {
        /// The reason, for a reader.
        why: String,
        /// When the caller may come back.
        retry: Millis,
    },
}

impl Reply {
    /// What is known about whether it ran.
    pub fn outcome(&self) -> Outcome {
        match self {
            Reply::NotRun { .. } => Outcome::NotRun,
            Reply::Ran { .. } => Outcome::Ran,
            Reply::Unknown { .. } => Outcome::Unknown,
        }
    }
}

/// An upstream and where it listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The upstream.
    pub upstream: Upstream,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The platform's list of upstreams.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetUpstreams(pub Vec<Target>);

/// Bounds of the requests of one organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrgBounds {
    /// Weight in the shares of upstreams.
    pub weight: f64,
    /// Longest deadline.
    pub deadline: Millis,
    /// Largest body.
    pub body: base::Bytes,
    /// Retries as a share of first sends.
    pub retries: f64,
}

/// The organisations whose requests are served; until the first of these, all are.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetOrgs(pub Map<OrgId, OrgBounds>);

/// Asks for the number of requests not answered yet.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "usize")]
pub struct Drain;

/// Asks for what operators see of the upstreams.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<UpstreamStatus>")]
pub struct UpstreamsStatus;
