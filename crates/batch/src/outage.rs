//! How long a submission waits during an outage of the store, and when a rejected caller returns.
//!
//! Load pattern: the store does not answer for some seconds while submissions arrive at their usual
//! rate. A caller that is told nothing certain tries again at once until its time is over, which is
//! sooner than the end of most outages. One that is rejected returns when it is told to, a few times
//! only. Nothing tells when an outage ends, but one that has lasted is likely to last as long again,
//! so the times grow with its age. If all callers were told the likely end, they would return as one
//! burst; times that count from each call, with a random part, spread them as the calls were spread.

use base::Millis;

/// An outage that begins within this time of the end of another one continues it.
const SETTLE_TIME: Millis = Millis(1_000);

/// A submission waits for at most its caller's time divided by this.
const HOLD_DIVISOR: u64 = 2;

/// The age of an outage divided by this is the time after which a rejected caller returns.
const RETURN_DIVISOR: u64 = 2;

/// Shortest and longest time to return, before its random part.
const RETURN_RANGE: (Millis, Millis) = (Millis(1_000), Millis(5_000));

/// Unit of the times to return: callers are told whole seconds.
const SECOND: u64 = 1_000;

/// Whether the store answers, and since when it does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    start: Option<Millis>,
    end: Option<Millis>,
}

impl Outage {
    /// Records that the store has answered, or has not. Returns whether that is a change.
    pub fn record(&mut self, answers: bool, now: Millis) -> bool {
        let lasting = self.is_lasting();
        if answers != lasting {
            return false;
        }
        if answers {
            self.end = Some(now);
            return true;
        }
        let settled = self.end.is_none_or(|at| now.since(at) >= SETTLE_TIME);
        if settled || self.start.is_none() {
            self.start = Some(now);
        }
        self.end = None;
        true
    }

    /// Whether the store does not answer now.
    pub fn is_lasting(&self) -> bool {
        self.start.is_some() && self.end.is_none()
    }

    /// Age of the current outage, at least a millisecond; zero while the store answers.
    pub fn age(&self, now: Millis) -> Millis {
        match self.start.filter(|_| self.end.is_none()) {
            Some(start) => now.since(start).max(Millis(1)),
            None => Millis::ZERO,
        }
    }
}

/// Time for which a submission waits for the end of an outage of this age before its caller is
/// rejected; `wait` is the time for which the caller waits in all. The submission waits for as long
/// as the outage is more likely to end within the caller's time than not, and in any case if that time
/// is too short for the caller to return.
pub fn hold(age: Millis, wait: Millis) -> Millis {
    let left = match wait <= RETURN_RANGE.0 {
        true => wait,
        false => wait.since(age),
    };
    Millis(left.0 / HOLD_DIVISOR)
}

/// Time after which a caller that is rejected at this age of an outage returns, in whole seconds.
/// `random` returns a random value from zero to its argument.
pub fn return_after(age: Millis, random: impl FnOnce(Millis) -> Millis) -> Millis {
    let (least, most) = RETURN_RANGE;
    let base = Millis(age.0 / RETURN_DIVISOR).clamp(least, most);
    let secs = (base.0 + SECOND / 2) / SECOND;
    Millis((secs + random(Millis(secs / 2)).0) * SECOND)
}
