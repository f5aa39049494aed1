//! Detects that the daemon has stood still.
//!
//! Failure pattern: a daemon that was paused finds submissions in its socket buffers whose callers have
//! given up, and have cancelled the jobs at another daemon meanwhile.

use base::Millis;

/// Longest time between two calls of [`StallDetector::beat`].
pub const BEAT_INTERVAL: Millis = Millis(250);

/// Time without a beat from which the daemon counts as stalled.
const MIN_STALL: Millis = Millis(1_000);

/// Time after a stall in which requests are read that came during it.
const READ_TIME: Millis = Millis(1_000);

/// Tells whether a request that is read now may have waited during a stall.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last_beat: Millis,
    stalled_until: Millis,
}

impl StallDetector {
    /// A detector of a daemon that starts at `now`.
    pub fn new(now: Millis) -> StallDetector {
        StallDetector {
            last_beat: now,
            stalled_until: Millis::ZERO,
        }
    }

    /// Notes that the daemon runs at `now`. Returns whether a request that is read now may have waited
    /// during a stall.
    pub fn beat(&mut self, now: Millis) -> bool {
        if now.since(self.last_beat) >= MIN_STALL {
            self.stalled_until = now + READ_TIME;
        }
        self.last_beat = now;
        now < self.stalled_until
    }
}
