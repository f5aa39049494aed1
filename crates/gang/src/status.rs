//! Status of the planner for operators, and its capacity reports.

use std::collections::BTreeMap;

use base::Accels;
use base::DomainId;
use base::JobId;
use base::OrgId;
use base::WorkerId;
use serde::Serialize;

use crate::blocks::largest_free;
use crate::job::Job;
use crate::job::Phase;
use crate::offer::DomainOffer;
use crate::planner::Planner;
use crate::site::JobKey;
use crate::site::Place;
use crate::site::PlacedTask;
use crate::site::Worker;

/// Accelerators and jobs of one organisation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OrgStatus {
    /// Accelerators of its guarantees, in all failure domains.
    pub guaranteed: Accels,
    /// Accelerators of its active and claiming jobs.
    pub used: Accels,
    /// Those of `used` that are not on its own guarantees.
    pub borrowed: Accels,
    /// Jobs that have not been ordered to start.
    pub queued: u32,
    /// Jobs that are starting, running or stopping.
    pub active: u32,
}

/// A guarantee of which some gangs have no places.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Shortfall {
    /// Index in [`crate::Policy::guarantees`].
    pub guarantee: usize,
    /// Organisation that holds the guarantee.
    pub org: OrgId,
    /// Failure domain in which it holds.
    pub domain: DomainId,
    /// Number of its gangs without places.
    pub missing: u32,
}

/// Accelerators, shortfalls and isolated workers at one time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlannerStatus {
    /// Status by organisation.
    pub orgs: BTreeMap<OrgId, OrgStatus>,
    /// Accelerators of workers that are up and not isolated.
    pub accels: Accels,
    /// Those of `accels` that are neither in use nor claimed.
    pub free: Accels,
    /// Percentage of the free accelerators that are on partly used workers.
    pub fragmentation: u32,
    /// Guarantees that are not met in full.
    pub shortfalls: Vec<Shortfall>,
    /// Workers on which nothing but probes is placed.
    pub isolated: Vec<WorkerId>,
}

impl Planner {
    /// Status after the last step.
    pub fn status(&self) -> PlannerStatus {
        let mut free = 0;
        let mut free_workers = 0;
        let mut accels = 0;
        for worker in self.site.workers.iter().filter(|w| w.is_available()) {
            let mask = worker.free().mask;
            accels += worker.spec.accels.0;
            free += mask.count_ones();
            if mask == worker.total().mask {
                free_workers += worker.spec.accels.0;
            }
        }
        PlannerStatus {
            orgs: self.org_status(),
            accels: Accels(accels),
            free: Accels(free),
            fragmentation: (free - free_workers) * 100 / free.max(1),
            shortfalls: self.shortfalls(),
            isolated: self.isolated(),
        }
    }

    /// Number of jobs accepted and not ended.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Estimated bytes of memory for each worker and for each job, without the text of ids.
    pub fn state_bytes(&self) -> (usize, usize) {
        let workers = self.site.workers.len().max(1);
        let task_count: usize = self.site.workers.iter().map(|w| w.placed.len()).sum();
        let gang_places = self
            .table
            .gangs
            .iter()
            .flat_map(|g| &g.places)
            .map(Vec::len);
        let on_workers =
            task_count * size_of::<PlacedTask>() + gang_places.sum::<usize>() * size_of::<Place>();
        let jobs = self.jobs.len().max(1);
        let places: usize = self.jobs.values().map(|j| j.places.len()).sum();
        let indexes = 4 * size_of::<JobKey>() + size_of::<JobId>();
        (
            size_of::<Worker>() + on_workers / workers,
            size_of::<Job>() + indexes + places * size_of::<Place>() / jobs,
        )
    }

    fn org_status(&self) -> BTreeMap<OrgId, OrgStatus> {
        let mut map: BTreeMap<OrgId, OrgStatus> = BTreeMap::new();
        for org in self.policy.orgs.keys() {
            let usage = self.usage.get(org).copied().unwrap_or_default();
            let status = map.entry(org.clone()).or_default();
            status.guaranteed = self.policy.guaranteed(org);
            status.used = usage.used;
            status.borrowed = usage.borrowed;
        }
        for job in self.jobs.values() {
            let status = map.entry(job.spec.org.clone()).or_default();
            match job.phase {
                Phase::Queued | Phase::Claiming => status.queued += 1,
                Phase::Running | Phase::Starting | Phase::Stopping => status.active += 1,
            }
        }
        map
    }

    fn shortfalls(&self) -> Vec<Shortfall> {
        let guarantees = self.policy.guarantees.iter().enumerate();
        let short = guarantees.filter(|(i, _)| self.reported_missing[*i] > 0);
        short
            .map(|(i, g)| Shortfall {
                guarantee: i,
                org: g.org.clone(),
                domain: g.domain.clone(),
                missing: self.reported_missing[i],
            })
            .collect()
    }

    fn isolated(&self) -> Vec<WorkerId> {
        let workers = self.site.workers.iter().filter(|w| w.isolated);
        workers.map(|w| w.spec.id.clone()).collect()
    }

    /// Free capacity and load of each failure domain, for [`crate::pick_domain`].
    pub fn offers(&self) -> Vec<DomainOffer> {
        (0..self.site.domains.len())
            .map(|d| self.offer(d))
            .collect()
    }

    fn offer(&self, d: usize) -> DomainOffer {
        let mut free_blocks: BTreeMap<Accels, u32> = BTreeMap::new();
        let mut total = 0;
        let workers = self.site.workers.iter();
        for worker in workers.filter(|w| w.domain == d && w.is_available()) {
            total += worker.spec.accels.0;
            let mut mask = worker.free().mask;
            loop {
                let size = largest_free(mask, worker.spec.accels.0);
                let Some((first, _)) = crate::blocks::best_fit(mask, worker.spec.accels.0, size)
                else {
                    break;
                };
                if size == 0 {
                    break;
                }
                mask &= !crate::blocks::mask_of(first, size);
                *free_blocks.entry(Accels(size)).or_default() += 1;
            }
        }
        let waiting = self.queue.jobs().filter_map(|key| self.jobs.get(&key));
        let state = &self.site.domains[d];
        let unused_gangs = self
            .table
            .gangs
            .iter()
            .filter(|g| g.domain == d && g.is_movable());
        let unused_gangs = unused_gangs.filter(|g| g.places.is_some());
        DomainOffer {
            domain: state.id.clone(),
            out: state.out,
            total: Accels(total),
            free_blocks: free_blocks.into_iter().collect(),
            unused_guarantees: unused_gangs
                .map(|g| (g.org.clone(), g.shape.accels, g.shape.tasks))
                .collect(),
            waiting: waiting.map(|job| job.spec.accels()).sum(),
        }
    }
}
