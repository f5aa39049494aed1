//! Call budget of a node: a token bucket that all priorities share.

use base::Millis;
use base::Rate;

use crate::error::Violation;

/// Tokens that one call costs. Fractions of a call are needed to refill by the millisecond.
const TOKENS_PER_CALL: i64 = 1_000_000;

const MAX_CALLS_PER_SEC: f64 = 1_000_000.0;

/// However many watches wait, one part in this many of the rate is left to other calls.
const MIN_RATE_DIVISOR: i64 = 10;

/// Longest time that one refill covers. Even an overdrawn bucket is full after it.
const MAX_REFILL_SPAN: Millis = Millis::from_secs(60);

/// Priority of a call, highest first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Grants, renewals and revocations of leases; never delayed or refused.
    Lease,
    /// Settings that operators change.
    Settings,
    /// Records of jobs and requests.
    Records,
    /// All other calls.
    Rest,
}

impl Priority {
    /// All priorities, highest first.
    pub const ALL: [Priority; 4] = [
        Priority::Lease,
        Priority::Settings,
        Priority::Records,
        Priority::Rest,
    ];

    /// Label of the priority in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Priority::Lease => "lease",
            Priority::Settings => "settings",
            Priority::Records => "records",
            Priority::Rest => "rest",
        }
    }

    /// Percentage of the bucket that calls of this priority leave to higher ones.
    fn reserved_percent(self) -> i64 {
        match self {
            Priority::Lease => -100,
            Priority::Settings => 0,
            Priority::Records => 25,
            Priority::Rest => 50,
        }
    }
}

/// Token bucket that holds one second of calls. Each waiting watch uses one call a second.
///
/// Lower priorities leave a part of the bucket to higher ones. Lease calls are always admitted;
/// they may overdraw the bucket by up to one second of calls, and calls of other priorities wait
/// until it is refilled.
///
/// A token is a millionth of a call, so that refills are exact.
#[derive(Clone, Debug)]
pub struct CallBudget {
    /// Tokens refilled per second without watches, and the size of the bucket.
    rate: i64,
    /// Number of waiting watches.
    watches: u32,
    tokens: i64,
    /// When the bucket was last refilled.
    refilled_at: Millis,
}

impl CallBudget {
    /// Creates a full bucket for `rate` calls a second, raised to 1 if it is lower.
    pub fn new(rate: Rate, now: Millis) -> CallBudget {
        let rate = (rate.0.clamp(1.0, MAX_CALLS_PER_SEC) * TOKENS_PER_CALL as f64) as i64;
        CallBudget {
            rate,
            watches: 0,
            tokens: rate,
            refilled_at: now,
        }
    }

    /// Takes the tokens of `cost` calls. Fails with the time to wait before the next attempt.
    pub fn take(&mut self, now: Millis, priority: Priority, cost: u32) -> Result<(), Millis> {
        self.refill(now);
        let cost = i64::from(cost) * TOKENS_PER_CALL;
        let left = self.tokens - cost;
        if priority == Priority::Lease {
            self.tokens = left.max(-self.rate);
            return Ok(());
        }
        // Without the limit, a call that costs more than the unreserved part of the bucket would
        // never be admitted.
        let reserved = (self.rate / 100 * priority.reserved_percent()).min(self.rate - cost);
        if left >= reserved {
            self.tokens = left;
            return Ok(());
        }
        let missing = (reserved - left) as u64;
        Err(Millis(missing.div_ceil(self.refill_rate() as u64)))
    }

    /// Sets the number of waiting watches from `now` on.
    pub fn set_watches(&mut self, now: Millis, watches: u32) {
        self.refill(now);
        self.watches = watches;
    }

    /// Checks that the number of tokens is within its bounds.
    pub fn check(&self) -> Result<(), Violation> {
        if self.tokens <= self.rate && self.tokens >= -self.rate {
            return Ok(());
        }
        Err(Violation::Bucket(self.tokens, self.rate))
    }

    /// Tokens refilled per millisecond.
    fn refill_rate(&self) -> i64 {
        let left = self.rate - i64::from(self.watches) * TOKENS_PER_CALL;
        left.max(self.rate / MIN_RATE_DIVISOR) / 1000
    }

    fn refill(&mut self, now: Millis) {
        let span = now.since(self.refilled_at).0.min(MAX_REFILL_SPAN.0) as i64;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + span * self.refill_rate()).min(self.rate);
    }
}
