//! Rate limit on requests that need no valid key or job.
//!
//! Load pattern: callers without a valid key send more submissions than the store can record, or
//! callers cancel more unknown jobs, and the store refuses the submissions of all other callers too.

use std::collections::VecDeque;

use base::Millis;

/// Span in which the limit holds.
const SPAN: Millis = Millis(1_000);

/// A limit on events in any span of a second.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    limit: usize,
    /// Times of the latest allowed events, at most `limit` of them.
    allowed: VecDeque<Millis>,
}

impl RateLimit {
    /// Allows `limit` events per second.
    pub fn new(limit: usize) -> RateLimit {
        RateLimit {
            limit,
            allowed: VecDeque::new(),
        }
    }

    /// Changes the limit to `limit` events per second.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Counts one event, if fewer than the limit were allowed in the last second. Returns whether it
    /// was allowed.
    pub fn allow(&mut self, now: Millis) -> bool {
        while self
            .allowed
            .front()
            .is_some_and(|at| now.since(*at) >= SPAN)
        {
            self.allowed.pop_front();
        }
        let allowed = self.allowed.len() < self.limit;
        if allowed {
            self.allowed.push_back(now);
        }
        allowed
    }
}
