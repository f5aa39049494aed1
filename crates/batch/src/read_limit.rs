//! Backs off from the store's limit on reads.
//!
//! Load pattern: after an outage callers ask for thousands of jobs within seconds. The store refuses
//! most of the reads, and the renewals of the coordinator's lock with them. Repeating refused reads, or
//! sending many at once after a pause, keeps the store at its limit.

use base::Millis;

/// Pause after the first refusal; it doubles with each refusal after a pause.
const FIRST_PAUSE: Millis = Millis(250);

/// Longest pause.
const MAX_PAUSE: Millis = Millis(1_000);

/// Limits the reads in progress that count toward the store's limit after it has refused one: none for
/// a pause, then one, and one more with each answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadLimit {
    in_progress: usize,
    /// Most reads in progress; `None` if none was refused lately.
    window: Option<usize>,
    pause: Millis,
    paused_until: Millis,
}

impl ReadLimit {
    /// Counts a read as in progress if it may be sent now. Returns whether it may; [`ReadLimit::end`]
    /// must then be called once.
    pub fn begin(&mut self, now: Millis) -> bool {
        let is_full = self.window.is_some_and(|window| self.in_progress >= window);
        let allowed = now >= self.paused_until && !is_full;
        self.in_progress += usize::from(allowed);
        allowed
    }

    /// Notes that the store has answered a read. Once `max` reads may be in progress again, there is no
    /// limit, and the next pause is short.
    pub fn answer(&mut self, now: Millis, max: usize) {
        if now < self.paused_until {
            return;
        }
        self.window = self.window.map(|window| window + 1).filter(|w| *w < max);
        if self.window.is_none() {
            self.pause = Millis::ZERO;
        }
    }

    /// Notes that the store has refused a read because of its limit. Refusals of reads sent before a
    /// pause do not lengthen it.
    pub fn refuse(&mut self, now: Millis) {
        if now >= self.paused_until {
            self.pause = Millis(self.pause.0 * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
            self.paused_until = now + self.pause;
            self.window = Some(1);
        }
    }

    /// Notes that a read is no longer in progress, whatever came of it.
    pub fn end(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }
}
