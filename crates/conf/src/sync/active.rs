//! The settings tree in force on a daemon, and the last confirmation that it is the newest.

use std::sync::Arc;

use base::Millis;
use base::Revision;

use crate::tree::OpId;
use crate::tree::Tree;

/// Safety mechanisms of [`Replica`](crate::sync::Replica). Daemons enable all of them; tests
/// disable one at a time to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// The age of a peer's confirmation is counted from the local timestamp that the peer
    /// echoes, not from the arrival of the message.
    pub echo: bool,
    /// A daemon that knows of a newer revision than its own is not fresh.
    pub newest_known: bool,
    /// An older revision never replaces a newer one.
    pub monotonic: bool,
    /// A confirmation by the store is dated to the time of the call, not of the answer.
    pub call_time: bool,
    /// The confirmation is discarded when the clock steps back.
    pub clock_steps: bool,
    /// A stored document confirms nothing unless its recorded key version matches the key's.
    pub version: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            echo: true,
            newest_known: true,
            monotonic: true,
            call_time: true,
            clock_steps: true,
            version: true,
        }
    }
}

/// The settings tree in force on this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveTree {
    /// Settings in force.
    pub tree: Arc<Tree>,
    /// Time at which the tree came into force here.
    pub since: Millis,
    /// Latest time at which the tree is known to have been the newest.
    pub confirmed_at: Option<Millis>,
}

impl ActiveTree {
    /// Revision of the tree.
    pub fn revision(&self) -> Revision {
        self.tree.revision()
    }

    /// Whether this is the tree with the given revision and last operation.
    pub fn matches(&self, revision: Revision, op: Option<&OpId>) -> bool {
        self.revision() == revision && self.tree.last_op() == op
    }

    /// Records a confirmation; an older one than the recorded one has no effect.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Time since the last confirmation.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
