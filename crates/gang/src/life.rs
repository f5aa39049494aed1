//! The life of a job, from its submission to its end.

use base::Attempt;
use base::GangPlan;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::WorkerId;

use crate::event::Action;
use crate::event::Ended;
use crate::event::Evidence;
use crate::event::RefuseReason;
use crate::event::StopReason;
use crate::job::Job;
use crate::job::Phase;
use crate::planner::Planner;
use crate::planner::Wake;
use crate::policy::check_shape;
use crate::search::free_of_cost;
use crate::search::place;
use crate::site::Footing;
use crate::site::Key;
use crate::site::Place;
use crate::witness::Unit;

impl Planner {
    pub(crate) fn submit(&mut self, spec: JobSpec, at: Millis, attempt: Attempt, saved: Millis) {
        if self.ids.contains_key(&spec.id) {
            return;
        }
        let job = Job::new(spec, at, attempt, saved);
        if let Some(reason) = self.refusal(&job.spec) {
            self.reject(&job, reason);
            return;
        }
        let key = self.next_key();
        self.ids.insert(job.spec.id.clone(), key);
        self.queue.add(key, &job);
        self.jobs.insert(key, job);
        if self.is_stranded(key) {
            self.release(key);
            return;
        }
        if self.wake == Wake::None {
            self.wake = Wake::One(key);
        }
    }

    /// Why a job can never run under the present settings and with all workers known.
    fn refusal(&self, spec: &JobSpec) -> Option<RefuseReason> {
        if let Err(problem) = check_shape(&spec.shape) {
            return Some(RefuseReason::Shape(problem));
        }
        let Some(org) = self.policy.orgs.get(&spec.org) else {
            return Some(RefuseReason::UnknownOrg);
        };
        let quota = org.quota.filter(|&quota| spec.accels() > quota);
        if let Some(quota) = quota {
            return Some(RefuseReason::Quota { quota });
        }
        if !self.permit || self.site.workers.is_empty() {
            return None;
        }
        if !self.could_fit(spec) {
            return Some(RefuseReason::NoRoom);
        }
        let barred = !spec.is_stoppable() && !self.could_stay(spec);
        barred.then_some(RefuseReason::NoSurplus)
    }

    /// Whether a job that cannot be stopped has a place beside all guarantees, or on one of
    /// its organisation's, on an otherwise empty site.
    fn could_stay(&self, spec: &JobSpec) -> bool {
        let allowed = |d: usize| {
            let id = &self.site.domains[d].id;
            spec.domain.as_ref().is_none_or(|own| own == id)
        };
        let own = |u: &Unit| u.org == spec.org && allowed(u.domain) && u.holds(&spec.shape);
        if self.book.units.iter().any(own) {
            return true;
        }
        let empty = self.site.emptied();
        let domains = (0..empty.domains.len()).filter(|&d| allowed(d));
        domains.into_iter().any(|d| {
            let room = |w: usize| Some((empty.workers[w].all(), spec.shape));
            let places = place(&empty, d, &spec.shape, &room, &free_of_cost);
            places.is_some_and(|places| self.book.stands_beside(&empty, d, &places))
        })
    }

    /// Whether a domain could hold a job with all its workers free and healthy.
    fn could_fit(&self, spec: &JobSpec) -> bool {
        let room = |w: usize| Some((self.site.workers[w].all(), spec.shape));
        let mut domains = 0..self.site.domains.len();
        domains.any(|d| {
            let allowed = spec
                .domain
                .as_ref()
                .is_none_or(|id| self.site.domains[d].id == *id);
            allowed && place(&self.site, d, &spec.shape, &room, &free_of_cost).is_some()
        })
    }

    /// Refuses waiting jobs that settings or the workers known by now rule out for ever.
    pub(crate) fn refuse_waiting(&mut self) {
        let waiting: Vec<Key> = self.queue.jobs().collect();
        for key in waiting {
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            if let Some(reason) = self.refusal(&job.spec) {
                let job = job.clone();
                self.reject(&job, reason);
                self.forget(key);
            }
        }
    }

    /// Refuses a job that does not run. One that may have run before fails instead.
    fn reject(&mut self, job: &Job, reason: RefuseReason) {
        let id = job.spec.id.clone();
        if job.never_ran() {
            self.actions.push(Action::Refuse { job: id, reason });
            return;
        }
        let mut evidence = evidence(job, false);
        evidence.refused = Some(reason);
        let job = id;
        self.actions.push(Action::Fail { job, evidence });
    }

