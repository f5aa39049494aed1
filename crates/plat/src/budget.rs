//! Call budget of a node: a token bucket shared by priorities.

use base::Millis;
use base::Rate;

use crate::error::Violation;

/// Tokens of one call.
const CALL: i64 = 1_000_000;

/// Highest rate in calls a second.
const MAX_RATE: f64 = 1_000_000.0;

/// Part of the rate that waiting watches can never use up: one in this many.
const MIN_SHARE: i64 = 10;

/// Time after which even an overdrawn bucket is full.
const MAX_FILL: Millis = Millis::from_secs(60);

/// Importance of a call, most important first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Lease grants, renewals and ends: never held back.
    Lease,
    /// The operators' settings.
    Settings,
    /// Records of jobs and requests.
    Records,
    /// Everything else.
    Rest,
}

impl Priority {
    /// Every priority, most important first.
    pub const ALL: [Priority; 4] = [
        Priority::Lease,
        Priority::Settings,
        Priority::Records,
        Priority::Rest,
    ];

    /// The label of the priority in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Priority::Lease => "lease",
            Priority::Settings => "settings",
            Priority::Records => "records",
            Priority::Rest => "rest",
        }
    }

    /// Percentage of the bucket that calls of this priority have to leave to those above.
    fn floor(self) -> i64 {
        match self {
            Priority::Lease => -100,
            Priority::Settings => 0,
            Priority::Records => 25,
            Priority::Rest => 50,
        }
    }
}

/// A token bucket that holds one second of calls. A waiting watch takes one call a second.
///
/// Lower priorities must leave a part of the bucket to higher ones. Lease calls always pass;
/// they may overdraw the bucket by one second of calls, and the others wait for that.
///
/// Tokens are counted in millionths of a call, so that refills are exact.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Tokens a second, and the size of the bucket.
    rate: i64,
    watches: u32,
    tokens: i64,
    filled: Millis,
}

impl Budget {
    /// A full bucket for this many calls a second, at least one.
    pub fn new(rate: Rate, now: Millis) -> Budget {
        let rate = (rate.0.clamp(1.0, MAX_RATE) * CALL as f64) as i64;
        Budget {
            rate,
            watches: 0,
            tokens: rate,
            filled: now,
        }
    }

    /// Takes `cost` calls, or tells how long to wait before asking again.
    pub fn take(&mut self, now: Millis, priority: Priority, cost: u32) -> Result<(), Millis> {
        self.fill(now);
        let cost = i64::from(cost) * CALL;
        let left = self.tokens - cost;
        if priority == Priority::Lease {
            self.tokens = left.max(-self.rate);
            return Ok(());
        }
        // A call that costs more than the bucket holds above the floor would never pass.
        let floor = (self.rate / 100 * priority.floor()).min(self.rate - cost);
        if left >= floor {
            self.tokens = left;
            return Ok(());
        }
        let missing = (floor - left) as u64;
        Err(Millis(missing.div_ceil(self.refill() as u64)))
    }

    /// Counts the watches that wait from now on.
    pub fn set_watches(&mut self, now: Millis, watches: u32) {
        self.fill(now);
        self.watches = watches;
    }

    /// Checks that the bucket is within its bounds.
    pub fn check(&self) -> Result<(), Violation> {
        if self.tokens <= self.rate && self.tokens >= -self.rate {
            return Ok(());
        }
        Err(Violation::Bucket(self.tokens, self.rate))
    }

    /// Tokens a millisecond.
    fn refill(&self) -> i64 {
        let left = self.rate - i64::from(self.watches) * CALL;
        left.max(self.rate / MIN_SHARE) / 1000
    }

    fn fill(&mut self, now: Millis) {
        let span = now.since(self.filled).0.min(MAX_FILL.0) as i64;
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + span * self.refill()).min(self.rate);
    }
}
