//! Rows of a worker's report that cannot be read.
//!
//! Such a row must not cost the other rows, nor may it be taken for a row that is not there: the run
//! that it names may be active, or may have ended as done. So it is kept with all that can be read
//! of it.

use crate::spec::RunNumber;
use crate::spec::TaskId;

/// A row of the active runs that cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub struct OddRun {
    /// The task, if that can be read.
    pub task: Option<TaskId>,
    /// Number of the run, if that can be read.
    pub run: Option<RunNumber>,
    /// What is wrong with the row.
    pub why: String,
}

/// A row of the ended runs that cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub struct OddEnd {
    /// Lowest sequence number that the end can have.
    pub first: u64,
    /// Highest sequence number that the end can have.
    pub last: u64,
    /// The task, if that can be read.
    pub task: Option<TaskId>,
    /// What is wrong with the row.
    pub why: String,
}

/// All rows of a report that cannot be read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OddRows {
    /// Rows of active runs.
    pub running: Vec<OddRun>,
    /// Rows of ended runs.
    pub ended: Vec<OddEnd>,
}

impl OddRows {
    /// What is wrong with the first row; `None` if there is none.
    pub fn first(&self) -> Option<&str> {
        let running = self.running.iter().map(|r| r.why.as_str());
        running
            .chain(self.ended.iter().map(|e| e.why.as_str()))
            .next()
    }

    /// Number of the rows.
    pub fn count(&self) -> usize {
        self.running.len() + self.ended.len()
    }

    /// Whether a row names the task as that of an active run.
    pub fn runs(&self, task: &TaskId) -> bool {
        self.running.iter().any(|r| r.task.as_ref() == Some(task))
    }

    /// Whether a row names the task, as that of an active or an ended run.
    pub fn names(&self, task: &TaskId) -> bool {
        let mut ended = self.ended.iter().map(|e| e.task.as_ref());
        self.runs(task) || ended.any(|named| named == Some(task))
    }

    /// Whether a row may stand for an active run or for an end of the task, after the ends that were
    /// seen.
    pub fn may_hide(&self, task: &TaskId, seen_end: u64) -> bool {
        let names = |named: &Option<TaskId>| named.as_ref().is_none_or(|t| t == task);
        let ended = self.ended.iter().filter(|e| e.last > seen_end);
        self.running.iter().any(|r| names(&r.task)) || ended.map(|e| &e.task).any(names)
    }

    /// The lowest sequence number that an unread end after those that were seen may have.
    pub fn first_end(&self, seen_end: u64) -> Option<u64> {
        let ended = self.ended.iter().filter(|e| e.last > seen_end);
        ended.map(|e| e.first.max(seen_end.saturating_add(1))).min()
    }
}
