//! Jobs as the planner holds them.

use std::collections::BTreeSet;

use base::Attempt;
use base::GangPlan;
use base::JobSpec;
use base::Millis;
use base::TaskPlace;
use base::WorkerId;

use crate::event::StopReason;
use crate::site::Footing;
use crate::site::Place;
use crate::site::Site;

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
    pub at: Millis,
    /// The attempt that runs, or else the next one.
    pub attempt: Attempt,
    /// Work saved by checkpoints.
    pub saved: Millis,
    /// Where it is in its life.
    pub phase: Phase,
    /// Its places, unless it is queued.
    pub places: Vec<Place>,
    /// The guaranteed gang whose cells it uses.
    pub unit: Option<usize>,
    /// By which right it stands on its places.
    pub footing: Footing,
    /// When the current attempt was ordered to start.
    pub since: Millis,
    /// When work was last saved, or the attempt started.
    pub mark: Millis,
    /// Work saved when the current attempt started.
    pub base: Millis,
    /// Whether an attempt before the planner knew the job may have run.
    pub tried: bool,
    /// Attempts that may have run.
    pub starts: u32,
    /// Workers on which it failed.
    pub failed: BTreeSet<WorkerId>,
    /// Failed attempts.
    pub failures: u32,
    /// Why and when it was last told to stop.
    pub stop: Option<(StopReason, Millis)>,
    /// When places were first reserved for it, since it last started.
    pub held: Option<Millis>,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

impl Job {
    /// A queued job.
    pub fn new(spec: JobSpec, at: Millis, attempt: Attempt, saved: Millis) -> Job {
        let tried = attempt > Attempt(1) || saved > Millis::ZERO;
        Job {
            spec,
            at,
            tried,
            attempt,
            saved,
            phase: Phase::Queued,
            places: Vec::new(),
            unit: None,
            footing: Footing::Borrowed,
            since: Millis::ZERO,
            mark: Millis::ZERO,
            base: saved,
            starts: 0,
            failed: BTreeSet::new(),
            failures: 0,
            stop: None,
            held: None,
            cancelled: false,
        }
    }

    /// The footing that it has outside of guarantees.
    pub fn loose_footing(&self) -> Footing {
        if self.spec.is_stoppable() {
            Footing::Borrowed
        } else {
            Footing::Fixed
        }
    }

    /// Work done so far if it is active, saved or not.
    pub fn run(&self, now: Millis) -> Millis {
        self.base + now.since(self.since)
    }

    /// Whether it is certain that it never ran.
    pub fn never_ran(&self) -> bool {
        !self.tried && self.starts == 0
    }

    /// Whether it may be started again after it ran.
    pub fn may_restart(&self) -> bool {
        self.starts == 0 || self.spec.is_stoppable()
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
