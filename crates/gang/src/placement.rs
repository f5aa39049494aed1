//! Claiming, occupying and releasing the places of jobs.

use crate::event::Action;
use crate::event::StopReason;
use crate::job::Phase;
use crate::planner::Planner;
use crate::planner::Scan;
use crate::site::JobKey;
use crate::site::Place;
use crate::site::TaskClass;
use crate::site::WorkerState;

/// Chosen places for a job.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub places: Vec<Place>,
    /// Index of the guaranteed gang to which they belong.
    pub gang: Option<usize>,
    pub class: TaskClass,
}

impl Planner {
    /// Assigns places to a waiting job. It starts at once if they are free; otherwise the jobs
    /// on them are ordered to stop, and the places stay claimed until they have. False if the
    /// places cannot be cleared.
    pub(crate) fn claim_places(&mut self, key: JobKey, target: Target, why: StopReason) -> bool {
        let Some(victims) = self.victims(key, &target, why) else {
            return false;
        };
        self.queue.remove(key);
        self.reservations.retain(|r| r.job != key);
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        job.places = target.places;
        job.gang = target.gang;
        job.class = target.class;
        job.phase = Phase::Claiming;
        if let Some(gang) = job.gang {
            self.table.gangs[gang].jobs.insert(key);
        }
        self.count_claimed(key, true);
        self.count_usage(key, true);
        self.claims.insert(key);
        for victim in victims {
            let checkpoint = self.jobs.get(&victim).is_some_and(|j| j.spec.checkpoint);
            self.stop(victim, why, checkpoint);
        }
        self.start_if_ready(key);
        true
    }

    /// Adds a claiming job's resources to the totals of its workers, or subtracts them.
    fn count_claimed(&mut self, key: JobKey, add: bool) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        for place in &job.places {
            let worker = &mut self.site.workers[place.worker];
            let pinned = job.class == TaskClass::Pinned;
            let change = match add {
                true => crate::site::Resources::add,
                false => crate::site::Resources::remove,
            };
            change(&mut worker.claimed, place.resources);
            if pinned {
                change(&mut worker.pinned, place.resources);
            }
        }
    }

    /// Starts the claiming jobs whose places are free by now.
    pub(crate) fn start_ready(&mut self) {
        if self.claims.is_empty() {
            return;
        }
        let claims: Vec<JobKey> = self.claims.iter().copied().collect();
        for key in claims {
            if !self.start_if_ready(key) {
                self.renew_claim(key);
            }
        }
    }

    fn start_if_ready(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        if !self.starts_allowed || !self.is_vacant(&job.places) {
            return false;
        }
        self.count_claimed(key, false);
        self.claims.remove(&key);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        job.phase = Phase::Starting;
        job.start_count += 1;
        job.reserved_since = None;
        job.initial_work = job.saved;
        job.started = now;
        job.last_saved = now;
        self.site.add_tasks(key, &job.places, job.class);
        self.actions.push(Action::Start(job.plan(&self.site)));
        true
    }

    /// Whether the places are free of active jobs and all their workers are up.
    fn is_vacant(&self, places: &[Place]) -> bool {
        places.iter().all(|p| {
            let worker = &self.site.workers[p.worker];
            let free = worker.total().minus(worker.busy);
            worker.state == WorkerState::Up && free.covers(resources_on(places, p.worker))
        })
    }

    /// Orders the jobs that still block a claim to stop. Requeues the claiming job if they
    /// cannot be stopped any more.
    fn renew_claim(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let target = Target {
            places: job.places.clone(),
            gang: job.gang,
            class: job.class,
        };
        let why = StopReason::Reclaim;
        let Some(victims) = self.victims(key, &target, why) else {
            self.requeue(key);
            self.scan = Scan::All;
            return;
        };
        for victim in victims {
            let checkpoint = self.jobs.get(&victim).is_some_and(|j| j.spec.checkpoint);
            self.stop(victim, why, checkpoint);
        }
    }

    /// Releases all places of a job. The caller adds it to the queue or ends it.
    pub(crate) fn release_places(&mut self, key: JobKey) {
        self.count_usage(key, false);
        if self.claims.remove(&key) {
            self.count_claimed(key, false);
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.phase.is_active() {
            self.site.remove_tasks(key, &job.places);
            self.site.trim_overhang(&job.places);
        }
        if let Some(gang) = job.gang.take() {
            self.table.gangs[gang].jobs.remove(&key);
        }
        job.places.clear();
        job.phase = Phase::Queued;
    }

    /// Moves a claiming job back to the queue.
    pub(crate) fn requeue(&mut self, key: JobKey) {
        self.release_places(key);
        self.enqueue(key);
    }

    /// Adds a job without places to the queue.
    pub(crate) fn enqueue(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get(&key) {
            self.queue.add(key, job);
        }
    }

    /// Adds a job's accelerators to its organisation's usage, or subtracts them.
    pub(crate) fn count_usage(&mut self, key: JobKey, add: bool) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.places.is_empty() {
            return;
        }
        let accels = job.spec.accels();
        let usage = self.usage.entry(job.spec.org.clone()).or_default();
        let borrowed = job.gang.is_none();
        if add {
            usage.used += accels;
        } else {
            usage.used = usage.used - accels;
        }
        match (add, borrowed) {
            (true, true) => usage.borrowed += accels,
            (false, true) => usage.borrowed = usage.borrowed - accels,
            _ => {}
        }
    }
}

/// Sum of what the places take on one worker.
pub(crate) fn resources_on(places: &[Place], worker: usize) -> crate::site::Resources {
    let mut sum = crate::site::Resources::default();
    for place in places.iter().filter(|p| p.worker == worker) {
        sum.add(place.resources);
    }
    sum
}
