//! How much of their time tasks that fill may work beside tasks that serve.
//!
//! Load pattern: tasks that fill a worker's unused processor time disturb a task that serves users
//! on it. Its load rises within seconds, its response times exceed their target, and they would
//! stay there for as long as the others work on. The share of those that fill is halved until the
//! target holds, in good time before the bound on the harm, and grows again step by step.

use base::Millis;

/// Time over which a worker's figure is taken; a change shows in it only after as long.
const FIGURE: Millis = Millis(500);

/// Share below which a task that fills is held altogether, in percent.
const LEAST: u32 = 10;

/// Parts of the target up to which the share grows again, in percent, and by how much at a time:
/// fast while far from the target.
const GROWTH: [(u64, u32); 2] = [(60, 30), (90, 10)];

/// Part of the bound on the harm after which those that fill are held altogether: one in this
/// many. What is left of it covers an order that is lost and sent again.
const HARM_SHARE: u64 = 3;

/// Bounds of the deployment on pacing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PaceBounds {
    /// Time after which an order is in force.
    pub pace: Millis,
    /// Time for which a serving task may be over its target by others' doing.
    pub harm: Millis,
}

/// Response times of a serving task against their target, both in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tail {
    /// What was seen.
    pub seen: u64,
    /// What it should stay below.
    pub target: u64,
}

/// The share of the tasks that fill one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pace {
    share: u32,
    /// Since when a target has been exceeded.
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
    /// The share in percent.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Takes what a worker's report says of the tasks that serve on it.
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
