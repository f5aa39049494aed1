//! Call budget of a node: a token bucket shared by priorities.

use base::Millis;
use base::Rate;

use crate::error::Violation;

/// Share of the rate that waiting watches can never use up.
const MIN_SHARE: f64 = 0.1;

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

    /// Share of the bucket that calls of this priority have to leave to those above.
    fn floor(self) -> f64 {
        match self {
            Priority::Lease => -1.0,
            Priority::Settings => 0.0,
            Priority::Records => 0.25,
            Priority::Rest => 0.5,
        }
    }
}

/// A token bucket that holds one second of calls. A waiting watch takes one call a second.
///
/// Lower priorities must leave a part of the bucket to higher ones. Lease calls always pass;
/// they may overdraw the bucket by one second of calls, and the others wait for that.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    watches: u32,
    tokens: f64,
    filled: Millis,
}

impl Budget {
    /// A full bucket for this many calls a second.
    pub fn new(rate: Rate, now: Millis) -> Budget {
        Budget {
            rate: rate.0.max(1.0),
            watches: 0,
            tokens: rate.0.max(1.0),
            filled: now,
        }
    }

    /// Takes `cost` calls, or tells how long to wait before asking again.
    pub fn take(&mut self, now: Millis, priority: Priority, cost: u32) -> Result<(), Millis> {
        self.fill(now);
        let cost = f64::from(cost);
        let left = self.tokens - cost;
        if priority == Priority::Lease {
            self.tokens = left.max(-self.rate);
            return Ok(());
        }
        let floor = (priority.floor() * self.rate).min(self.rate - cost);
        if left >= floor {
            self.tokens = left;
            return Ok(());
        }
        let secs = (floor - left) / self.refill();
        Err(Millis((secs * 1000.0).ceil() as u64))
    }

    /// Counts the watches that wait from now on.
    pub fn set_watches(&mut self, now: Millis, watches: u32) {
        self.fill(now);
        self.watches = watches;
    }

    /// The calls that could be made at once by the highest priority.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Checks that the bucket is within its bounds.
    pub fn check(&self) -> Result<(), Violation> {
        if self.tokens <= self.rate && self.tokens >= -self.rate {
            return Ok(());
        }
        Err(Violation::Bucket(self.tokens, self.rate))
    }

    fn refill(&self) -> f64 {
        let left = self.rate - f64::from(self.watches);
        left.max(self.rate * MIN_SHARE)
    }

    fn fill(&mut self, now: Millis) {
        let secs = now.since(self.filled).0 as f64 / 1000.0;
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + secs * self.refill()).min(self.rate);
    }
}
