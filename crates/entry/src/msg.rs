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

/// Weights of the organisations; 1 for those not named.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetWeights(pub Map<OrgId, f64>);

/// Asks for the number of requests not answered yet.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "usize")]
pub struct Drain;

/// Asks for what operators see of the upstreams.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<UpstreamStatus>")]
pub struct UpstreamsStatus;
