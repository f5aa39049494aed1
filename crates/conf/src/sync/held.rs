//! The revision that a daemon holds, and the proof that no newer one exists.

use std::sync::Arc;

use base::Millis;
use base::Revision;

use crate::tree::OpId;
use crate::tree::Tree;

/// Which safety mechanisms of [`Sync`](crate::sync::Sync) work. Daemons run with all of
/// them; tests switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// A proof from a peer counts from the daemon's own time that the peer echoes, not from
    /// the arrival of the note.
    pub echo: bool,
    /// A daemon that was told of a newer revision than its own is not fresh.
    pub floor: bool,
    /// An older revision is never taken.
    pub forward: bool,
    /// A proof from the store counts from the time of the call, not of the answer.
    pub from_call: bool,
    /// A step back of the clock drops the proof.
    pub steps: bool,
    /// A document in the store proves nothing unless it was written for the key's version.
    pub version: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            echo: true,
            floor: true,
            forward: true,
            from_call: true,
            steps: true,
            version: true,
        }
    }
}

/// A tree in force on this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The tree.
    pub tree: Arc<Tree>,
    /// When it came into force here.
    pub since: Millis,
    /// A time at which no newer tree existed.
    pub proof: Option<Millis>,
}

impl Held {
    /// The revision.
    pub fn revision(&self) -> Revision {
        self.tree.revision()
    }

    /// Whether this is the tree that an operation made.
    pub fn is_same(&self, revision: Revision, op: Option<&OpId>) -> bool {
        self.revision() == revision && self.tree.last_op() == op
    }

    /// Takes a proof if it is younger.
    pub fn prove(&mut self, at: Millis) {
        self.proof = self.proof.max(Some(at));
    }

    /// Age of the proof.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proof.map(|p| now.since(p))
    }
}
