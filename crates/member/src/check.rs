//! Invariants of the state machine.

use quick_error::quick_error;

use crate::machine::Members;

quick_error! {
    /// An invariant that does not hold.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// A view without any member.
        Empty(domain: String) {
            display("the view of {domain} has no member")
        }
        /// A VM that lists itself as a peer.
        Own {
            display("this VM is in its own list of peers")
        }
        /// A member list with more changes remembered than bounded.
        Unbounded(domain: String) {
            display("too many changes of the view of {domain} are remembered")
        }
    }
}

/// Changes of one view that may be remembered.
const MAX_CHANGES: usize = 17;

impl Members {
    /// Checks the invariants of this machine.
    pub fn check(&self) -> Result<(), Violation> {
        if self.peers.map.contains_key(&self.me) {
            return Err(Violation::Own);
        }
        for (domain, known) in &self.views {
            let record = known.record.as_ref();
            if record.is_some_and(|r| r.view.members.is_empty()) {
                return Err(Violation::Empty(domain.to_string()));
            }
            if known.changes.len() > MAX_CHANGES {
                return Err(Violation::Unbounded(domain.to_string()));
            }
        }
        Ok(())
    }
}
