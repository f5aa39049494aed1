//! What a daemon that does not hold the lock knows of its holder, and for how long what that one has published
//! holds.
//!
//! Load pattern: the coordinator is killed, and jobs go on coming. Until another one has read the records, the
//! number of waiting jobs that was published last counts none of them.

use base::Epoch;
use base::Millis;
use base::Revision;

/// Age up to which the platform lets callers be given the number of waiting jobs.
const MAX_COUNT_AGE: Millis = Millis(2_000);

/// The lock as this daemon has seen it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LockView {
    held: Option<Revision>,
    /// The last one that ended, and when this was seen.
    ended: Option<(Revision, Millis)>,
}

impl LockView {
    /// Notes that the lock is held, at this revision.
    pub fn hold(&mut self, lock: Revision, now: Millis) {
        if self.held != Some(lock) {
            self.release(now);
        }
        self.held = Some(lock);
    }

    /// Notes that the lock is not held any more, or that this is not known.
    pub fn release(&mut self, now: Millis) {
        let held = self.held.take();
        self.ended = held.map(|lock| (lock, now)).or(self.ended);
    }

    /// Whether callers may be given the number of jobs that the coordinator of this epoch has published last: it
    /// counts on, or did until a moment ago.
    pub fn is_counting(&self, epoch: Epoch, now: Millis) -> bool {
        let is_of = |lock: Revision| Epoch(lock.0) == epoch;
        let has_just = |at: Millis| now.since(at) <= MAX_COUNT_AGE;
        self.held.is_some_and(is_of)
            || self
                .ended
                .is_some_and(|(lock, at)| is_of(lock) && has_just(at))
    }
}
