//! Limits and timing of the claim protocol.

use base::Millis;

/// Limits and timing. All daemons of a site must use the same values.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// How long an owner may act after the last proof that its view is the newest.
    pub lease: Millis,
    /// How long a record is kept. An id without a known creation time is refused for as long after
    /// both holders of its claim were lost.
    pub retention: Millis,
    /// Largest difference between any two clocks, including those of callers.
    pub max_skew: Millis,
    /// Interval at which unanswered messages are repeated.
    pub retry_interval: Millis,
    /// How long a send waits for the outcome of another send of the same id.
    pub outcome_wait: Millis,
    /// How long the outcome of a dispatch is reported to an owner that does not acknowledge it.
    pub report_period: Millis,
    /// Number of stored records from which on new claims are refused.
    pub max_records: usize,
    /// Maximum total size of the stored answer bodies.
    pub max_body_bytes: usize,
    /// Maximum size of one stored answer body; larger ones are dropped.
    pub max_answer_bytes: usize,
    /// Maximum number of sends that wait for a grant or report an outcome.
    pub max_pending: usize,
    /// Number of records in one transfer message.
    pub chunk_records: usize,
    /// Safety mechanisms to disable; set by tests only.
    pub ablation: Ablation,
}

/// Safety mechanisms that tests disable to show that each is necessary.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Ablation {
    /// Grants a claim before the backup has recorded it.
    pub no_copy: bool,
    /// Keeps acknowledging copies for older views after a promise was given.
    pub no_promise: bool,
    /// Serves ids whose earlier claims may be lost.
    pub no_doubt: bool,
    /// Ignores the expiry of the lease.
    pub no_lease: bool,
    /// Accepts a grant for a send that was already refused or dispatched.
    pub no_nonce: bool,
    /// Answers "not run" before the backup has recorded that the id is closed.
    pub no_tombstone: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            lease: Millis::from_secs(120),
            retention: Millis::from_secs(900),
            max_skew: Millis::from_secs(5),
            retry_interval: Millis(50),
            outcome_wait: Millis::from_secs(2),
            report_period: Millis::from_secs(60),
            max_records: 400_000,
            max_body_bytes: 32 << 20,
            max_answer_bytes: 16 << 10,
            max_pending: 20_000,
            chunk_records: 512,
            ablation: Ablation::default(),
        }
    }
}
