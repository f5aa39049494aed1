//! Assignment of disjoint places to all guaranteed gangs at the same time.

use std::collections::BTreeSet;

use base::Findings;
use base::OrgId;
use base::Shape;
use base::Spread;
use base::WorkerSpec;

use crate::blocks::Mask;
use crate::policy::Guarantee;
use crate::search::find_places;
use crate::site::JobKey;
use crate::site::Place;
use crate::site::Resources;
use crate::site::Site;
use crate::site::TaskClass;

/// One gang of a guarantee.
#[derive(Clone, Debug)]
pub struct GuaranteedGang {
    /// Index in [`crate::Policy::guarantees`].
    pub guarantee: usize,
    pub org: OrgId,
    /// Index into [`Site::domains`].
    pub domain: usize,
    pub shape: Shape,
    /// Places assigned to its tasks; none while the guarantee is short.
    pub places: Option<Vec<Place>>,
    /// Active and claiming jobs that use its places. While there are any, the gang is not
    /// moved.
    pub jobs: BTreeSet<JobKey>,
}

impl GuaranteedGang {
    /// Whether no job uses it, so that it can be assigned other places.
    pub fn is_movable(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Resources of its places on a worker.
    pub fn part(&self, worker: usize) -> Resources {
        let mut sum = Resources::default();
        let places = self.places.iter().flatten();
        for place in places.filter(|p| p.worker == worker) {
            sum.add(place.resources);
        }
        sum
    }

    /// Whether a job of this shape may fit into the gang's places.
    pub fn may_contain(&self, shape: &Shape) -> bool {
        let each = shape.accels.0.max(1);
        let slots = self.shape.accels.0 / each * self.shape.tasks;
        shape.accels <= self.shape.accels && shape.tasks <= slots
    }

    fn overlaps(&self, place: &Place) -> bool {
        let places = self.places.iter().flatten();
        places
            .filter(|p| p.worker == place.worker)
            .any(|p| p.resources.mask & place.resources.mask != 0)
    }
}

/// Places of all guaranteed gangs, found by [`assign_guarantees`].
#[derive(Clone, Debug)]
pub struct GuaranteeAssignment {
    /// For each gang, the index of its guarantee and, for each task, worker and first
    /// accelerator.
    pub gangs: Vec<(usize, Vec<(base::WorkerId, u32)>)>,
}

/// Assigns places to all guarantees on an empty site with these workers. The error has a
/// finding for each guarantee that is short. The search is greedy: it can fail although an
/// assignment exists, but an assignment that it returns is valid.
pub fn assign_guarantees(
    workers: &[WorkerSpec],
    guarantees: &[Guarantee],
) -> Result<GuaranteeAssignment, Findings> {
    let mut site = Site::default();
    for spec in workers {
        site.add(spec.clone());
    }
    let mut table = GuaranteeTable::default();
    for gang in unassigned_gangs(&mut site, guarantees) {
        table.gangs.push(gang);
    }
    table.assign_missing(&mut site);
    let mut found = Findings::new();
    for (i, missing) in table.missing(guarantees.len()).into_iter().enumerate() {
        if missing > 0 {
            add_finding(&mut found, i, &guarantees[i], missing);
        }
    }
    let id = |p: &Place| (site.workers[p.worker].spec.id.clone(), p.first);
    let places = |g: &GuaranteedGang| g.places.iter().flatten().map(id).collect();
    let gangs = table
        .gangs
        .iter()
        .map(|g| (g.guarantee, places(g)))
        .collect();
    found.into_result(GuaranteeAssignment { gangs })
}

fn add_finding(found: &mut Findings, i: usize, guarantee: &Guarantee, missing: u32) {
    let problem = format!(
        "organisation {} in {} is short of {missing} of {} gangs of {} x {} accelerators",
        guarantee.org,
        guarantee.domain,
        guarantee.count,
        guarantee.shape.tasks,
        guarantee.shape.accels,
    );
    let remedy = "lower a guarantee of this failure domain or add workers";
    found.add(format!("guarantees[{i}]"), problem, remedy);
}

/// Expands the guarantees into gangs without places.
pub fn unassigned_gangs(site: &mut Site, guarantees: &[Guarantee]) -> Vec<GuaranteedGang> {
    let mut list = Vec::new();
    for (i, guarantee) in guarantees.iter().enumerate() {
        let gang = GuaranteedGang {
            guarantee: i,
            org: guarantee.org.clone(),
            domain: site.ensure_domain(&guarantee.domain),
            shape: guarantee.shape,
            places: None,
            jobs: BTreeSet::new(),
        };
        list.extend((0..guarantee.count).map(|_| gang.clone()));
    }
    list
}

/// All guaranteed gangs with their places.
#[derive(Clone, Debug, Default)]
pub struct GuaranteeTable {
    pub gangs: Vec<GuaranteedGang>,
}

impl GuaranteeTable {
    /// Assigns places to a gang that has none.
    pub fn assign(&mut self, site: &mut Site, gang: usize, places: Vec<Place>) {
        for place in &places {
            site.workers[place.worker].guaranteed.add(place.resources);
        }
        self.gangs[gang].places = Some(places);
    }

