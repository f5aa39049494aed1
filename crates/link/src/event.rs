//! What the links tell their owner.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base::VmId;
use bytes::Bytes;

use crate::requests::Replier;

/// Number of a kind of message; the services agree on them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Topic(pub u16);

impl fmt::Display for Topic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Topic {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Topic, ParseIntError> {
        text.parse().map(Topic)
    }
}

/// What the links tell their owner, in order for each peer.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link to a peer ended. Messages in progress may be lost either way.
    Down(VmId),
    /// A one-way message.
    Message {
        /// The sender.
        from: VmId,
        /// Its kind.
        topic: Topic,
        /// The content.
        body: Bytes,
    },
    /// A request. Dropping the replier tells the peer that there is no reply.
    Request {
        /// The sender.
        from: VmId,
        /// Its kind.
        topic: Topic,
        /// The content.
        body: Bytes,
        /// Takes the reply.
        reply: Replier,
    },
    /// A link to a peer is up.
    Up(VmId),
}
