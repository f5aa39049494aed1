//! Invariant checks of the membership state machine.

use quick_error::quick_error;

use crate::machine::Members;

quick_error! {
    /// A violated invariant.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// A view has no member.
        EmptyView(domain: String) {
            display("the view of {domain} has no member")
        }
        /// This VM is listed as one of its own peers.
        SelfInPeers {
            display("this VM is in its own list of peers")
        }
        /// More changes of a view are remembered than allowed.
        TooManyChanges(domain: String) {
            display("too many changes of the view of {domain} are remembered")
        }
    }
}

/// Maximum number of remembered changes of one view.
const MAX_CHANGES: usize = 17;

impl Members {
    /// Checks all invariants.
    ///
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), Violation> {
        if self.peers.map.contains_key(&self.me) {
            return Err(Violation::SelfInPeers);
        }
        for (domain, known) in &self.views {
            let record = known.record.as_ref();
            if record.is_some_and(|r| r.view.members.is_empty()) {
                return Err(Violation::EmptyView(domain.to_string()));
            }
            if known.changes.len() > MAX_CHANGES {
                return Err(Violation::TooManyChanges(domain.to_string()));
            }
        }
        Ok(())
    }
}
