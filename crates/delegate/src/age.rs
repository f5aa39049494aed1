//! Rejection of calls that reached a delegate late.

use base::Millis;

/// Age above which a call is not carried out. The coordinator has given up on it by then.
pub const MAX_AGE: Millis = Millis(1_000);

/// Time without an accepted call after which the offset of the clocks is estimated anew, because
/// one of them may have been set.
const RESET_AFTER: Millis = Millis(3_000);

/// Estimates the age of calls from the wall clocks of sender and receiver, which may differ.
///
/// Failure pattern: a delegate that was suspended wakes up with calls in its socket buffer that
/// were sent long ago. Its monotonic clock did not advance meanwhile, but its wall clock did.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgeFilter {
    /// Smallest difference of the two clocks seen so far, in milliseconds: the offset of the clocks
    /// plus the shortest delay.
    smallest: Option<i64>,
    /// Receipt of the first call of the current series of rejected ones.
    rejecting_since: Option<Millis>,
}

impl AgeFilter {
    /// Whether a call sent at `sent` on the sender's wall clock and received at `received` on the
    /// receiver's may be carried out. `stalled` is whether the receiver has just stood still: the call
    /// may have waited, which the wall clocks don't show if one was set or the call is the first one.
    pub fn accept(&mut self, sent: Millis, received: Millis, stalled: bool) -> bool {
        if stalled {
            return false;
        }
        let difference = received.0 as i64 - sent.0 as i64;
        let smallest = self.smallest.map_or(difference, |s| s.min(difference));
        self.smallest = Some(smallest);
        if difference - smallest <= MAX_AGE.0 as i64 {
            self.rejecting_since = None;
            return true;
        }
        let since = *self.rejecting_since.get_or_insert(received);
        if received.since(since) > RESET_AFTER {
            self.smallest = Some(difference);
            self.rejecting_since = None;
        }
        false
    }
}
