//! Checks of the planner's invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::JobId;
use base::OrgId;
use base::Spread;
use base::WorkerId;
use quick_error::quick_error;

use crate::job::Job;
use crate::job::Phase;
use crate::planner::Planner;
use crate::planner::Usage;
use crate::site::JobKey;
use crate::site::Place;
use crate::site::Resources;
use crate::site::TaskClass;
use crate::site::Worker;

quick_error! {
    /// A broken invariant.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// Tasks overlap on accelerators, or take more than the worker has.
        DoubleAllocation(worker: WorkerId) {
            display("worker {worker}: tasks overlap or exceed its resources")
        }
        /// A total kept for a worker differs from the sum over its tasks or places.
        Totals(worker: WorkerId, what: &'static str) {
            display("worker {worker}: total of {what} resources differs from its parts")
        }
        /// A gang without exactly one valid place for each task, or with tasks outside its
        /// spread.
        Gang(job: JobId, what: &'static str) {
            display("job {job}: {what}")
        }
        /// Places of guaranteed gangs overlap each other or pinned jobs.
        Overlap(worker: WorkerId) {
            display("worker {worker}: guarantees overlap each other or pinned jobs")
        }
        /// The places of a guaranteed gang are not valid.
        Guarantee(guarantee: usize, what: &'static str) {
            display("guarantee {guarantee}: {what}")
        }
        /// A job bound to a guaranteed gang is not within the gang's places.
        Binding(job: JobId) {
            display("job {job} is placed outside its guarantee")
        }
        /// A job is claiming or starting in a failure domain that is out of service.
        DomainOut(job: JobId) {
            display("job {job} starts in a failure domain that is out of service")
        }
        /// A job's phase disagrees with the queue, the claims or the index of ids.
        JobState(job: JobId, what: &'static str) {
            display("job {job}: {what}")
        }
        /// More accelerators are isolated than the settings allow.
        Isolation(percent: u32) {
            display("{percent} percent of the accelerators are isolated")
        }
        /// A job that cannot be stopped was started twice.
        SecondStart(job: JobId) {
            display("job {job} was started twice")
        }
        /// An organisation's usage differs from the sum over its jobs.
        Usage(org: OrgId) {
            display("organisation {org}: usage differs from its jobs")
        }
    }
}

impl Planner {
    /// Checks all invariants and returns the first one that is broken.
    pub fn check(&self) -> Result<(), Violation> {
        self.check_workers()?;
        self.check_units()?;
        self.check_isolation()?;
        for (key, job) in &self.jobs {
            self.check_job(*key, job)?;
        }
        self.check_usage()
    }

    fn check_workers(&self) -> Result<(), Violation> {
        let mut guaranteed = vec![Resources::default(); self.site.workers.len()];
        for place in self
            .table
            .gangs
            .iter()
            .flat_map(|g| g.places.iter().flatten())
        {
            let worker = &self.site.workers[place.worker];
            if guaranteed[place.worker].mask & place.resources.mask != 0 {
                return Err(Violation::Overlap(worker.spec.id.clone()));
            }
            guaranteed[place.worker].add(place.resources);
        }
        let mut claimed = vec![Resources::default(); self.site.workers.len()];
        let mut pinned = claimed.clone();
        let claims = self.jobs.values().filter(|j| j.phase == Phase::Claiming);
        for (job, place) in claims.flat_map(|j| j.places.iter().map(move |p| (j, p))) {
            if claimed[place.worker].mask & place.resources.mask != 0 {
                return Err(self.double_allocation(place.worker));
            }
            claimed[place.worker].add(place.resources);
            if job.class == TaskClass::Pinned {
                pinned[place.worker].add(place.resources);
            }
        }
        for (w, worker) in self.site.workers.iter().enumerate() {
            self.check_worker(w, worker, guaranteed[w], claimed[w], pinned[w])?;
        }
        Ok(())
    }

    fn double_allocation(&self, w: usize) -> Violation {
        Violation::DoubleAllocation(self.site.workers[w].spec.id.clone())
    }

    fn check_worker(
        &self,
        w: usize,
        worker: &Worker,
        guaranteed: Resources,
        claimed: Resources,
        mut pinned: Resources,
    ) -> Result<(), Violation> {
        let id = || worker.spec.id.clone();
        let mut busy = Resources::default();
        for task in &worker.placed {
            if busy.mask & task.resources.mask != 0 {
                return Err(self.double_allocation(w));
            }
            busy.add(task.resources);
            if task.class == TaskClass::Pinned {
                pinned.add(task.resources);
            }
        }
        let totals = [
            (busy == worker.busy, "busy"),
            (guaranteed == worker.guaranteed, "guaranteed"),
            (claimed == worker.claimed, "claimed"),
            (pinned == worker.pinned, "pinned"),
        ];
        if let Some((_, what)) = totals.iter().find(|(same, _)| !same) {
            return Err(Violation::Totals(id(), what));
        }
        if !worker.total().covers(busy.minus(worker.overhang)) {
            return Err(self.double_allocation(w));
        }
        if !worker.total().minus(pinned).covers(guaranteed) {
            return Err(Violation::Overlap(id()));
        }
        Ok(())
    }

