//! Exponential backoff with full jitter.

use crate::clock::Millis;

/// Doublings after which the upper bound of the delay stops growing.
const MAX_DOUBLINGS: u32 = 16;

/// Delays between retries with full jitter: each is uniformly distributed between zero and an
/// upper bound that doubles with every consecutive failure.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Millis,
    max: Millis,
    failures: u32,
}

impl Backoff {
    /// A backoff whose first delay is at most `first` and whose later delays are at most `max`.
    pub fn new(first: Millis, max: Millis) -> Backoff {
        Backoff {
            first,
            max,
            failures: 0,
        }
    }

    /// The delay after another failure. `random` is a random number in `[0, 1)`.
    pub fn next(&mut self, random: f64) -> Millis {
        let cap = self.first.0.saturating_mul(1 << self.failures);
        let cap = cap.min(self.max.0);
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        Millis((cap as f64 * random) as u64)
    }

    /// Resets the upper bound to that of the first failure. Call it after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
