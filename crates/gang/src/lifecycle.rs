//! Job lifecycle, from submission to the final outcome.

use base::Attempt;
use base::GangPlan;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::WorkerId;

use crate::blocks::MAX_ACCELS;
use crate::event::Action;
use crate::event::Ended;
use crate::event::Evidence;
use crate::event::RefuseReason;
use crate::event::StopReason;
use crate::guarantees::GuaranteedGang;
use crate::job::Job;
use crate::job::Phase;
use crate::planner::Planner;
use crate::planner::Scan;
use crate::policy::check_shape;
use crate::search::find_places;
use crate::search::zero_cost;
use crate::site::JobKey;
use crate::site::Place;
use crate::site::TaskClass;

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
            self.release_job(key);
            return;
        }
        if self.scan == Scan::None {
            self.scan = Scan::One(key);
        }
    }

    /// Why a job can never run with the present settings and the known workers.
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
        if !self.starts_allowed || self.site.workers.is_empty() {
            return None;
        }
        if !self.fits_empty_domain(spec) {
            return Some(RefuseReason::NoRoom);
        }
        let has_no_surplus = !spec.is_stoppable() && !self.fits_beside_guarantees(spec);
        has_no_surplus.then_some(RefuseReason::NoSurplus)
    }

    /// Whether a job that cannot be stopped fits on an otherwise empty site, on a guarantee of
    /// its organisation or without reducing any guarantee.
    fn fits_beside_guarantees(&self, spec: &JobSpec) -> bool {
        let allowed = |d: usize| {
            let id = &self.site.domains[d].id;
            spec.domain.as_ref().is_none_or(|own| own == id)
        };
        let can_contain = |g: &GuaranteedGang| {
            g.org == spec.org && allowed(g.domain) && g.may_contain(&spec.shape)
        };
        if self.table.gangs.iter().any(can_contain) {
            return true;
        }
        let empty = self.site.emptied();
        let domains = (0..empty.domains.len()).filter(|&d| allowed(d));
        domains.into_iter().any(|d| {
            let room = |w: usize| Some((empty.workers[w].total(), spec.shape));
            let places = find_places(&empty, d, &spec.shape, &room, &zero_cost);
            places.is_some_and(|places| self.table.can_coexist(&empty, d, &places))
        })
    }

    /// Whether some failure domain could hold the job with all its workers free and healthy.
    fn fits_empty_domain(&self, spec: &JobSpec) -> bool {
        let room = |w: usize| Some((self.site.workers[w].total(), spec.shape));
        let mut domains = 0..self.site.domains.len();
        domains.any(|d| {
            let allowed = spec
                .domain
                .as_ref()
                .is_none_or(|id| self.site.domains[d].id == *id);
            allowed && find_places(&self.site, d, &spec.shape, &room, &zero_cost).is_some()
        })
    }

    /// Refuses waiting jobs that can never run with the present settings and the known workers.
    pub(crate) fn refuse_waiting(&mut self) {
        let waiting: Vec<JobKey> = self.queue.jobs().collect();
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

    /// Refuses a job, or fails it if an earlier attempt may have run.
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

    fn cancel_one(&mut self, key: JobKey) {
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

    /// Ends a cancelled job that is not active.
    fn end_cancelled(&mut self, key: JobKey) {
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

    /// Orders an active job to stop. A job that is stopping already gets a second order only
    /// for a cancellation without a checkpoint.
    pub(crate) fn stop(&mut self, key: JobKey, why: StopReason, checkpoint: bool) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.phase == Phase::Stopping && (checkpoint || why != StopReason::Cancel) {
            return;
        }
        job.phase = Phase::Stopping;
        job.stop_order = Some((why, now));
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
        job.start_count = 1;
        job.started = since;
        job.last_saved = since;
        job.class = job.default_class();
        let places_known = places.is_some();
        job.places = places.unwrap_or_default();
        self.ids.insert(job.spec.id.clone(), key);
        self.jobs.insert(key, job);
        if !places_known {
            self.stop(key, StopReason::Worker, false);
            return;
        }
        self.bind_adopted(key);
        self.scan = Scan::All;
    }

    /// Places the tasks of an adopted job and reassigns the guarantees around them.
    fn bind_adopted(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let places = job.places.clone();
        let class = job.class;
        self.site.add_tasks(key, &places, class);
        self.site.set_overhang(&places);
        self.count_usage(key, true);
        self.bind(key);
        let is_unbound = self.jobs.get(&key).is_some_and(|j| j.gang.is_none());
        if is_unbound && class == TaskClass::Pinned {
            self.unassign_overlapping(&places);
        }
        self.rebind();
        let domain = places.first().map(|p| self.site.workers[p.worker].domain);
        if let Some(d) = domain.filter(|&d| self.site.domains[d].out) {
            self.stop_in_domain(key, d);
        }
    }

    /// Removes guaranteed gangs from workers where they overlap unstoppable jobs.
    fn unassign_overlapping(&mut self, places: &[Place]) {
        for place in places {
            let worker = &self.site.workers[place.worker];
            let room = worker.total().minus(worker.pinned);
            let overlaps = worker.guaranteed.mask & place.resources.mask != 0
                || !room.covers(worker.guaranteed);
            if overlaps {
                self.unassign_worker(place.worker);
            }
        }
    }

    /// Places of an adopted job's plan. None if a worker is not known, accelerators are taken,
    /// or the number of tasks is wrong.
    fn adopted_places(&self, spec: &JobSpec, plan: &GangPlan) -> Option<Vec<Place>> {
        let mut list: Vec<Place> = Vec::new();
        for task in &plan.places {
            let w = self.site.worker_index(&task.worker)?;
            let worker = &self.site.workers[w];
            let resources = worker.task_resources(&spec.shape, task.first);
            let overlaps = |p: &Place| p.worker == w && p.resources.mask & resources.mask != 0;
            let taken = worker.busy.mask & resources.mask != 0 || list.iter().any(overlaps);
            // Beyond the worker's capacity, which may have shrunk, but within what any worker has.
            let last = task.first.saturating_add(spec.shape.accels.0);
            if taken || last > MAX_ACCELS {
                return None;
            }
            list.push(Place {
                worker: w,
                first: task.first,
                resources,
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
                job.started = now;
                job.last_saved = now;
            }
        }
    }

    pub(crate) fn progress(&mut self, id: &JobId, saved: Millis) {
        let Some(key) = self.key(id) else { return };
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&key) {
            job.saved = job.saved.max(saved);
            job.last_saved = now;
        }
    }

    pub(crate) fn aborted(&mut self, id: &JobId, blame: Option<WorkerId>) {
        let Some(key) = self.active(id) else { return };
        self.release_places(key);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.start_count = job.start_count.saturating_sub(1);
            if let Some(worker) = &blame {
                job.failed_on.insert(worker.clone());
            }
        }
        if let Some(worker) = blame {
            self.record_failure(&worker, key);
        }
        self.retry(key);
        self.scan = Scan::All;
    }

    pub(crate) fn ended(&mut self, id: &JobId, how: Ended) {
        let Some(key) = self.active(id) else { return };
        self.scan = Scan::All;
        if how == Ended::Finished {
            self.finished(key);
            return;
        }
        self.release_places(key);
        match how {
            Ended::Failed { worker } => self.failed(key, &worker),
            Ended::Stopped { saved } => self.stopped(key, saved),
            Ended::Finished | Ended::Unknown => self.retry_or_fail(key, true),
        }
    }

    fn active(&self, id: &JobId) -> Option<JobKey> {
        let key = self.key(id)?;
        let job = self.jobs.get(&key)?;
        job.phase.is_active().then_some(key)
    }

    fn finished(&mut self, key: JobKey) {
        self.record_success(key);
        if let Some(job) = self.jobs.get(&key) {
            let actual = job.work_done(self.now);
            self.estimates.record(&job.spec, actual);
        }
        self.release_places(key);
        self.forget(key);
    }

    fn stopped(&mut self, key: JobKey, saved: Millis) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.saved = job.saved.max(saved);
        }
        self.retry_or_fail(key, false);
    }

    fn failed(&mut self, key: JobKey, worker: &WorkerId) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.failed_attempts += 1;
            job.failed_on.insert(worker.clone());
        }
        self.record_failure(worker, key);
        if self.has_failed_too_often(key) {
            self.fail(key, false);
        } else {
            self.retry_or_fail(key, false);
        }
    }

    fn retry_or_fail(&mut self, key: JobKey, unknown: bool) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.cancelled || job.may_restart() {
            self.retry(key);
        } else {
            self.fail(key, unknown);
        }
    }

    fn fail(&mut self, key: JobKey, unknown: bool) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let evidence = evidence(job, unknown);
        let job = job.spec.id.clone();
        self.actions.push(Action::Fail { job, evidence });
        self.forget(key);
    }

    /// Queues a job for its next attempt. If it was cancelled, ends it instead; if no failure
    /// domain is in service, releases it.
    fn retry(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.attempt = job.attempt.next();
        job.stop_order = None;
        if job.cancelled {
            self.end_cancelled(key);
            return;
        }
        self.enqueue(key);
        if self.is_stranded(key) {
            self.release_job(key);
        }
    }

    /// Whether all failure domains of this planner are out of service and the job may run in
    /// those of another planner.
    fn is_stranded(&self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let domains = &self.site.domains;
        job.spec.domain.is_none() && !domains.is_empty() && domains.iter().all(|d| d.out)
    }

    pub(crate) fn release_stranded(&mut self) {
        let waiting: Vec<JobKey> = self.queue.jobs().collect();
        for key in waiting {
            if self.is_stranded(key) {
                self.release_job(key);
            }
        }
    }

    fn release_job(&mut self, key: JobKey) {
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

    /// Drops a job without places from all indexes.
    pub(crate) fn forget(&mut self, key: JobKey) {
        self.queue.remove(key);
        if let Some(job) = self.jobs.remove(&key) {
            self.ids.remove(&job.spec.id);
        }
    }
}

fn evidence(job: &Job, unknown: bool) -> Evidence {
    Evidence {
        workers: job.failed_on.iter().cloned().collect(),
        failures: job.failed_attempts,
        not_restartable: !job.spec.is_stoppable(),
        unknown,
        refused: None,
    }
}
