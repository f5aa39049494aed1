//! Changes of the places that jobs hold.

use crate::event::Action;
use crate::event::StopReason;
use crate::job::Phase;
use crate::planner::Planner;
use crate::planner::Wake;
use crate::site::Footing;
use crate::site::Key;
use crate::site::Place;
use crate::site::Service;

/// Where a job can go.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Its places.
    pub places: Vec<Place>,
    /// The guaranteed gang whose cells they are.
    pub unit: Option<usize>,
    /// By which right it stands there.
    pub footing: Footing,
}

impl Planner {
    /// Starts a waiting job, or reserves its places until the jobs on them have stopped.
    pub(crate) fn take(&mut self, key: Key, target: Target, why: StopReason) -> bool {
        let Some(victims) = self.victims(key, &target, why) else {
            return false;
        };
        self.queue.remove(key);
        self.holds.retain(|h| h.job != key);
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        job.places = target.places;
        job.unit = target.unit;
        job.footing = target.footing;
        job.phase = Phase::Claiming;
        if let Some(unit) = job.unit {
            self.book.units[unit].jobs.insert(key);
        }
        self.hold_places(key, true);
        self.count(key, true);
        self.claims.insert(key);
        for victim in victims {
            let checkpoint = self.jobs.get(&victim).is_some_and(|j| j.spec.checkpoint);
            self.stop(victim, why, checkpoint);
        }
        self.start_if_ready(key);
        true
    }

    fn hold_places(&mut self, key: Key, on: bool) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        for place in &job.places {
            let worker = &mut self.site.workers[place.worker];
            let fixed = job.footing == Footing::Fixed;
            let change = match on {
                true => crate::site::Load::add,
                false => crate::site::Load::remove,
            };
            change(&mut worker.held, place.load);
            if fixed {
                change(&mut worker.fixed, place.load);
            }
        }
    }

    /// Starts the claiming jobs whose places have become free.
    pub(crate) fn start_ready(&mut self) {
        if self.claims.is_empty() {
            return;
        }
        let claims: Vec<Key> = self.claims.iter().copied().collect();
        for key in claims {
            if !self.start_if_ready(key) {
                self.renew_claim(key);
            }
        }
    }

    fn start_if_ready(&mut self, key: Key) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        if !self.permit || !self.is_vacant(&job.places) {
            return false;
        }
        self.hold_places(key, false);
        self.claims.remove(&key);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        job.phase = Phase::Starting;
        job.starts += 1;
        job.held = None;
        job.base = job.saved;
        job.since = now;
        job.mark = now;
        self.site.seat(key, &job.places, job.footing);
        self.actions.push(Action::Start(job.plan(&self.site)));
        true
    }

    /// Whether nothing active stands on the places.
    fn is_vacant(&self, places: &[Place]) -> bool {
        places.iter().all(|p| {
            let worker = &self.site.workers[p.worker];
            let room = worker.all().without(worker.busy);
            worker.service == Service::Up && room.covers(sum_on(places, p.worker))
        })
    }

    /// Stops what still stands in the way of a claim, or gives the claim up.
    fn renew_claim(&mut self, key: Key) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let target = Target {
            places: job.places.clone(),
            unit: job.unit,
            footing: job.footing,
        };
        let why = StopReason::Reclaim;
        let Some(victims) = self.victims(key, &target, why) else {
            self.requeue(key);
            self.wake = Wake::All;
            return;
        };
        for victim in victims {
            let checkpoint = self.jobs.get(&victim).is_some_and(|j| j.spec.checkpoint);
            self.stop(victim, why, checkpoint);
        }
    }

    /// Takes a job off its places. It is then queued, but not yet in the queue.
    pub(crate) fn vacate(&mut self, key: Key) {
        self.count(key, false);
        if self.claims.remove(&key) {
            self.hold_places(key, false);
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.phase.is_active() {
            self.site.unseat(key, &job.places);
        }
        if let Some(unit) = job.unit.take() {
            self.book.units[unit].jobs.remove(&key);
        }
        job.places.clear();
        job.phase = Phase::Queued;
    }

    /// Queues a job that claims places and has not started.
    pub(crate) fn requeue(&mut self, key: Key) {
        self.vacate(key);
        self.enqueue(key);
    }

    /// Puts a job without places into the queue.
    pub(crate) fn enqueue(&mut self, key: Key) {
        if let Some(job) = self.jobs.get(&key) {
            self.queue.add(key, job);
        }
    }

    /// Adds a job with places to its organisation's usage, or takes it off.
    pub(crate) fn count(&mut self, key: Key, on: bool) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.places.is_empty() {
            return;
        }
        let accels = job.spec.accels();
        let usage = self.usage.entry(job.spec.org.clone()).or_default();
        let borrowed = job.unit.is_none();
        if on {
            usage.used += accels;
        } else {
            usage.used = usage.used - accels;
        }
        match (on, borrowed) {
            (true, true) => usage.borrowed += accels,
            (false, true) => usage.borrowed = usage.borrowed - accels,
            _ => {}
        }
    }
}

/// What the places take of one worker.
pub(crate) fn sum_on(places: &[Place], worker: usize) -> crate::site::Load {
    let mut sum = crate::site::Load::default();
    for place in places.iter().filter(|p| p.worker == worker) {
        sum.add(place.load);
    }
    sum
}
