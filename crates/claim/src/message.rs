//! Messages between the entry VMs of one home domain.

use base::Millis;
use base::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::coverage::Completeness;
use crate::machine::Reason;
use crate::record::Answer;
use crate::record::Record;
use crate::record::SendKey;
use crate::view::View;
use crate::view::ViewNumber;

/// A message of the claim protocol. Any message may be lost, duplicated or delivered late.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Message {
    /// An entry VM asks the owner for the claim of an id.
    Ask {
        /// The sender's view.
        view: ViewNumber,
        /// Id of the request.
        id: RequestId,
        /// The entry VM's number of the send.
        nonce: u64,
        /// The caller's number of the send; zero if not stated.
        attempt: u32,
    },
    /// The owner permits the entry VM to dispatch this send once.
    Grant {
        /// The owner's view.
        view: ViewNumber,
        /// Number of the send.
        nonce: u64,
    },
    /// The owner refuses the send.
    Refuse {
        /// Number of the send.
        nonce: u64,
        /// Reason of the refusal.
        reason: Reason,
        /// When to retry; zero if the same id will not be served.
        after: Millis,
        /// Whether the owner has recorded a claim of this send.
        claimed: bool,
    },
    /// The owner returns the stored answer of an earlier send.
    Stored {
        /// Number of the send that asked.
        nonce: u64,
        /// The stored answer.
        answer: Answer,
    },
    /// The owner replicates a record to the backup.
    Copy {
        /// The owner's view.
        view: ViewNumber,
        /// Id of the request.
        id: RequestId,
        /// The record to store.
        record: Record,
        /// Whether the owner knows all earlier claims of the id.
        covered: bool,
    },
    /// The backup has stored the record.
    CopyAck {
        /// View of the copy.
        view: ViewNumber,
        /// Id of the request.
        id: RequestId,
        /// The send of the record.
        send: SendKey,
        /// Whether the record contained an outcome.
        done: bool,
    },
    /// The backup has a different record of the id.
    CopyKnown {
        /// View of the copy.
        view: ViewNumber,
        /// Id of the request.
        id: RequestId,
        /// The backup's record.
        record: Record,
    },
    /// The backup does not accept the record.
    CopyRefuse {
        /// View of the copy.
        view: ViewNumber,
        /// Id of the request.
        id: RequestId,
        /// The send of the record.
        send: SendKey,
        /// Whether the record contained an outcome.
        done: bool,
        /// Reason of the refusal.
        reason: Reason,
        /// When to retry.
        after: Millis,
    },
    /// An entry VM reports the outcome of a send.
    Report {
        /// The sender's view.
        view: ViewNumber,
        /// Id of the request.
        id: RequestId,
        /// Number of the send.
        nonce: u64,
        /// The caller's number of the send.
        attempt: u32,
        /// The outcome, with the answer if it is kept.
        answer: Answer,
    },
    /// Owner and backup have stored the outcome, or the owner does not need it.
    ReportAck {
        /// Number of the send.
        nonce: u64,
    },
    /// The newest view known to the sender.
    View(View),
    /// The sender received a message of a newer view and asks for that view.
    Lag {
        /// The sender's view.
        view: ViewNumber,
    },
    /// A member of a new view asks a member of the previous one for its records. By answering, the
    /// receiver promises to take no part in older views.
    Pull {
        /// The view being entered.
        view: ViewNumber,
        /// The last id already received.
        from: Option<RequestId>,
    },
    /// Records in answer to [`Message::Pull`].
    Chunk {
        /// The view being entered.
        view: ViewNumber,
        /// The last id of the previous chunk.
        from: Option<RequestId>,
        /// Records in ascending order of ids.
        records: Vec<(RequestId, Record)>,
        /// Whether this is the last chunk.
        last: bool,
        /// Completeness of the sender's table when the previous view ended; `None` if claims are
        /// missing.
        quality: Option<Completeness>,
    },
    /// The sender needs nothing more from the members of the previous view.
    Joined {
        /// The view that was joined.
        view: ViewNumber,
    },
}
