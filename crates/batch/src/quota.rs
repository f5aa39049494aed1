//! A bound on work that anyone can cause.
//!
//! Load pattern: callers without a valid key send more submissions than the store can take
//! records of, and the store turns away those of everybody else.

use base::Millis;

/// At most so many a second.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    most: u32,
    second: u64,
    used: u32,
}

impl Quota {
    /// A quota of `most` a second.
    pub fn new(most: u32) -> Quota {
        Quota {
            most,
            second: 0,
            used: 0,
        }
    }

    /// Takes one, if there is one left in this second.
    pub fn take(&mut self, now: Millis) -> bool {
        let second = now.0 / 1_000;
        if second != self.second {
            (self.second, self.used) = (second, 0);
        }
        let free = self.used < self.most;
        self.used += u32::from(free);
        free
    }
}
