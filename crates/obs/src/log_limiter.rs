//! Rate limit for log lines that would otherwise be written many times per second.

use std::cell::Cell;
use std::cell::RefCell;

use base::Map;
use base::Millis;

/// Shortest time between two lines. The count of suppressed lines shows readers of the log that
/// the condition persists and how often it occurs.
const MIN_INTERVAL: Millis = Millis(1_000);

/// Allows at most one log line per second and counts the lines suppressed in between. Each kind
/// of line has a limiter of its own.
#[derive(Debug, Default)]
pub struct LogLimiter {
    last: Cell<Option<Millis>>,
    suppressed: Cell<u64>,
}

impl LogLimiter {
    /// Returns the number of lines suppressed since the last one if a line may be written at
    /// `now`, and `None` if it is to be suppressed.
    pub fn admit(&self, now: Millis) -> Option<u64> {
        let early = self
            .last
            .get()
            .is_some_and(|at| now.since(at) < MIN_INTERVAL);
        if early {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.suppressed.replace(0))
    }
}

/// Shortest time between two lines about the same subject.
const SUBJECT_INTERVAL: Millis = Millis(60_000);

/// Most subjects that are remembered. Lines about further ones are suppressed until some are old.
const MAX_SUBJECTS: usize = 1_000;

/// Allows at most one log line a minute about each subject, such as a key of the store.
#[derive(Debug, Default)]
pub struct SubjectLimiter {
    last: RefCell<Map<String, Millis>>,
}

impl SubjectLimiter {
    /// Whether a line about the subject may be written at `now`.
    pub fn admit(&self, subject: &str, now: Millis) -> bool {
        let mut last = self.last.borrow_mut();
        let is_recent = |at: &Millis| now.since(*at) < SUBJECT_INTERVAL;
        if last.get(subject).is_some_and(is_recent) {
            return false;
        }
        if last.len() >= MAX_SUBJECTS {
            last.retain(|_, at| is_recent(at));
        }
        if last.len() >= MAX_SUBJECTS {
            return false;
        }
        last.insert(subject.to_string(), now);
        true
    }
}
