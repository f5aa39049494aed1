//! Events that the links report, and message types.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base::VmId;
use bytes::Bytes;

use crate::requests::Replier;

/// Message type. The numbers are assigned by the services that use the links.
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

/// Event of the links. Events of one peer are reported in order.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link to a peer ended. Messages in transit may be lost in both directions.
    Down(VmId),
    /// A one-way message arrived.
    Message {
        /// The sender.
        from: VmId,
        /// Message type.
        topic: Topic,
        /// Payload, opaque to the link.
        body: Bytes,
    },
    /// A request arrived.
    Request {
        /// The sender.
        from: VmId,
        /// Message type.
        topic: Topic,
        /// Payload, opaque to the link.
        body: Bytes,
        /// Sends the reply. Dropping it tells the sender that no reply will follow.
        reply: Replier,
    },
    /// A link to a peer was established.
    Up(VmId),
}
