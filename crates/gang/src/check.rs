//! The invariants of the planner.

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
use crate::site::Footing;
use crate::site::Key;
use crate::site::Load;
use crate::site::Place;
use crate::site::Worker;

quick_error! {
    /// A broken invariant.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// Two active jobs stand on the same accelerators, or on more than the worker has.
        Double(worker: WorkerId) {
            display("worker {worker} is promised twice")
        }
        /// The sums kept for a worker differ from what stands on it.
        Sums(worker: WorkerId, what: &'static str) {
            display("worker {worker}: {what} differs from what stands there")
        }
        /// A gang without exactly one valid place for each task, or spread too far.
        Gang(job: JobId, what: &'static str) {
            display("job {job}: {what}")
        }
        /// The cells of a guarantee are not disjoint from others or from unstoppable work.
        Witness(worker: WorkerId) {
            display("worker {worker}: guarantees overlap each other or unstoppable work")
        }
        /// The cells of a guaranteed gang are not valid.
        Unit(guarantee: usize, what: &'static str) {
            display("guarantee {guarantee}: {what}")
        }
        /// A job that uses a guarantee stands outside of its cells.
        Backing(job: JobId) {
            display("job {job} stands outside of its guarantee")
        }
        /// A job starts or is about to in a domain that is out of service.
        Out(job: JobId) {
            display("job {job} starts in a domain that is out of service")
        }
        /// A job is in no state or in two.
        State(job: JobId, what: &'static str) {
            display("job {job}: {what}")
        }
        /// More accelerators are isolated than allowed.
        Isolation(percent: u32) {
            display("{percent} percent of the accelerators are isolated")
        }
        /// A job that cannot be stopped was started twice.
        Twice(job: JobId) {
            display("job {job} was started twice")
        }
        /// An organisation's usage differs from its jobs.
        Usage(org: OrgId) {
            display("organisation {org}: usage differs from its jobs")
        }
    }
}

