//! Configuration, inputs, actions and invariants of [`Replica`](crate::sync::Replica).

use std::sync::Arc;

use base::Findings;
use base::Millis;
use base::Revision;
use base::VmId;
use quick_error::quick_error;

use crate::sync::active::Guards;
use crate::sync::message::PeerMessage;
use crate::sync::message::StoreRev;
use crate::sync::message::StoredDoc;
use crate::tree::Tree;

quick_error! {
    /// Violation of an invariant.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// A confirmation is dated in the future.
        Future(proof: Millis, now: Millis) {
            display("the proof of {proof} is later than now, {now}")
        }
        /// An older revision has replaced a newer one.
        Reverted(held: Revision, top: Revision) {
            display("revision {held} is held after {top}")
        }
    }
}

/// Configuration of [`Replica`](crate::sync::Replica).
#[derive(Clone, Debug)]
pub struct Config {
    /// VM of this daemon.
    pub vm: VmId,
    /// Age of the last confirmation at which task starts are suspended.
    pub freshness: Millis,
    /// Age of the last confirmation at which a reader reads the store; other daemons wait up
    /// to half as long again. At most half of `freshness`.
    pub poll: Millis,
    /// Timeout of a read.
    pub timeout: Millis,
    /// Safety mechanisms, all enabled in daemons.
    pub guards: Guards,
}

/// Inputs of [`Replica`](crate::sync::Replica).
#[derive(Clone, Debug)]
pub enum Input {
    /// The durable tree of a change that this daemon has written or read back.
    Accepted(Arc<Tree>),
    /// Whether a write of this daemon may still take effect.
    Changing(bool),
    /// A daemon has been listed as live.
    Join(VmId),
    /// A daemon is no longer listed as live.
    Leave(VmId),
    /// A message from another daemon.
    Message(VmId, PeerMessage),
    /// Answer to the read with this sequence number.
    Read(u64, StoredDoc),
    /// The read with this sequence number failed or was refused.
    ReadFailed(u64),
    /// A change event from the store's watch. It may be delayed, so it does not confirm that
    /// the document is the newest.
    WatchEvent(StoredDoc),
    /// Timer tick.
    Tick,
}

/// Actions that the service performs for [`Replica`](crate::sync::Replica).
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Raises an alarm for operators.
    Alarm(Alarm),
    /// Puts a new tree into force.
    Apply(Arc<Tree>),
    /// Reads the document linearisably; the answer carries this sequence number.
    Read(u64),
    /// Writes the document back if the stored value is unchanged since `base`.
    Restore {
        /// Store revision of the value to replace.
        base: StoreRev,
        /// Encoded document.
        data: String,
    },
    /// Sends a message to a daemon.
    Send(VmId, PeerMessage),
}

/// Conditions reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Alarm {
    /// The store holds the revision in force here, but made by a different operation.
    Forked(Revision),
    /// Someone else has written a document back: it is older than the one in force, or its
    /// recorded key version differs from the key's version.
    Replaced {
        /// Revision of the stored document.
        stored: Revision,
        /// Revision in force here.
        held: Revision,
    },
    /// A document cannot be decoded. The current tree stays in force.
    Unreadable(Findings),
}
