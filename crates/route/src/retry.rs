//! Retry budget: retries may add only a share of the first sends.

/// Tokens that one first send earns.
const EARNED: f64 = 0.1;

/// Tokens that can be saved up.
const MAX_TOKENS: f64 = 50.0;

/// Sends of one request, the first included.
const MAX_SENDS: u32 = 3;

/// Budget for retries of one entry VM.
#[derive(Clone, Debug)]
pub struct Retries {
    share: f64,
    tokens: f64,
}

impl Retries {
    /// A budget of one retry for ten first sends.
    pub fn new() -> Retries {
        Retries::with_share(EARNED)
    }

    /// A budget of `share` retries for each first send.
    pub fn with_share(share: f64) -> Retries {
        Retries {
            share: share.clamp(0.0, 1.0),
            tokens: MAX_TOKENS / 5.0,
        }
    }

    /// A request was sent for the first time.
    pub fn first_send(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Whether a request that was sent `sends` times may be sent again; takes the token.
    pub fn take(&mut self, sends: u32) -> bool {
        if sends >= MAX_SENDS || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for Retries {
    fn default() -> Retries {
        Retries::new()
    }
}
