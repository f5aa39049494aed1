//! The order in which waiting steps get room.
//!
//! Load pattern: more work than room for many seconds. Taken as it comes, everything ends late.
//! Work that can still be in time goes before work that is late already, and work that no
//! caller waits for any more goes last; within that, the nearest deadline goes first.

use base::Millis;

/// A job's result is of use up to this multiple of its objective.
pub const LATE_FACTOR: u64 = 3;

/// What the order depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wait {
    /// The queue's priority; 0 comes first.
    pub priority: u32,
    /// Whether the job is within its organisation's guarantee.
    pub guaranteed: bool,
    /// Time since the job was accepted.
    pub age: Millis,
    /// The job's objective.
    pub objective: Millis,
    /// Expected time that it still takes once it runs.
    pub left: Millis,
}

/// Place in the order; smaller goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    class: u32,
    /// Time until the next deadline.
    pub slack: Millis,
}

/// Class of jobs that are too late to be of use.
const LOST: u32 = u32::MAX;

/// Highest class that no work of lower priority reaches: that of urgent work in time.
const DISPLACES: u32 = 1;

/// The place of a waiting step.
pub fn rank(wait: &Wait) -> Rank {
    let due = wait.objective;
    let limit = Millis(wait.objective.0 * LATE_FACTOR);
    let end = wait.age + wait.left;
    if wait.guaranteed {
        // The bound on their begin is the same for all, so the oldest is next.
        return Rank {
            class: 0,
            slack: Millis::MAX.since(wait.age),
        };
    }
    let (class, deadline) = match () {
        () if end <= due => (wait.priority + 1, due),
        () if end <= limit => (wait.priority + 2, limit),
        () => (LOST, Millis::MAX),
    };
    Rank {
        class,
        slack: deadline.since(end),
    }
}

impl Rank {
    /// Whether the step goes before all work of lower priority. Only then may it displace some:
    /// else what was stopped for it takes the room again, and is stopped again.
    pub fn displaces(&self) -> bool {
        self.class <= DISPLACES
    }

    /// Whether the result would come too late to be of use.
    pub fn is_lost(&self) -> bool {
        self.class == LOST
    }
}
