//! State that the planner keeps for each job.

use std::collections::BTreeSet;

use base::Attempt;
use base::GangPlan;
use base::JobSpec;
use base::Millis;
use base::TaskPlace;
use base::WorkerId;

use crate::event::StopReason;
use crate::site::Place;
use crate::site::Site;
use crate::site::TaskClass;

/// Phase of a job between its submission and its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Places are assigned, but other jobs must stop first.
    Claiming,
    /// Waits in the queue without places.
    Queued,
    /// All tasks were reported as running.
    Running,
    /// A start was ordered and is not confirmed yet.
    Starting,
    /// A stop was ordered; the end was not reported yet.
    Stopping,
}

impl Phase {
    /// Whether its tasks may hold accelerators on the workers.
    pub fn is_active(self) -> bool {
        matches!(self, Phase::Running | Phase::Starting | Phase::Stopping)
    }
}

/// A job that was accepted and has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    pub spec: JobSpec,
    pub submitted: Millis,
    /// Number of the current attempt if it is active, else of the next one.
    pub attempt: Attempt,
    /// Run time saved by checkpoints, over all attempts.
    pub saved: Millis,
    pub phase: Phase,
    /// Places of its tasks. Empty while it is queued, and for an adopted job whose reported
    /// places are not usable.
    pub places: Vec<Place>,
    /// Index of the guaranteed gang whose places it uses.
    pub gang: Option<usize>,
    /// Class under which its tasks count on their workers.
    pub class: TaskClass,
    /// When the current attempt was ordered to start; from its confirmation on, when it began
    /// to run.
    pub started: Millis,
    /// When a checkpoint was last saved in this attempt; its start if there was none.
    pub last_saved: Millis,
    /// Value of `saved` when the current attempt started.
    pub initial_work: Millis,
    /// Whether the job may have run before the planner received it.
    pub ran_before: bool,
    /// Attempts that may have run, as far as this planner knows.
    pub start_count: u32,
    pub failed_on: BTreeSet<WorkerId>,
    pub failed_attempts: u32,
    /// Reason and time of the latest stop order.
    pub stop_order: Option<(StopReason, Millis)>,
    /// When places were first reserved for it since its last start.
    pub reserved_since: Option<Millis>,
    pub cancelled: bool,
}

impl Job {
    /// A new job in the queue.
    pub fn new(spec: JobSpec, submitted: Millis, attempt: Attempt, saved: Millis) -> Job {
        let ran_before = attempt > Attempt(1) || saved > Millis::ZERO;
        Job {
            spec,
            submitted,
            ran_before,
            attempt,
            saved,
            phase: Phase::Queued,
            places: Vec::new(),
            gang: None,
            class: TaskClass::Borrowed,
            started: Millis::ZERO,
            last_saved: Millis::ZERO,
            initial_work: saved,
            start_count: 0,
            failed_on: BTreeSet::new(),
            failed_attempts: 0,
            stop_order: None,
            reserved_since: None,
            cancelled: false,
        }
    }

    /// Class of its tasks when they use no guarantee.
    pub fn default_class(&self) -> TaskClass {
        if self.spec.is_stoppable() {
            TaskClass::Borrowed
        } else {
            TaskClass::Pinned
        }
    }

    /// Run time completed at `now` if the job is active, whether saved or not.
    pub fn work_done(&self, now: Millis) -> Millis {
        self.initial_work + now.since(self.started)
    }

    /// Whether no attempt can have run any task.
    pub fn never_ran(&self) -> bool {
        !self.ran_before && self.start_count == 0
    }

    /// Whether another attempt is allowed.
    pub fn may_restart(&self) -> bool {
        self.start_count == 0 || self.spec.is_stoppable()
    }

    /// The placement in the form of a start order.
    pub fn plan(&self, site: &Site) -> GangPlan {
        let task = |(i, p): (usize, &Place)| TaskPlace {
            task: i as u32,
            worker: site.workers[p.worker].spec.id.clone(),
            first: p.first,
            count: self.spec.shape.accels,
        };
        GangPlan {
            job: self.spec.id.clone(),
            attempt: self.attempt,
            places: self.places.iter().enumerate().map(task).collect(),
        }
    }
}
