//! Retry budget: limits retries to a share of the first sends.

/// Default number of retries per first send.
const DEFAULT_SHARE: f64 = 0.1;

/// Largest number of retries that can accumulate.
const MAX_TOKENS: f64 = 50.0;

/// Largest number of sends of one request, the first included.
const MAX_SENDS: u32 = 3;

/// Token bucket that limits the retries of one entry VM. Each first send adds a fraction of a
/// token; each retry takes one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget of one retry per ten first sends.
    pub fn new() -> RetryBudget {
        RetryBudget::with_share(DEFAULT_SHARE)
    }

    /// Creates a budget of `share` retries per first send.
    pub fn with_share(share: f64) -> RetryBudget {
        RetryBudget {
            share: share.clamp(0.0, 1.0),
            tokens: MAX_TOKENS / 5.0,
        }
    }

    /// Records the first send of a request.
    pub fn first_send(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes a token for one more send of a request that was sent `sends` times; returns false
    /// if it must not be sent again.
    pub fn take(&mut self, sends: u32) -> bool {
        if sends >= MAX_SENDS || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