impl Planner {
    /// Whether all invariants hold.
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
        let mut owed = vec![Load::default(); self.site.workers.len()];
        for place in self
            .book
            .units
            .iter()
            .flat_map(|u| u.places.iter().flatten())
        {
            let worker = &self.site.workers[place.worker];
            if owed[place.worker].mask & place.load.mask != 0 {
                return Err(Violation::Witness(worker.spec.id.clone()));
            }
            owed[place.worker].add(place.load);
        }
        let mut held = vec![Load::default(); self.site.workers.len()];
        let mut fixed = held.clone();
        let claims = self.jobs.values().filter(|j| j.phase == Phase::Claiming);
        for (job, place) in claims.flat_map(|j| j.places.iter().map(move |p| (j, p))) {
            if held[place.worker].mask & place.load.mask != 0 {
                return Err(self.double(place.worker));
            }
            held[place.worker].add(place.load);
            if job.footing == Footing::Fixed {
                fixed[place.worker].add(place.load);
            }
        }
        for (w, worker) in self.site.workers.iter().enumerate() {
            self.check_worker(w, worker, owed[w], held[w], fixed[w])?;
        }
        Ok(())
    }

    fn double(&self, w: usize) -> Violation {
        Violation::Double(self.site.workers[w].spec.id.clone())
    }

    fn check_worker(
        &self,
        w: usize,
        worker: &Worker,
        owed: Load,
        held: Load,
        mut fixed: Load,
    ) -> Result<(), Violation> {
        let id = || worker.spec.id.clone();
        let mut busy = Load::default();
        for tenant in &worker.tenants {
            if busy.mask & tenant.load.mask != 0 {
                return Err(self.double(w));
            }
            busy.add(tenant.load);
            if tenant.footing == Footing::Fixed {
                fixed.add(tenant.load);
            }
        }
        let sums = [
            (busy == worker.busy, "busy"),
            (owed == worker.owed, "owed"),
            (held == worker.held, "held"),
            (fixed == worker.fixed, "fixed"),
        ];
        if let Some((_, what)) = sums.iter().find(|(same, _)| !same) {
            return Err(Violation::Sums(id(), what));
        }
        if !worker.all().covers(busy) {
            return Err(self.double(w));
        }
        if !worker.all().without(fixed).covers(owed) {
            return Err(Violation::Witness(id()));
        }
        Ok(())
    }

    fn check_units(&self) -> Result<(), Violation> {
        for unit in &self.book.units {
            let Some(places) = &unit.places else {
                if !unit.jobs.is_empty() {
                    return Err(Violation::Unit(unit.guarantee, "jobs without cells"));
                }
                continue;
            };
            let open = |p: &Place| self.site.workers[p.worker].is_open();
            if self.site.domains[unit.domain].out || !places.iter().all(open) {
                return Err(Violation::Unit(unit.guarantee, "cells out of service"));
            }
            self.check_places(places, &unit.shape, Some(unit.domain))
                .map_err(|what| Violation::Unit(unit.guarantee, what))?;
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
            return Err("not one place for each task");
        }
        let first = &self.site.workers[places[0].worker];
        let domain = domain.unwrap_or(first.domain);
        for place in places {
            let worker = &self.site.workers[place.worker];
            if place.load.mask != worker.load(shape, place.first).mask
                || place.load.mask & !worker.all().mask != 0
            {
                return Err("accelerators not adjacent or out of range");
            }
            let near = match shape.spread {
                Spread::Domain => true,
                Spread::Rack => worker.spec.rack == first.spec.rack,
                Spread::Worker => worker.spec.id == first.spec.id,
            };
            if worker.domain != domain || !near {
                return Err("tasks too far apart");
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

    fn check_job(&self, key: Key, job: &Job) -> Result<(), Violation> {
        let id = || job.spec.id.clone();
        let state = |what| Err(Violation::State(id(), what));
        if self.ids.get(&job.spec.id) != Some(&key) {
            return state("not found by its id");
        }
        if self.queue.has(key) != (job.phase == Phase::Queued) {
            return state("queue and phase differ");
        }
        if self.claims.contains(&key) != (job.phase == Phase::Claiming) {
            return state("claims and phase differ");
        }
        if !job.spec.is_stoppable() && job.starts > 1 {
            return Err(Violation::Twice(id()));
        }
        if job.phase == Phase::Queued {
            let idle = job.places.is_empty() && job.unit.is_none();
            return if idle {
                Ok(())
            } else {
                state("waits on places")
            };
        }
        if job.places.is_empty() && job.phase == Phase::Stopping {
            // Adopted on workers that are not known: only its end is awaited.
            return Ok(());
        }
        if job.places.is_empty() {
            return Err(Violation::Gang(id(), "holds no place"));
        }
        self.check_places(&job.places, &job.spec.shape, None)
            .map_err(|what| Violation::Gang(id(), what))?;
        self.check_seats(key, job)?;
        self.check_backing(key, job)?;
        let domain = &self.site.domains[self.site.workers[job.places[0].worker].domain];
        let starts = matches!(job.phase, Phase::Claiming | Phase::Starting);
        if domain.out && starts {
            return Err(Violation::Out(id()));
        }
        Ok(())
    }

    /// Whether an active job's tasks, and no others of it, stand on their workers.
    fn check_seats(&self, key: Key, job: &Job) -> Result<(), Violation> {
        if !job.phase.is_active() {
            return Ok(());
        }
        let workers: BTreeSet<usize> = job.places.iter().map(|p| p.worker).collect();
        let seats = |w: &usize| {
            let tenants = self.site.workers[*w].tenants.iter();
            tenants
                .filter(|t| t.job == key && t.footing == job.footing)
                .count()
        };
        let seats: usize = workers.iter().map(seats).sum();
        if seats != job.places.len() {
            return Err(Violation::Gang(job.spec.id.clone(), "runs partially"));
        }
        Ok(())
    }

    fn check_backing(&self, key: Key, job: &Job) -> Result<(), Violation> {
        let Some(unit) = job.unit else {
            return match job.footing {
                Footing::Backed => Err(Violation::Backing(job.spec.id.clone())),
                _ => Ok(()),
            };
        };
        let unit = &self.book.units[unit];
        let inside = |p: &Place| unit.part(p.worker).mask & p.load.mask == p.load.mask;
        let good =
            unit.jobs.contains(&key) && unit.org == job.spec.org && job.places.iter().all(inside);
        if good {
            return Ok(());
        }
        Err(Violation::Backing(job.spec.id.clone()))
    }

    fn check_usage(&self) -> Result<(), Violation> {
        let mut sums: BTreeMap<OrgId, Usage> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| !j.places.is_empty()) {
            let sum = sums.entry(job.spec.org.clone()).or_default();
            sum.used += job.spec.accels();
            if job.unit.is_none() {
                sum.borrowed += job.spec.accels();
            }
        }
        for (org, usage) in &self.usage {
            if sums.remove(org).unwrap_or_default() != *usage {
                return Err(Violation::Usage(org.clone()));
            }
        }
        match sums.pop_first() {
            Some((org, _)) => Err(Violation::Usage(org)),
            None => Ok(()),
        }
    }
}