    pub(crate) fn cancel(&mut self, jobs: &[JobId]) {
        for id in jobs {
            if let Some(key) = self.key(id) {
                self.cancel_one(key);
            }
        }
    }

    fn cancel_one(&mut self, key: Key) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.cancelled = true;
        if job.phase.is_active() {
            self.stop(key, StopReason::Cancel, false);
            return;
        }
        if job.phase == Phase::Claiming {
            self.requeue(key);
        }
        self.end_cancelled(key);
    }

    /// Ends a cancelled job that does not run.
    fn end_cancelled(&mut self, key: Key) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let id = job.spec.id.clone();
        self.actions.push(match job.never_ran() {
            true => Action::Refuse {
                job: id,
                reason: RefuseReason::Cancelled,
            },
            false => Action::Cancelled { job: id },
        });
        self.forget(key);
    }

    /// Orders an active job to stop. A repeated order is passed on only if it is stronger.
    pub(crate) fn stop(&mut self, key: Key, why: StopReason, checkpoint: bool) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.phase == Phase::Stopping && (checkpoint || why != StopReason::Cancel) {
            return;
        }
        job.phase = Phase::Stopping;
        job.stop = Some((why, now));
        let job = job.spec.id.clone();
        self.actions.push(Action::Stop {
            job,
            why,
            checkpoint,
        });
    }

    pub(crate) fn adopt(&mut self, spec: JobSpec, plan: &GangPlan, since: Millis, saved: Millis) {
        if let Some(key) = self.key(&spec.id) {
            let active = self.jobs.get(&key).is_some_and(|j| j.phase.is_active());
            if active {
                return;
            }
            self.requeue(key);
            self.forget(key);
        }
        let key = self.next_key();
        let places = self.adopted_places(&spec, plan);
        let mut job = Job::new(spec, since, plan.attempt, saved);
        job.phase = Phase::Running;
        job.starts = 1;
        job.since = since;
        job.mark = since;
        job.footing = job.loose_footing();
        let whole = places.is_some();
        job.places = places.unwrap_or_default();
        self.ids.insert(job.spec.id.clone(), key);
        self.jobs.insert(key, job);
        if !whole {
            self.stop(key, StopReason::Worker, false);
            return;
        }
        self.settle_adopted(key);
        self.wake = Wake::All;
    }

    fn settle_adopted(&mut self, key: Key) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let places = job.places.clone();
        let footing = job.footing;
        self.site.seat(key, &places, footing);
        self.count(key, true);
        self.bind(key);
        let loose = self.jobs.get(&key).is_some_and(|j| j.unit.is_none());
        if loose && footing == Footing::Fixed {
            self.clear_overlap(&places);
        }
        self.rebind();
        let domain = places.first().map(|p| self.site.workers[p.worker].domain);
        if let Some(d) = domain.filter(|&d| self.site.domains[d].out) {
            self.leave_domain(key, d);
        }
    }

    /// Takes the cells of all gangs away that would now stand on unstoppable work.
    fn clear_overlap(&mut self, places: &[Place]) {
        for place in places {
            let worker = &self.site.workers[place.worker];
            let room = worker.all().without(worker.fixed);
            let clash = worker.owed.mask & place.load.mask != 0 || !room.covers(worker.owed);
            if clash {
                self.clear_worker(place.worker);
            }
        }
    }

    /// The places of an adopted job, if all its workers are known and free there.
    fn adopted_places(&self, spec: &JobSpec, plan: &GangPlan) -> Option<Vec<Place>> {
        let mut list: Vec<Place> = Vec::new();
        for task in &plan.places {
            let w = self.site.find(&task.worker)?;
            let worker = &self.site.workers[w];
            let load = worker.load(&spec.shape, task.first);
            let clash = |p: &Place| p.worker == w && p.load.mask & load.mask != 0;
            let taken = worker.busy.mask & load.mask != 0 || list.iter().any(clash);
            if taken || load.mask & !worker.all().mask != 0 {
                return None;
            }
            list.push(Place {
                worker: w,
                first: task.first,
                load,
            });
        }
        (list.len() == spec.shape.tasks as usize).then_some(list)
    }

    pub(crate) fn running(&mut self, id: &JobId) {
        let Some(key) = self.key(id) else { return };
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&key) {
            if job.phase == Phase::Starting {
                job.phase = Phase::Running;
                job.since = now;
                job.mark = now;
            }
        }
    }

    pub(crate) fn progress(&mut self, id: &JobId, saved: Millis) {
        let Some(key) = self.key(id) else { return };
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&key) {
            job.saved = job.saved.max(saved);
            job.mark = now;
        }
    }

    pub(crate) fn aborted(&mut self, id: &JobId, blame: Option<WorkerId>) {
        let Some(key) = self.active(id) else { return };
        self.vacate(key);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.starts = job.starts.saturating_sub(1);
            if let Some(worker) = &blame {
                job.failed.insert(worker.clone());
            }
        }
        if let Some(worker) = blame {
            self.strike(&worker, key);
        }
        self.retry(key);
        self.wake = Wake::All;
    }

    pub(crate) fn ended(&mut self, id: &JobId, how: Ended) {
        let Some(key) = self.active(id) else { return };
        self.wake = Wake::All;
        if how == Ended::Finished {
            self.finished(key);
            return;
        }
        self.vacate(key);
        match how {
            Ended::Failed { worker } => self.failed(key, &worker),
            Ended::Stopped { saved } => self.stopped(key, saved),
            Ended::Finished | Ended::Unknown => self.give_up_or_retry(key, true),
        }
    }

    fn active(&self, id: &JobId) -> Option<Key> {
        let key = self.key(id)?;
        let job = self.jobs.get(&key)?;
        job.phase.is_active().then_some(key)
    }

    fn finished(&mut self, key: Key) {
        self.clear_strikes(key);
        if let Some(job) = self.jobs.get(&key) {
            let actual = job.run(self.now);
            self.estimates.learn(&job.spec, actual);
        }
        self.vacate(key);
        self.forget(key);
    }

    fn stopped(&mut self, key: Key, saved: Millis) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.saved = job.saved.max(saved);
        }
        self.give_up_or_retry(key, false);
    }

    fn failed(&mut self, key: Key, worker: &WorkerId) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.failures += 1;
            job.failed.insert(worker.clone());
        }
        self.strike(worker, key);
        if self.is_hopeless(key) {
            self.give_up(key, false);
        } else {
            self.give_up_or_retry(key, false);
        }
    }

    fn give_up_or_retry(&mut self, key: Key, unknown: bool) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.cancelled || job.may_restart() {
            self.retry(key);
        } else {
            self.give_up(key, unknown);
        }
    }

    fn give_up(&mut self, key: Key, unknown: bool) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let evidence = evidence(job, unknown);
        let job = job.spec.id.clone();
        self.actions.push(Action::Fail { job, evidence });
        self.forget(key);
    }

    /// Queues a vacated job for its next attempt, unless it was cancelled or has no domain.
    fn retry(&mut self, key: Key) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.attempt = job.attempt.next();
        job.stop = None;
        if job.cancelled {
            self.end_cancelled(key);
            return;
        }
        self.enqueue(key);
        if self.is_stranded(key) {
            self.release(key);
        }
    }

    /// Whether no domain that takes work can take this job, although another planner's could.
    fn is_stranded(&self, key: Key) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let domains = &self.site.domains;
        job.spec.domain.is_none() && !domains.is_empty() && domains.iter().all(|d| d.out)
    }

    pub(crate) fn release_stranded(&mut self) {
        let waiting: Vec<Key> = self.queue.jobs().collect();
        for key in waiting {
            if self.is_stranded(key) {
                self.release(key);
            }
        }
    }

    fn release(&mut self, key: Key) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        self.actions.push(Action::Release {
            job: job.spec.id.clone(),
            attempt: job.attempt,
            saved: job.saved,
        });
        self.forget(key);
    }

    /// Drops a job that has no places.
    pub(crate) fn forget(&mut self, key: Key) {
        self.queue.remove(key);
        if let Some(job) = self.jobs.remove(&key) {
            self.ids.remove(&job.spec.id);
        }
    }
}

fn evidence(job: &Job, unknown: bool) -> Evidence {
    Evidence {
        workers: job.failed.iter().cloned().collect(),
        failures: job.failures,
        once: !job.spec.is_stoppable(),
        unknown,
        refused: None,
    }
}
