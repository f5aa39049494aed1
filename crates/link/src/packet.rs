//! Messages on a link and their CBOR form: a frame is an array of packets, and a packet is an
//! array of kind, id, topic and body.

use std::fmt;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::de::Error;
use serde::de::Visitor;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::error::LinkError;
use crate::event::Topic;

/// Bytes of a packet beside its body, at most.
pub const OVERHEAD: usize = 24;

const KIND_MESSAGE: u8 = 0;
const KIND_REQUEST: u8 = 1;
const KIND_REPLY: u8 = 2;
const KIND_NO_REPLY: u8 = 3;

/// One message on a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Packet {
    /// A one-way message.
    Message {
        /// Its kind.
        topic: Topic,
        /// The content.
        body: Bytes,
    },
    /// There is no reply to a request.
    NoReply {
        /// The request.
        id: u64,
    },
    /// The reply to a request.
    Reply {
        /// The request.
        id: u64,
        /// The content.
        body: Bytes,
    },
    /// A request.
    Request {
        /// The sender's number for it.
        id: u64,
        /// Its kind.
        topic: Topic,
        /// The content.
        body: Bytes,
    },
}

impl Packet {
    /// Bytes on the wire, at most.
    pub fn size(&self) -> usize {
        match self {
            Packet::Message { body, .. }
            | Packet::Reply { body, .. }
            | Packet::Request { body, .. } => OVERHEAD + body.len(),
            Packet::NoReply { .. } => OVERHEAD,
        }
    }
}

/// A packet as an array.
#[derive(Debug, Deserialize, Serialize)]
struct WirePacket(u8, u64, u16, Body);

impl From<&Packet> for WirePacket {
    fn from(packet: &Packet) -> WirePacket {
        match packet {
            Packet::Message { topic, body } => {
                WirePacket(KIND_MESSAGE, 0, topic.0, Body(body.clone()))
            }
            Packet::NoReply { id } => WirePacket(KIND_NO_REPLY, *id, 0, Body(Bytes::new())),
            Packet::Reply { id, body } => WirePacket(KIND_REPLY, *id, 0, Body(body.clone())),
            Packet::Request { id, topic, body } => {
                WirePacket(KIND_REQUEST, *id, topic.0, Body(body.clone()))
            }
        }
    }
}

impl TryFrom<WirePacket> for Packet {
    type Error = LinkError;

    fn try_from(wire: WirePacket) -> Result<Packet, LinkError> {
        let WirePacket(kind, id, topic, Body(body)) = wire;
        let topic = Topic(topic);
        match kind {
            KIND_MESSAGE => Ok(Packet::Message { topic, body }),
            KIND_NO_REPLY => Ok(Packet::NoReply { id }),
            KIND_REPLY => Ok(Packet::Reply { id, body }),
            KIND_REQUEST => Ok(Packet::Request { id, topic, body }),
            other => Err(LinkError::Malformed(format!("packet of kind {other}"))),
        }
    }
}

/// Encodes packets into one frame.
pub fn encode(packets: &[Packet]) -> Result<Bytes, LinkError> {
    let wire: Vec<WirePacket> = packets.iter().map(WirePacket::from).collect();
    let size = packets.iter().map(Packet::size).sum::<usize>() + OVERHEAD;
    to_cbor(&wire, size)
}

/// Decodes the packets of a frame.
pub fn decode(frame: &[u8]) -> Result<Vec<Packet>, LinkError> {
    let wire: Vec<WirePacket> = from_cbor(frame)?;
    wire.into_iter().map(Packet::try_from).collect()
}

/// CBOR of a value.
pub(crate) fn to_cbor<T: Serialize>(value: &T, size: usize) -> Result<Bytes, LinkError> {
    let mut data = Vec::with_capacity(size);
    let written = ciborium::into_writer(value, &mut data);
    written.map_err(|e| LinkError::Malformed(e.to_string()))?;
    Ok(Bytes::from(data))
}

/// A value from CBOR; nothing may follow it.
pub(crate) fn from_cbor<T: DeserializeOwned>(data: &[u8]) -> Result<T, LinkError> {
    let mut rest = data;
    let value = ciborium::from_reader(&mut rest);
    let value = value.map_err(|e| LinkError::Malformed(e.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(LinkError::Malformed("trailing bytes".to_string()))
    }
}

/// A byte string.
#[derive(Debug)]
struct Body(Bytes);

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Body, D::Error> {
        deserializer.deserialize_byte_buf(BodyVisitor)
    }
}

struct BodyVisitor;

impl Visitor<'_> for BodyVisitor {
    type Value = Body;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, data: &[u8]) -> Result<Body, E> {
        Ok(Body(Bytes::copy_from_slice(data)))
    }

    fn visit_byte_buf<E: Error>(self, data: Vec<u8>) -> Result<Body, E> {
        Ok(Body(Bytes::from(data)))
    }
}
