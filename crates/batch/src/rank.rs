//! Ranking of the steps that wait for resources.
//!
//! Load pattern: for many seconds there is more work than capacity. Served in the order of arrival,
//! all of it ends late. Work that can still meet its objective goes before work that is already
//! late, and work whose result is no longer of use goes last. Within each class the earliest
//! deadline goes first.

use base::Millis;

/// A job's result is of use up to this multiple of its objective.
pub const USEFUL_FACTOR: u64 = 3;

/// Input to [`rank`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankInput {
    /// Priority of the job's queue; 0 is the highest.
    pub priority: u32,
    /// Whether the job is covered by its organisation's guarantee.
    pub guaranteed: bool,
    /// Time since the job was accepted.
    pub age: Millis,
    /// Target time from acceptance to completion, set by the queue.
    pub objective: Millis,
    /// Expected time from the start of the step to the end of the job.
    pub left: Millis,
}

/// Sort key of a waiting step; smaller ones go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    class: u32,
    /// Whether the job was sent beyond the rate of its organisation.
    excess: bool,
    /// Time left until the step must start to meet the deadline of its class.
    pub slack: Millis,
}

/// Class of jobs whose result would come too late to be of use.
const CLASS_EXPIRED: u32 = u32::MAX;

/// Highest class that no job of a lower priority can be in: that of priority 0 within its
/// objective.
const MAX_PREEMPTING_CLASS: u32 = 1;

/// Computes the sort key of a waiting step.
pub fn rank(input: &RankInput) -> Rank {
    let objective_end = input.objective;
    let useful_end = Millis(input.objective.0 * USEFUL_FACTOR);
    let end = input.age + input.left;
    if input.guaranteed {
        // All guaranteed jobs must start within the same time, so the oldest goes first.
        return Rank {
            class: 0,
            excess: false,
            slack: Millis::MAX.since(input.age),
        };
    }
    let (class, deadline) = match () {
        () if end <= objective_end => (input.priority + 1, objective_end),
        () if end <= useful_end => (input.priority + 2, useful_end),
        () => (CLASS_EXPIRED, Millis::MAX),
    };
    Rank {
        class,
        excess: false,
        slack: deadline.since(end),
    }
}

impl Rank {
    /// Whether the step goes before all work of lower priority. Only such a step may preempt:
    /// otherwise the stopped work would be ranked before it, take the resources back and be stopped
    /// again.
    pub fn may_preempt(&self) -> bool {
        self.class <= MAX_PREEMPTING_CLASS && !self.excess
    }

    /// The rank of a job that was sent beyond the rate of its organisation: behind all others of the
    /// same class.
    pub fn behind(self) -> Rank {
        Rank {
            excess: true,
            ..self
        }
    }

    /// Whether the two differ in their deadline only.
    pub fn is_level(&self, other: &Rank) -> bool {
        self.class == other.class && self.excess == other.excess
    }

    /// Whether the result would come too late to be of use.
    pub fn is_expired(&self) -> bool {
        self.class == CLASS_EXPIRED
    }
}