    /// Removes and returns a gang's places.
    pub fn unassign(&mut self, site: &mut Site, gang: usize) -> Option<Vec<Place>> {
        let places = self.gangs[gang].places.take()?;
        for place in &places {
            site.workers[place.worker]
                .guaranteed
                .remove(place.resources);
        }
        Some(places)
    }

    /// Cheapest places for a gang that has none.
    pub fn best_places<C>(&self, site: &Site, gang: usize, cost: &C) -> Option<Vec<Place>>
    where
        C: Fn(usize, Mask) -> u64,
    {
        let gang = &self.gangs[gang];
        if site.domains[gang.domain].out {
            return None;
        }
        let room = |w: usize| assignable(site, w, &gang.shape);
        find_places(site, gang.domain, &gang.shape, &room, cost)
    }

    /// Indexes of the movable gangs whose places overlap these; none if a gang in use overlaps
    /// them.
    pub fn overlapping(&self, places: &[Place], except: Option<usize>) -> Option<Vec<usize>> {
        let mut list = Vec::new();
        for (i, gang) in self.gangs.iter().enumerate() {
            if Some(i) == except || !places.iter().any(|p| gang.overlaps(p)) {
                continue;
            }
            if !gang.is_movable() {
                return None;
            }
            list.push(i);
        }
        Some(list)
    }

    /// Moves the given gangs away from `taken`. Returns false and changes nothing if one of
    /// them finds no other places.
    pub fn relocate(&mut self, site: &mut Site, overlapping: &[usize], taken: &[Place]) -> bool {
        let old: Vec<_> = overlapping
            .iter()
            .map(|&i| (i, self.unassign(site, i)))
            .collect();
        if !all_fit(site, taken) {
            self.restore_places(site, old);
            return false;
        }
        count_guaranteed(site, taken, true);
        let assigned = overlapping.iter().all(|&i| self.assign_best_fit(site, i));
        count_guaranteed(site, taken, false);
        if !assigned {
            self.restore_places(site, old);
            return false;
        }
        true
    }

    /// Copy of all assigned places, for [`GuaranteeTable::rollback`].
    pub fn snapshot(&self) -> Vec<Option<Vec<Place>>> {
        self.gangs.iter().map(|g| g.places.clone()).collect()
    }

    /// Restores the places of a [`GuaranteeTable::snapshot`].
    pub fn rollback(&mut self, site: &mut Site, old: Vec<Option<Vec<Place>>>) {
        self.restore_places(site, old.into_iter().enumerate().collect());
    }

    fn assign_best_fit(&mut self, site: &mut Site, gang: usize) -> bool {
        let Some(places) = self.best_places(site, gang, &|_, _| 0) else {
            return false;
        };
        self.assign(site, gang, places);
        true
    }

    fn restore_places(&mut self, site: &mut Site, old: Vec<(usize, Option<Vec<Place>>)>) {
        for (gang, _) in &old {
            self.unassign(site, *gang);
        }
        for (gang, places) in old {
            if let Some(places) = places {
                self.assign(site, gang, places);
            }
        }
    }

    /// Assigns places to gangs that have none. If some stay without, assigns all movable gangs
    /// again, first the largest ones first, then in the order of the policy.
    pub fn assign_missing(&mut self, site: &mut Site) {
        if self.assign_all(site, &self.largest_first(|g| g.places.is_none())) {
            return;
        }
        let movable = self.largest_first(GuaranteedGang::is_movable);
        let mut policy_order = movable.clone();
        policy_order.sort_unstable();
        for order in [movable, policy_order] {
            self.repack(site, &order);
        }
    }

