//! State of a worker as known to the coordinator.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::JobId;
use base::Millis;
use work::wire::TaskKey;
use work::wire::TaskOp;
use work::wire::TaskReport;

use crate::message::CallId;

/// A call in flight.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub id: CallId,
    pub sent: Millis,
    pub kind: CallKind,
}

/// Kind of a call: an epoch call, or a batch of task operations.
#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    Epoch,
    Tasks(Vec<TaskOp>),
}

/// State of a task on a worker that belongs to no current attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Orphan {
    /// Whether the task may still hold accelerators.
    pub active: bool,
    /// When `active` got its value.
    pub since: Millis,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    /// Whether the platform lists the worker.
    pub listed: bool,
    /// Whether the worker accepted the current epoch.
    pub accepted: bool,
    pub call: Option<Call>,
    /// Whether the last call failed, so that the next one is an epoch call, which reads the state.
    pub probe: bool,
    /// No call is sent before this time.
    pub retry_at: Millis,
    /// When the latest answered call was sent.
    pub last_heard: Millis,
    /// Whether the worker was reported as silent.
    pub silent: bool,
    /// Jobs with a task on this worker.
    pub jobs: BTreeSet<JobId>,
    pub orphans: BTreeMap<TaskKey, Orphan>,
    /// Tasks reported before take-over was finished.
    pub early_reports: Vec<TaskReport>,
}

impl Worker {
    /// Clears all state but `listed`, for a new epoch.
    pub fn reset(&mut self, now: Millis) {
        *self = Worker {
            listed: self.listed,
            last_heard: now,
            ..Worker::default()
        };
    }

    /// Adds an orphaned task, or updates a known one if `active` changed.
    pub fn add_orphan(&mut self, key: TaskKey, active: bool, now: Millis) {
        let orphan = Orphan { active, since: now };
        let known = self.orphans.entry(key).or_insert(orphan);
        if known.active != active {
            *known = orphan;
        }
    }
}
