//! Gathers lines of one kind that would be written many times a second.

use std::cell::Cell;

use base::Millis;

/// Shortest time between two lines of the kind: readers see that it goes on, and how often.
const PERIOD: Millis = Millis(1_000);

/// Lines of one kind: one a second at most, with the number of those held back.
#[derive(Debug, Default)]
pub struct Gather {
    last: Cell<Option<Millis>>,
    held: Cell<u64>,
}

impl Gather {
    /// Whether a line is written now: then the number held back since the last one.
    pub fn pass(&self, now: Millis) -> Option<u64> {
        let early = self.last.get().is_some_and(|at| now.since(at) < PERIOD);
        if early {
            self.held.set(self.held.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.held.replace(0))
    }
}
