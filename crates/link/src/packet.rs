//! Packets of a link and their CBOR encoding: a frame is an array of packets, and a packet is
//! an array of kind, id, topic and body.

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

/// Most bytes that the encoding adds to the body of a packet.
pub const OVERHEAD_BYTES: usize = 24;

const KIND_MESSAGE: u8 = 0;
const KIND_REQUEST: u8 = 1;
const KIND_REPLY: u8 = 2;
const KIND_NO_REPLY: u8 = 3;

/// A message, request or reply on a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Packet {
    /// A one-way message.
    Message {
        /// Message type.
        topic: Topic,
        /// Payload, opaque to the link.
        body: Bytes,
    },
    /// Tells the requester that no reply will follow.
    NoReply {
        /// Id of the request.
        id: u64,
    },
    /// The reply to a request.
    Reply {
        /// Id of the request.
        id: u64,
        /// Payload, opaque to the link.
        body: Bytes,
    },
    /// A message that expects a reply.
    Request {
        /// Number that the sender assigned; the reply carries the same one.
        id: u64,
        /// Message type.
        topic: Topic,
        /// Payload, opaque to the link.
        body: Bytes,
    },
}

impl Packet {
    /// Upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Packet::Message { body, .. }
            | Packet::Reply { body, .. }
            | Packet::Request { body, .. } => OVERHEAD_BYTES + body.len(),
            Packet::NoReply { .. } => OVERHEAD_BYTES,
        }
    }
}

/// Encoded form of a packet: kind, id, topic and body.
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
    let size = packets.iter().map(Packet::size).sum::<usize>() + OVERHEAD_BYTES;
    to_cbor(&wire, size)
}

/// Decodes the packets of a frame.
pub fn decode(frame: &[u8]) -> Result<Vec<Packet>, LinkError> {
    let wire: Vec<WirePacket> = from_cbor(frame)?;
    wire.into_iter().map(Packet::try_from).collect()
}

/// Encodes a value as CBOR. `size` is the initial capacity of the buffer in bytes.
pub(crate) fn to_cbor<T: Serialize>(value: &T, size: usize) -> Result<Bytes, LinkError> {
    let mut data = Vec::with_capacity(size);
    let written = ciborium::into_writer(value, &mut data);
    written.map_err(|e| LinkError::Malformed(e.to_string()))?;
    Ok(Bytes::from(data))
}

/// Decodes a value from CBOR. Trailing bytes are an error.
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

/// A body, encoded as a CBOR byte string instead of an array of numbers.
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
