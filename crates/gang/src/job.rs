//! Jobs as the planner holds them.

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

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It has places, but waits for the jobs on them to stop.
    Claiming,
    /// It waits.
    Queued,
    /// All its tasks run.
    Running,
    /// Its start was ordered.
    Starting,
    /// Its stop was ordered.
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
    /// The job as declared.
    pub spec: JobSpec,
    /// When it was submitted.
    pub submitted: Millis,
    /// The attempt that runs, or else the next one.
    pub attempt: Attempt,
    /// Work saved by checkpoints.
    pub saved: Millis,
    /// Where it is in its life.
    pub phase: Phase,
    /// Its places, unless it is queued.
    pub places: Vec<Place>,
    /// The guaranteed gang whose cells it uses.
    pub gang: Option<usize>,
    /// By which right it stands on its places.
    pub class: TaskClass,
    /// When the current attempt was ordered to start.
    pub started: Millis,
    /// When work was last saved, or the attempt started.
    pub last_saved: Millis,
    /// Work saved when the current attempt started.
    pub initial_work: Millis,
    /// Whether an attempt before the planner knew the job may have run.
    pub ran_before: bool,
    /// Attempts that may have run.
    pub start_count: u32,
    /// Workers on which it failed.
    pub failed_on: BTreeSet<WorkerId>,
    /// Failed attempts.
    pub failed_attempts: u32,
    /// Why and when it was last told to stop.
    pub stop_order: Option<(StopReason, Millis)>,
    /// When places were first reserved for it, since it last started.
    pub reserved_since: Option<Millis>,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

impl Job {
    /// A queued job.
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

    /// The footing that it has outside of guarantees.
    pub fn default_class(&self) -> TaskClass {
        if self.spec.is_stoppable() {
            TaskClass::Borrowed
        } else {
            TaskClass::Pinned
        }
    }

    /// Work done so far if it is active, saved or not.
    pub fn work_done(&self, now: Millis) -> Millis {
        self.initial_work + now.since(self.started)
    }

    /// Whether it is certain that it never ran.
    pub fn never_ran(&self) -> bool {
        !self.ran_before && self.start_count == 0
    }

    /// Whether it may be started again after it ran.
    pub fn may_restart(&self) -> bool {
        self.start_count == 0 || self.spec.is_stoppable()
    }

    /// Its placement for the executing side.
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
