//! What [`Sync`](crate::sync::Sync) learns, does and promises.

use std::sync::Arc;

use base::Findings;
use base::Millis;
use base::Revision;
use base::VmId;
use quick_error::quick_error;

use crate::sync::held::Guards;
use crate::sync::note::Note;
use crate::sync::note::StoreRev;
use crate::sync::note::Stored;
use crate::tree::Tree;

quick_error! {
    /// A broken invariant.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// A proof lies in the future.
        Future(proof: Millis, now: Millis) {
            display("the proof of {proof} is later than now, {now}")
        }
        /// An older revision took the place of a newer one.
        Reverted(held: Revision, top: Revision) {
            display("revision {held} is held after {top}")
        }
    }
}

/// Periods and bounds of [`Sync`](crate::sync::Sync).
#[derive(Clone, Debug)]
pub struct Config {
    /// This daemon.
    pub me: VmId,
    /// Age of the proof from which starts are held.
    pub freshness: Millis,
    /// Age of the proof from which a reader reads the store; the others do up to half of it
    /// later. At most half of `freshness`.
    pub poll: Millis,
    /// Time after which a read is given up.
    pub timeout: Millis,
    /// Safety mechanisms.
    pub guards: Guards,
}

/// What [`Sync`](crate::sync::Sync) learns.
#[derive(Clone, Debug)]
pub enum Input {
    /// A change made by this daemon, or read back by it, is durable: the tree in the store.
    Accepted(Arc<Tree>),
    /// A change is on its way to the store, or no longer.
    Changing(bool),
    /// A daemon is live.
    Join(VmId),
    /// A daemon is gone.
    Leave(VmId),
    /// A note from another daemon.
    Note(VmId, Note),
    /// The answer to the read with this number.
    Read(u64, Stored),
    /// The read with this number failed or was refused.
    ReadFailed(u64),
    /// An event of the store's watch. It may be late, so it proves nothing.
    Seen(Stored),
    /// Time has passed.
    Tick,
}

/// What the service does for [`Sync`](crate::sync::Sync).
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tells operators.
    Alarm(Alarm),
    /// Puts a tree into force.
    Apply(Arc<Tree>),
    /// Reads the document from the store, linearisably, and answers with this number.
    Read(u64),
    /// Writes the document back if the store's value is still the one of `base`.
    Restore {
        /// The revision of the older value.
        base: StoreRev,
        /// The document.
        data: String,
    },
    /// Sends a note to a daemon.
    Send(VmId, Note),
}

/// What operators should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Alarm {
    /// The store holds another change under the revision held here.
    Forked(Revision),
    /// The store's document was put back by somebody else: it is older than the held one,
    /// or it was written for another version of the key.
    Replaced {
        /// The store's revision.
        stored: Revision,
        /// The revision held here.
        held: Revision,
    },
    /// A document cannot be read. The held one stays in force.
    Unreadable(Findings),
}