    /// Assigns the given gangs again, and keeps the result only if fewer gangs are short than
    /// before.
    fn repack(&mut self, site: &mut Site, order: &[usize]) {
        let before = self.unassigned_count();
        if before == 0 {
            return;
        }
        let old: Vec<_> = order.iter().map(|&i| (i, self.unassign(site, i))).collect();
        self.assign_all(site, order);
        if self.unassigned_count() >= before {
            self.restore_places(site, old);
        }
    }

    /// Whether placing `work`, which cannot be stopped, on an empty site makes no more
    /// guarantees of the failure domain short than are short without it.
    pub fn can_coexist(&self, empty: &Site, domain: usize, work: &[Place]) -> bool {
        let unassigned = |work: &[Place]| {
            let mut site = empty.clone();
            site.add_tasks(0, work, TaskClass::Pinned);
            let in_domain = self.gangs.iter().filter(|g| g.domain == domain);
            let mut table = GuaranteeTable {
                gangs: in_domain.cloned().collect(),
            };
            for gang in &mut table.gangs {
                gang.places = None;
                gang.jobs.clear();
            }
            table.assign_missing(&mut site);
            table.unassigned_count()
        };
        unassigned(work) <= unassigned(&[])
    }

    /// Assigns places to the given gangs in order. False if some find none.
    fn assign_all(&mut self, site: &mut Site, order: &[usize]) -> bool {
        let mut assigned = true;
        for &i in order {
            assigned &= self.assign_best_fit(site, i);
        }
        assigned
    }

    fn largest_first(&self, filter: impl Fn(&GuaranteedGang) -> bool) -> Vec<usize> {
        let mut list: Vec<usize> = (0..self.gangs.len()).collect();
        list.retain(|&i| filter(&self.gangs[i]));
        list.sort_by_key(|&i| {
            let shape = &self.gangs[i].shape;
            let spread_rank = match shape.spread {
                Spread::Worker => 0,
                Spread::Rack => 1,
                Spread::Domain => 2,
            };
            let accels = shape.accels.0;
            (
                std::cmp::Reverse(accels),
                spread_rank,
                std::cmp::Reverse(shape.tasks),
                i,
            )
        });
        list
    }

    fn unassigned_count(&self) -> usize {
        self.gangs.iter().filter(|g| g.places.is_none()).count()
    }

    /// Number of gangs without places for each of `count` guarantees.
    pub fn missing(&self, count: usize) -> Vec<u32> {
        let mut list = vec![0; count];
        for gang in self.gangs.iter().filter(|g| g.places.is_none()) {
            list[gang.guarantee] += 1;
        }
        list
    }
}

/// Resources of a worker that can be assigned to a guaranteed gang, with the gang's shape on
/// this worker. None if the worker is not available.
pub fn assignable(site: &Site, w: usize, shape: &Shape) -> Option<(Resources, Shape)> {
    let worker = &site.workers[w];
    if !worker.is_available() {
        return None;
    }
    let room = worker.total().minus(worker.pinned).minus(worker.guaranteed);
    Some((room, worker.guaranteed_shape(shape)))
}

/// Whether all places fit at once beside pinned jobs and guaranteed gangs.
fn all_fit(site: &mut Site, places: &[Place]) -> bool {
    let room = |w: &crate::site::Worker| w.total().minus(w.pinned).minus(w.guaranteed);
    let mut assigned = 0;
    let mut fits = true;
    for place in places {
        let worker = &mut site.workers[place.worker];
        fits = room(worker).covers(place.resources);
        if !fits {
            break;
        }
        worker.guaranteed.add(place.resources);
        assigned += 1;
    }
    for place in &places[..assigned] {
        site.workers[place.worker]
            .guaranteed
            .remove(place.resources);
    }
    fits
}

fn count_guaranteed(site: &mut Site, places: &[Place], add: bool) {
    for place in places {
        let guaranteed = &mut site.workers[place.worker].guaranteed;
        if add {
            guaranteed.add(place.resources);
        } else {
            guaranteed.remove(place.resources);
        }
    }
}
