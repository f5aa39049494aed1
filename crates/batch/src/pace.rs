//! Processor share of best-effort tasks on a worker that also runs serving tasks.
//!
//! Load pattern: best-effort tasks use a worker's idle processor time and slow down a serving task
//! on it. When its load rises within seconds, its response times exceed their target, and would
//! stay there while the best-effort tasks run on. The share of the best-effort tasks is halved
//! until the target is met, well before the limit on violations, and then grows step by step.

use base::Millis;

/// Length of the window over which a worker measures response times. A change shows fully only
/// after it.
const FIGURE: Millis = Millis(500);

/// Share in percent below which best-effort tasks are suspended.
const LEAST: u32 = 10;

/// Growth steps: while the response times are below the first figure (percent of the target), the
/// share grows by the second (percentage points). It grows faster while far from the target.
const GROWTH: [(u64, u32); 2] = [(60, 30), (90, 10)];

/// Best-effort tasks are suspended after this fraction (one in so many) of the limit on violations.
/// The rest leaves time to repeat a request that was lost.
const HARM_SHARE: u64 = 3;

/// Time limits of the deployment for throttling.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PaceBounds {
    /// Time after which a request that changes the share is in force.
    pub pace: Millis,
    /// Longest time for which best-effort tasks may push a serving task over its target.
    pub harm: Millis,
}

/// Response times of a serving task, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tail {
    /// The measured response time.
    pub seen: u64,
    /// The response time to stay below.
    pub target: u64,
}

/// Controls the processor share of the best-effort tasks on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pace {
    share: u32,
    /// Since when a serving task has been over its target.
    over: Option<Millis>,
    /// When the share was last changed.
    changed: Millis,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            share: 100,
            over: None,
            changed: Millis::ZERO,
        }
    }
}

impl Pace {
    /// The share in percent; 100 is unlimited, 0 suspends the tasks.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Adjusts the share to the response times in a worker's report.
    pub fn see(&mut self, tails: &[Tail], bounds: PaceBounds, now: Millis) {
        let settled = now.since(self.changed) >= bounds.pace + FIGURE;
        if tails.iter().any(|t| t.seen > t.target) {
            let over = *self.over.get_or_insert(now);
            let long = now.since(over).0 > bounds.harm.0 / HARM_SHARE;
            match () {
                () if long => self.set(0, now),
                () if settled => self.set(self.share / 2, now),
                () => {}
            }
            return;
        }
        self.over = None;
        let within = |part: u64| tails.iter().all(|t| t.seen * 100 <= t.target * part);
        let growth = GROWTH.iter().find(|(part, _)| within(*part));
        if let Some((_, more)) = growth.filter(|_| settled) {
            self.set(self.share.max(LEAST) + more, now);
        }
    }

    fn set(&mut self, share: u32, now: Millis) {
        let share = match share {
            share if share < LEAST => 0,
            share => share.min(100),
        };
        if share != self.share {
            (self.share, self.changed) = (share, now);
        }
    }
}
