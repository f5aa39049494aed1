//! Requests to start a run that its worker may still carry out.
//!
//! Load pattern: one request in twenty has no answer and is carried out seconds later, while workers crash
//! and start again under their ids. What an incarnation refuses, the next one does not: it takes every
//! request that is on its way and was sent before its first poll.

use base::Millis;

use crate::bounds::CALL_LIFE;

/// Until when requests to start a run may be carried out, by the incarnation that they were sent to or by a
/// later one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdriftStarts {
    /// The request whose answer is awaited.
    awaited: Option<Millis>,
    /// Those that have no answer.
    unanswered: Option<Millis>,
    /// When the first of them was sent; `None` if that is not known.
    first_sent: Option<Millis>,
}

impl AdriftStarts {
    /// Notes that a request is sent.
    pub fn send(&mut self, now: Millis) {
        if self.until().is_none() {
            self.first_sent = Some(now);
        }
        self.awaited = Some(now + CALL_LIFE);
    }

    /// Notes that the awaited request was answered.
    pub fn answer(&mut self) {
        self.awaited = None;
        if self.unanswered.is_none() {
            self.first_sent = None;
        }
    }

    /// Notes that a request has no answer, and may be carried out until then.
    pub fn lose(&mut self, until: Millis) {
        self.awaited = None;
        self.unanswered = self.unanswered.max(Some(until));
    }

    /// Latest time at which one of them may be carried out; `None` if none may.
    pub fn until(&self) -> Option<Millis> {
        self.awaited.max(self.unanswered)
    }

    /// Whether one of them may be carried out at `now` or later.
    pub fn is_any(&self, now: Millis) -> bool {
        self.until().is_some_and(|until| now <= until)
    }

    /// Whether all of them were sent after `at`.
    pub fn is_after(&self, at: Millis) -> bool {
        self.first_sent.is_some_and(|sent| sent > at)
    }
}
