//! Rate limit on requests that need no valid key.
//!
//! Load pattern: callers without a valid key send more submissions than the store can record, and
//! the store refuses the submissions of all other callers too.

use base::Millis;

/// A limit on events per second, counted in whole seconds of the clock.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    limit: u32,
    current_second: u64,
    used: u32,
}

impl RateLimit {
    /// Allows `limit` events per second.
    pub fn new(limit: u32) -> RateLimit {
        RateLimit {
            limit,
            current_second: 0,
            used: 0,
        }
    }

    /// Counts one event, if the limit for this second is not used up. Returns whether it was
    /// allowed.
    pub fn allow(&mut self, now: Millis) -> bool {
        let current_second = now.0 / 1_000;
        if current_second != self.current_second {
            (self.current_second, self.used) = (current_second, 0);
        }
        let allowed = self.used < self.limit;
        self.used += u32::from(allowed);
        allowed
    }
}
