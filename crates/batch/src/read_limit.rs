//! Backs off from the store's limit on reads.
//!
//! Load pattern: after an outage callers ask for thousands of jobs within seconds. The store refuses
//! most of the reads, and the renewals of the coordinator's lock with them. Repeating refused reads
//! keeps the store at its limit.

use base::Millis;

/// Pause after the first refusal; it doubles with each refusal after a pause.
const FIRST_PAUSE: Millis = Millis(250);

/// Longest pause.
const MAX_PAUSE: Millis = Millis(2_000);

/// Pauses reads that count toward the store's limit after it has refused one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadLimit {
    pause: Millis,
    paused_until: Millis,
}

impl ReadLimit {
    /// Whether no read that counts toward the limit should be sent now.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Notes that the store has refused a read. Reads sent before a pause do not lengthen it.
    pub fn refuse(&mut self, now: Millis) {
        if !self.is_paused(now) {
            self.pause = Millis(self.pause.0 * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
            self.paused_until = now + self.pause;
        }
    }

    /// Notes that the store has answered a read. The next pause is short again once reads have been
    /// answered for as long as the last pause.
    pub fn answer(&mut self, now: Millis) {
        if now >= self.paused_until + self.pause {
            self.pause = Millis::ZERO;
        }
    }
}