    fn check_units(&self) -> Result<(), Violation> {
        for gang in &self.table.gangs {
            let Some(places) = &gang.places else {
                if !gang.jobs.is_empty() {
                    return Err(Violation::Guarantee(
                        gang.guarantee,
                        "used by jobs but without places",
                    ));
                }
                continue;
            };
            let open = |p: &Place| self.site.workers[p.worker].is_available();
            if self.site.domains[gang.domain].out || !places.iter().all(open) {
                return Err(Violation::Guarantee(
                    gang.guarantee,
                    "places out of service",
                ));
            }
            self.check_places(places, &gang.shape, Some(gang.domain))
                .map_err(|what| Violation::Guarantee(gang.guarantee, what))?;
        }
        Ok(())
    }

    fn check_places(
        &self,
        places: &[Place],
        shape: &base::Shape,
        domain: Option<usize>,
    ) -> Result<(), &'static str> {
        if places.len() != shape.tasks as usize {
            return Err("number of places differs from number of tasks");
        }
        let first = &self.site.workers[places[0].worker];
        let domain = domain.unwrap_or(first.domain);
        for place in places {
            let worker = &self.site.workers[place.worker];
            if place.resources.mask != worker.task_resources(shape, place.first).mask
                || place.resources.mask & !(worker.total().mask | worker.overhang.mask) != 0
            {
                return Err("accelerators not adjacent or out of range");
            }
            let in_spread = match shape.spread {
                Spread::Domain => true,
                Spread::Rack => worker.spec.rack == first.spec.rack,
                Spread::Worker => worker.spec.id == first.spec.id,
            };
            if worker.domain != domain || !in_spread {
                return Err("tasks outside their spread");
            }
        }
        Ok(())
    }

    fn check_isolation(&self) -> Result<(), Violation> {
        let workers = self.site.workers.iter();
        let sum: u32 = workers.clone().map(|w| w.spec.accels.0).sum();
        let isolated = workers.filter(|w| w.isolated).map(|w| w.spec.accels.0);
        let isolated: u32 = isolated.sum();
        if isolated * 100 > sum * self.policy.isolation {
            return Err(Violation::Isolation(isolated * 100 / sum.max(1)));
        }
        Ok(())
    }

    fn check_job(&self, key: JobKey, job: &Job) -> Result<(), Violation> {
        let id = || job.spec.id.clone();
        let state = |what| Err(Violation::JobState(id(), what));
        if self.ids.get(&job.spec.id) != Some(&key) {
            return state("missing from the index of ids");
        }
        if self.queue.contains(key) != (job.phase == Phase::Queued) {
            return state("queue and phase differ");
        }
        if self.claims.contains(&key) != (job.phase == Phase::Claiming) {
            return state("claims and phase differ");
        }
        if !job.spec.is_stoppable() && job.start_count > 1 {
            return Err(Violation::SecondStart(id()));
        }
        if job.phase == Phase::Queued {
            let idle = job.places.is_empty() && job.gang.is_none();
            return if idle {
                Ok(())
            } else {
                state("queued, but has places")
            };
        }
        if job.places.is_empty() && job.phase == Phase::Stopping {
            // An adopted job without usable places: only its end is awaited.
            return Ok(());
        }
        if job.places.is_empty() {
            return Err(Violation::Gang(id(), "has no places"));
        }
        self.check_places(&job.places, &job.spec.shape, None)
            .map_err(|what| Violation::Gang(id(), what))?;
        self.check_tasks(key, job)?;
        self.check_binding(key, job)?;
        let domain = &self.site.domains[self.site.workers[job.places[0].worker].domain];
        let starts = matches!(job.phase, Phase::Claiming | Phase::Starting);
        if domain.out && starts {
            return Err(Violation::DomainOut(id()));
        }
        Ok(())
    }

    /// Checks that each task of an active job is placed on its worker exactly once.
    fn check_tasks(&self, key: JobKey, job: &Job) -> Result<(), Violation> {
        if !job.phase.is_active() {
            return Ok(());
        }
        let workers: BTreeSet<usize> = job.places.iter().map(|p| p.worker).collect();
        let tasks_of = |w: &usize| {
            let placed = self.site.workers[*w].placed.iter();
            placed
                .filter(|t| t.job == key && t.class == job.class)
                .count()
        };
        let tasks_of: usize = workers.iter().map(tasks_of).sum();
        if tasks_of != job.places.len() {
            return Err(Violation::Gang(
                job.spec.id.clone(),
                "tasks missing on its workers",
            ));
        }
        Ok(())
    }

    fn check_binding(&self, key: JobKey, job: &Job) -> Result<(), Violation> {
        let Some(gang) = job.gang else {
            return match job.class {
                TaskClass::Guaranteed => Err(Violation::Binding(job.spec.id.clone())),
                _ => Ok(()),
            };
        };
        let gang = &self.table.gangs[gang];
        let inside = |p: &Place| gang.part(p.worker).mask & p.resources.mask == p.resources.mask;
        let backed =
            gang.jobs.contains(&key) && gang.org == job.spec.org && job.places.iter().all(inside);
        if backed {
            return Ok(());
        }
        Err(Violation::Binding(job.spec.id.clone()))
    }

    fn check_usage(&self) -> Result<(), Violation> {
        let mut totals: BTreeMap<OrgId, Usage> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| !j.places.is_empty()) {
            let sum = totals.entry(job.spec.org.clone()).or_default();
            sum.used += job.spec.accels();
            if job.gang.is_none() {
                sum.borrowed += job.spec.accels();
            }
        }
        for (org, usage) in &self.usage {
            if totals.remove(org).unwrap_or_default() != *usage {
                return Err(Violation::Usage(org.clone()));
            }
        }
        match totals.pop_first() {
            Some((org, _)) => Err(Violation::Usage(org)),
            None => Ok(()),
        }
    }
}
