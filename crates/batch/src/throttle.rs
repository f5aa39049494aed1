//! Processor share of best-effort tasks on a worker that also runs serving tasks.
//!
//! Load pattern: best-effort tasks use a worker's idle processor time and slow down a serving task
//! on it. When its load rises within seconds, its response times exceed their target for as long as
//! the best-effort tasks run. So the share of the best-effort tasks is halved until the target is
//! met, well before the limit on violations, and then grows step by step.

use base::Millis;

/// Length of the window over which a worker measures response times. A change shows fully only
/// after it.
const WINDOW: Millis = Millis(500);

/// Share in percent below which best-effort tasks are suspended.
const MIN_SHARE: u32 = 10;

/// Growth steps: while the response times are below the first figure (percent of the target), the
/// share grows by the second (percentage points). It grows faster while far from the target.
const GROWTH: [(u64, u32); 2] = [(60, 30), (90, 10)];

/// Best-effort tasks are suspended after this fraction (one in so many) of the limit on violations.
/// The rest leaves time to repeat a request that was lost.
const SUSPEND_FRACTION: u64 = 3;

/// Time limits of the deployment for throttling.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ThrottleBounds {
    /// Time after which a request that changes the share is in force.
    pub apply_delay: Millis,
    /// Longest time for which best-effort tasks may push a serving task over its target.
    pub violation_limit: Millis,
}

/// Response times of a serving task, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Latency {
    /// The measured response time.
    pub measured: u64,
    /// The response time to stay below.
    pub target: u64,
}

/// Controls the processor share of the best-effort tasks on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Throttle {
    share: u32,
    /// Since when a serving task has been over its target.
    over_since: Option<Millis>,
    /// When the share was last changed.
    changed_at: Millis,
}

impl Default for Throttle {
    fn default() -> Throttle {
        Throttle {
            share: 100,
            over_since: None,
            changed_at: Millis::ZERO,
        }
    }
}

impl Throttle {
    /// The share in percent; 100 is unlimited, 0 suspends the tasks.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Adjusts the share to the response times in a worker's report.
    pub fn update(&mut self, latencies: &[Latency], bounds: ThrottleBounds, now: Millis) {
        let settled = now.since(self.changed_at) >= bounds.apply_delay + WINDOW;
        if latencies.iter().any(|l| l.measured > l.target) {
            let over_since = *self.over_since.get_or_insert(now);
            let long = now.since(over_since).0 > bounds.violation_limit.0 / SUSPEND_FRACTION;
            match () {
                () if long => self.set(0, now),
                () if settled => self.set(self.share / 2, now),
                () => {}
            }
            return;
        }
        self.over_since = None;
        let within = |part: u64| {
            latencies
                .iter()
                .all(|l| l.measured * 100 <= l.target * part)
        };
        let growth = GROWTH.iter().find(|(part, _)| within(*part));
        if let Some((_, more)) = growth.filter(|_| settled) {
            self.set(self.share.max(MIN_SHARE) + more, now);
        }
    }

    fn set(&mut self, share: u32, now: Millis) {
        let share = match share {
            share if share < MIN_SHARE => 0,
            share => share.min(100),
        };
        if share != self.share {
            (self.share, self.changed_at) = (share, now);
        }
    }
}
