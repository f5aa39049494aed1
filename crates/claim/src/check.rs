//! Invariants of the state machine.

use quick_error::quick_error;

use crate::machine::Claims;

quick_error! {
    /// An invariant that does not hold.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// A bound of the tables is exceeded.
        Bound(part: &'static str, size: usize) {
            display("{part} exceed their bound with {size}")
        }
        /// The indexes of the table do not match its rows.
        Index(part: &'static str) {
            display("the index of {part} does not match the rows")
        }
        /// A member list is not sorted or names a VM twice.
        Members {
            display("the members of the view are not in order")
        }
    }
}

impl Claims {
    /// Checks the invariants of this machine.
    pub fn check(&self) -> Result<(), Violation> {
        let rows = self.table.len();
        if rows > self.max_rows() + self.limits.chunk {
            return Err(Violation::Bound("claims", rows));
        }
        if self.table.bytes() > self.limits.bytes {
            return Err(Violation::Bound("bytes of answers", self.table.bytes()));
        }
        if self.sends.len() > self.limits.pending {
            return Err(Violation::Bound("sends", self.sends.len()));
        }
        if !self.view.members.is_sorted_by(|a, b| a < b) {
            return Err(Violation::Members);
        }
        self.table.check()
    }
}
