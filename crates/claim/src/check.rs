//! Invariant checks of the claim state machine.

use quick_error::quick_error;

use crate::machine::Claims;

quick_error! {
    /// A violated invariant.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// A table or map holds more than its limit.
        LimitExceeded(part: &'static str, size: usize) {
            display("{part} exceed their limit: {size}")
        }
        /// An index of the table is inconsistent with its rows.
        InconsistentIndex(part: &'static str) {
            display("index of {part} is inconsistent with the rows")
        }
        /// The member list of the view is unsorted or contains a VM twice.
        UnsortedMembers {
            display("the members of the view are not sorted or not unique")
        }
    }
}

impl Claims {
    /// Checks all invariants.
    ///
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), Violation> {
        let rows = self.table.len();
        if rows > self.row_limit() + self.limits.chunk_records {
            return Err(Violation::LimitExceeded("claims", rows));
        }
        if self.table.body_bytes() > self.limits.max_body_bytes {
            return Err(Violation::LimitExceeded(
                "bytes of answers",
                self.table.body_bytes(),
            ));
        }
        if self.sends.len() > self.limits.max_pending {
            return Err(Violation::LimitExceeded("sends", self.sends.len()));
        }
        if !self.view.members.is_sorted_by(|a, b| a < b) {
            return Err(Violation::UnsortedMembers);
        }
        self.table.check()
    }
}
