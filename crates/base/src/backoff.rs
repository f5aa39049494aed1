//! Growing pauses between tries, spread at random.

use crate::clock::Millis;

/// Doublings after which the pause stops growing.
const MAX_DOUBLINGS: u32 = 16;

/// Pauses with full jitter: each is drawn evenly between zero and a cap that doubles with
/// every failure in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Millis,
    max: Millis,
    failures: u32,
}

impl Backoff {
    /// Pauses of up to `first` after the first failure and of up to `max` later.
    pub fn new(first: Millis, max: Millis) -> Backoff {
        Backoff {
            first,
            max,
            failures: 0,
        }
    }

    /// The pause after another failure. `unit` is a random number of at least 0 and below 1.
    pub fn next(&mut self, unit: f64) -> Millis {
        let cap = self.first.0.saturating_mul(1 << self.failures);
        let cap = cap.min(self.max.0);
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        Millis((cap as f64 * unit) as u64)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
