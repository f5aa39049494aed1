//! Wire format: batches of messages of one home domain, with size limits checked on receipt.

use base::DomainId;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Message;
use crate::record::Answer;
use crate::record::Record;
use crate::record::State;

/// Maximum number of messages in one packet.
const MAX_MESSAGES: usize = 4096;

/// Maximum number of members of a view.
const MAX_MEMBERS: usize = 64;

/// Maximum number of records in one chunk.
const MAX_RECORDS: usize = 4096;

/// Maximum size of one answer body.
const MAX_ANSWER_BYTES: usize = 1 << 20;

quick_error! {
    /// Reason why a received packet was rejected.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PacketError {
        /// A part of the packet exceeds its limit.
        TooLarge(part: &'static str) {
            display("packet exceeds the limit for {part}")
        }
    }
}

/// Unchecked messages as encoded on a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
    domain: DomainId,
    messages: Vec<Message>,
}

/// Messages of one home domain whose sizes are within the limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// The home domain of all messages.
    pub domain: DomainId,
    /// The messages in the order sent.
    pub messages: Vec<Message>,
}

impl From<Batch> for Packet {
    fn from(batch: Batch) -> Packet {
        Packet {
            domain: batch.domain,
            messages: batch.messages,
        }
    }
}

impl TryFrom<Packet> for Batch {
    type Error = PacketError;

    fn try_from(packet: Packet) -> Result<Batch, PacketError> {
        if packet.messages.len() > MAX_MESSAGES {
            return Err(PacketError::TooLarge("messages"));
        }
        packet.messages.iter().try_for_each(check_message)?;
        Ok(Batch {
            domain: packet.domain,
            messages: packet.messages,
        })
    }
}

fn check_message(message: &Message) -> Result<(), PacketError> {
    match message {
        Message::View(view) if !view.is_valid(MAX_MEMBERS) => Err(PacketError::TooLarge("members")),
        Message::Chunk { records, .. } if records.len() > MAX_RECORDS => {
            Err(PacketError::TooLarge("records"))
        }
        Message::Chunk { records, .. } => records.iter().try_for_each(|(_, r)| check_record(r)),
        Message::Copy { record, .. } | Message::CopyKnown { record, .. } => check_record(record),
        Message::Report { answer, .. } | Message::Stored { answer, .. } => check_answer(answer),
        _ => Ok(()),
    }
}

fn check_record(record: &Record) -> Result<(), PacketError> {
    match &record.state {
        State::Claimed => Ok(()),
        State::Done(answer) => check_answer(answer),
    }
}

fn check_answer(answer: &Answer) -> Result<(), PacketError> {
    match &answer.body {
        Some(body) if body.len() > MAX_ANSWER_BYTES => Err(PacketError::TooLarge("answers")),
        _ => Ok(()),
    }
}
