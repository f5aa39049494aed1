//! Bounds and times of the claim protocol.

use base::Millis;

/// Bounds and times. All daemons of a site use the same values.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Longest authority of an owner after the last proof that its view is the newest.
    pub lease: Millis,
    /// How long a claim is kept, and how long an id without a known creation time is
    /// refused after the loss of both its holders.
    pub retention: Millis,
    /// Largest difference between two clocks, callers' clocks included.
    pub skew: Millis,
    /// Time between repeats of an unanswered message.
    pub retry: Millis,
    /// How long a send waits for the outcome of another send of its id.
    pub wait: Millis,
    /// How long the outcome of a dispatch is offered to the owner.
    pub report: Millis,
    /// Claims kept at most.
    pub rows: usize,
    /// Bytes of answers kept at most, all together.
    pub bytes: usize,
    /// Bytes of one answer kept at most.
    pub answer: usize,
    /// Requests that wait for a grant or report an outcome at most.
    pub pending: usize,
    /// Records in one transfer message at most.
    pub chunk: usize,
    /// Mechanisms switched off; only tests set any.
    pub ablation: Ablation,
}

/// Mechanisms that tests switch off to show that each is needed.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Ablation {
    /// Grants before the copy-holder has the claim.
    pub no_copy: bool,
    /// Goes on acknowledging copies under older views.
    pub no_promise: bool,
    /// Serves ids whose earlier claims may be lost.
    pub no_doubt: bool,
    /// Ignores the end of the lease.
    pub no_lease: bool,
    /// Uses a grant for a request that was already given up on or dispatched.
    pub no_nonce: bool,
    /// Says "not run" of an id before the copy-holder knows that it is closed.
    pub no_tombstone: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            lease: Millis::from_secs(120),
            retention: Millis::from_secs(900),
            skew: Millis::from_secs(5),
            retry: Millis(50),
            wait: Millis::from_secs(2),
            report: Millis::from_secs(60),
            rows: 400_000,
            bytes: 32 << 20,
            answer: 16 << 10,
            pending: 20_000,
            chunk: 512,
            ablation: Ablation::default(),
        }
    }
}
