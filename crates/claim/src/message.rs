//! Messages between the entry VMs of one home domain.

use base::Millis;
use base::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::cover::Quality;
use crate::machine::Reason;
use crate::record::Answer;
use crate::record::Record;
use crate::record::SendKey;
use crate::view::View;
use crate::view::ViewNumber;

/// A message of the claim protocol. Each may be lost, repeated or delivered late.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Message {
    /// An entry VM asks the owner for the claim of an id.
    Ask {
        /// The sender's view.
        view: ViewNumber,
        /// The request.
        id: RequestId,
        /// The entry VM's number of the send.
        nonce: u64,
        /// The caller's number of the send; zero if not stated.
        attempt: u32,
    },
    /// The owner lets the entry VM dispatch this send, once.
    Grant {
        /// The owner's view.
        view: ViewNumber,
        /// The send.
        nonce: u64,
    },
    /// The owner refuses the send.
    Refuse {
        /// The send.
        nonce: u64,
        /// Why.
        reason: Reason,
        /// When to come back; zero if the same id will not be served.
        after: Millis,
        /// Whether the owner has recorded a claim of this send.
        claimed: bool,
    },
    /// The owner has the answer of an earlier send.
    Stored {
        /// The send that asked.
        nonce: u64,
        /// The answer.
        answer: Answer,
    },
    /// The owner has a record copied.
    Copy {
        /// The owner's view.
        view: ViewNumber,
        /// The request.
        id: RequestId,
        /// Its record.
        record: Record,
        /// Whether the owner knows all earlier claims of the id.
        covered: bool,
    },
    /// The copy-holder has the record.
    CopyAck {
        /// The view.
        view: ViewNumber,
        /// The request.
        id: RequestId,
        /// The send of the record.
        send: SendKey,
        /// Whether the record held an outcome.
        done: bool,
    },
    /// The copy-holder knows another record of the id.
    CopyKnown {
        /// The view.
        view: ViewNumber,
        /// The request.
        id: RequestId,
        /// The record that the copy-holder has.
        record: Record,
    },
    /// The copy-holder does not take the record.
    CopyRefuse {
        /// The view.
        view: ViewNumber,
        /// The request.
        id: RequestId,
        /// The send of the record.
        send: SendKey,
        /// Whether the record held an outcome.
        done: bool,
        /// Why.
        reason: Reason,
        /// When to come back.
        after: Millis,
    },
    /// The entry VM tells the outcome of a send.
    Report {
        /// The sender's view.
        view: ViewNumber,
        /// The request.
        id: RequestId,
        /// The send.
        nonce: u64,
        /// The caller's number of the send.
        attempt: u32,
        /// The outcome.
        answer: Answer,
    },
    /// Owner and copy-holder have the outcome, or the owner has no use for it.
    ReportAck {
        /// The send.
        nonce: u64,
    },
    /// The newest view that the sender knows.
    View(View),
    /// The sender's view is older than one it saw named: it asks for the newer one.
    Lag {
        /// The sender's view.
        view: ViewNumber,
    },
    /// A member asks a member of the view before for its records, which promises thereby to
    /// take no part in older views.
    Pull {
        /// The view to be entered.
        view: ViewNumber,
        /// The last id already received.
        from: Option<RequestId>,
    },
    /// Records for a pull.
    Chunk {
        /// The view entered.
        view: ViewNumber,
        /// The last id of the chunk before.
        from: Option<RequestId>,
        /// Records in the order of ids.
        records: Vec<(RequestId, Record)>,
        /// Whether this is the last chunk.
        last: bool,
        /// What the sender knew at the end of the view before; `None` if claims are missing.
        quality: Option<Quality>,
    },
    /// The sender needs nothing more from the members of the view before.
    Joined {
        /// The view.
        view: ViewNumber,
    },
}
