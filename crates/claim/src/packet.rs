//! The wire type: messages for one home domain, several in a frame, with bounds checked.

use base::DomainId;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Message;
use crate::record::Answer;
use crate::record::Record;
use crate::record::State;

/// Messages in one packet at most.
const MAX_MESSAGES: usize = 4096;

/// Members of a view at most.
const MAX_MEMBERS: usize = 64;

/// Records in one chunk at most.
const MAX_RECORDS: usize = 4096;

/// Bytes of one answer at most.
const MAX_ANSWER: usize = 1 << 20;

quick_error! {
    /// Why a packet was not accepted.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PacketError {
        /// A part is larger than allowed.
        TooLarge(part: &'static str) {
            display("the packet holds too many or too large {part}")
        }
    }
}

/// Messages as they go over a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
    domain: DomainId,
    messages: Vec<Message>,
}

/// Messages for one home domain, within bounds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// The home domain.
    pub domain: DomainId,
    /// The messages in order.
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
        packet.messages.iter().try_for_each(check)?;
        Ok(Batch {
            domain: packet.domain,
            messages: packet.messages,
        })
    }
}

fn check(message: &Message) -> Result<(), PacketError> {
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
        Some(body) if body.len() > MAX_ANSWER => Err(PacketError::TooLarge("answers")),
        _ => Ok(()),
    }
}
