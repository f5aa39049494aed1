//! A worker as the coordinator knows it.

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

/// What the call asked for.
#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    Epoch,
    Tasks(Vec<TaskOp>),
}

/// A task on a worker that belongs to no current attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Orphan {
    /// Whether it holds accelerators.
    pub active: bool,
    /// When it was first known to be over.
    pub since: Millis,
}

/// A worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether it accepted the current epoch.
    pub accepted: bool,
    pub call: Option<Call>,
    /// Whether the last call was not answered; the next one reads the state.
    pub probe: bool,
    /// No call before this time.
    pub retry: Millis,
    /// When the last answered call was sent.
    pub heard: Millis,
    /// Whether it was reported silent.
    pub silent: bool,
    /// Jobs with a task here.
    pub jobs: BTreeSet<JobId>,
    pub orphans: BTreeMap<TaskKey, Orphan>,
    /// What it reported before take-over was finished.
    pub early: Vec<TaskReport>,
}

impl Worker {
    /// Forgets what was learned under a former epoch.
    pub fn reset(&mut self, now: Millis) {
        *self = Worker {
            listed: self.listed,
            heard: now,
            ..Worker::default()
        };
    }

    /// Records that a task belongs to no current attempt.
    pub fn add_orphan(&mut self, key: TaskKey, active: bool, now: Millis) {
        let orphan = Orphan { active, since: now };
        let known = self.orphans.entry(key).or_insert(orphan);
        if known.active != active {
            *known = orphan;
        }
    }
}
