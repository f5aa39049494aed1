//! Rate limit on requests that need no valid key.
//!
//! Load pattern: callers without a valid key send more submissions than the store can record, and
//! the store refuses the submissions of all other callers too.

use base::Millis;

/// A limit on events per second, counted in whole seconds of the clock.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    most: u32,
    second: u64,
    used: u32,
}

impl RateLimit {
    /// Allows `most` events per second.
    pub fn new(most: u32) -> RateLimit {
        RateLimit {
            most,
            second: 0,
            used: 0,
        }
    }

    /// Counts one event, if the limit for this second is not used up. Returns whether it was
    /// allowed.
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
