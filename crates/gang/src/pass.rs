//! Scheduling passes: the order of the waiting jobs, and the ways to place each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use base::DomainId;
use base::OrgId;
use base::Set;
use base::Shape;

use crate::blocks::Mask;
use crate::event::StopReason;
use crate::job::Job;
use crate::placement::Target;
use crate::planner::Planner;
use crate::planner::Scan;
use crate::search::find_places;
use crate::search::zero_cost;
use crate::site::JobKey;
use crate::site::Place;
use crate::site::Resources;
use crate::site::TaskClass;

/// Converts a score to an integer with three decimal places.
const SCORE_SCALE: f64 = 1000.0;

/// Most waiting jobs for which moves of other jobs are considered in a pass.
const MAX_MOVE_TRIALS: usize = 8;

/// Most blocked groups considered in a pass, oldest first.
const MAX_BLOCKED_GROUPS: usize = 64;

/// Result of an attempt to place a waiting job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    OverQuota,
    NoRoom,
    /// Its places are claimed, and it starts now or once other jobs have stopped.
    Placed,
}

/// Sort key of a group: urgent, score, oldest job, group id.
type Priority = (bool, u64, Reverse<JobKey>, u64);

/// Requests that fit nowhere in this pass: shape, failure domain, whether pinned.
type NoFit = Set<(Shape, Option<DomainId>, bool)>;

impl Planner {
    /// Places the waiting jobs that the step has marked for consideration.
    pub(crate) fn run_pass(&mut self) {
        let scan = std::mem::take(&mut self.scan);
        if !self.starts_allowed {
            return;
        }
        match scan {
            Scan::None => {}
            Scan::One(key) => {
                self.try_place(key, &mut NoFit::default());
            }
            Scan::All => self.run_full_pass(),
        }
    }

    fn run_full_pass(&mut self) {
        self.last_pass = self.now;
        self.reservations.clear();
        let mut no_fit = NoFit::default();
        let groups = self.candidates();
        let order = groups.iter().filter_map(|&g| self.priority(g));
        let mut heap: BinaryHeap<Priority> = order.collect();
        let mut moves = MAX_MOVE_TRIALS;
        while let Some((_, _, Reverse(key), group)) = heap.pop() {
            match self.try_place(key, &mut no_fit) {
                Outcome::Placed => heap.extend(self.priority(group)),
                Outcome::NoRoom => {
                    let moved = moves > 0 && self.try_move(key);
                    moves -= usize::from(moves > 0);
                    if moved {
                        heap.extend(self.priority(group));
                    } else {
                        self.reserve(key);
                    }
                }
                Outcome::OverQuota => {}
            }
        }
    }

    /// The groups to consider: all that may start now, and the oldest blocked ones, for which
    /// places may be reserved or cleared.
    fn candidates(&self) -> Vec<u64> {
        let guaranteed: Set<&OrgId> = self.policy.guarantees.iter().map(|g| &g.org).collect();
        let usable = self
            .site
            .workers
            .iter()
            .filter(|w| !w.isolated || w.probing);
        let room = usable
            .map(|w| w.free().mask.count_ones())
            .max()
            .unwrap_or(0);
        let mut blocked = 0;
        let keep = |group: &u64| {
            let is_blocked = self.queue.is_blocked(*group, room, &guaranteed);
            blocked += usize::from(is_blocked);
            !is_blocked || blocked <= MAX_BLOCKED_GROUPS
        };
        self.queue.groups().filter(keep).collect()
    }

    fn priority(&self, group: u64) -> Option<Priority> {
        let key = self.queue.oldest(group)?;
        let job = self.jobs.get(&key)?;
        Some((job.spec.urgent, self.score(job), Reverse(key), group))
    }

    /// Response ratio, reduced by the capacity that the organisation borrows for its weight.
    fn score(&self, job: &Job) -> u64 {
        let left = self.estimates.remaining_time(&job.spec, job.saved);
        let left = left.0.max(1000) as f64;
        let wait = self.now.since(job.submitted).0 as f64;
        let policy = self.policy.orgs.get(&job.spec.org);
        let weight = f64::from(policy.map_or(1, |o| o.weight).max(1));
        let usage = self.usage.get(&job.spec.org).copied().unwrap_or_default();
        let share = f64::from(usage.borrowed.0) / weight;
        let ratio = (wait + left) / left;
        (SCORE_SCALE * ratio / (1.0 + share / HALVING_ACCELS)) as u64
    }

    fn try_place(&mut self, key: JobKey, no_fit: &mut NoFit) -> Outcome {
        let Some(job) = self.jobs.get(&key) else {
            return Outcome::OverQuota;
        };
        if !self.is_in_quota(job) {
            return Outcome::OverQuota;
        }
        let mut rounds = vec![true];
        if !job.failed_on.is_empty() && !self.has_untried(key, job) {
            rounds.push(false);
        }
        let urgent = job.spec.urgent && self.policy.preempt;
        for untried in rounds {
            let placed = self.try_guarantee(key, untried, false)
                || self.try_borrow(key, untried, no_fit)
                || self.try_guarantee(key, untried, true)
                || (urgent && self.try_evict(key, untried));
            if placed {
                return Outcome::Placed;
            }
        }
        Outcome::NoRoom
    }

    /// Whether the workers on which the job has not failed could hold it if they were free. If
    /// so, it waits for them, since it is likely to fail again on the others.
    fn has_untried(&self, key: JobKey, job: &Job) -> bool {
        let need = job.spec.shape.accels.0;
        let mut slots = 0;
        for (w, worker) in self.site.workers.iter().enumerate() {
            let fits = worker.spec.accels.0 >= need;
            if fits && self.admits(worker.domain, key) && self.is_usable(w, job, true) {
                slots += worker
                    .spec
                    .accels
                    .0
                    .checked_div(need)
                    .unwrap_or(u32::MAX / 2);
                slots = slots.min(u32::MAX / 2);
            }
        }
        slots >= job.spec.shape.tasks
    }

    fn is_in_quota(&self, job: &Job) -> bool {
        let Some(policy) = self.policy.orgs.get(&job.spec.org) else {
            return false;
        };
        let usage = self.usage.get(&job.spec.org).copied().unwrap_or_default();
        policy
            .quota
            .is_none_or(|q| usage.used + job.spec.accels() <= q)
    }

    /// Whether a failure domain is in service and the job may run there.
    pub(crate) fn admits(&self, domain: usize, key: JobKey) -> bool {
        let domain = &self.site.domains[domain];
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        !domain.out && job.spec.domain.as_ref().is_none_or(|d| *d == domain.id)
    }

    /// Whether a failure domain came back so recently that the job has to wait.
    pub(crate) fn is_paced(&self, domain: usize, job: &Job) -> bool {
        let domain = &self.site.domains[domain];
        let Some(returned) = domain.returned else {
            return false;
        };
        let elapsed = self.now.since(returned);
        let ramping = elapsed < self.policy.ramp && !job.spec.urgent;
        ramping && domain.paced_starts > elapsed.0 / self.policy.pace.0.max(1)
    }

    /// Whether a job may use a worker; if `untried`, only if it has not failed there.
    fn is_usable(&self, w: usize, job: &Job, untried: bool) -> bool {
        let worker = &self.site.workers[w];
        if untried && !job.failed_on.is_empty() && job.failed_on.contains(&worker.spec.id) {
            return false;
        }
        let probe = worker.probing
            && worker.placed.is_empty()
            && worker.claimed == Resources::default()
            && job.spec.shape.tasks == 1
            && job.spec.is_stoppable();
        let up = worker.state == crate::site::WorkerState::Up;
        up && (!worker.isolated || probe)
    }

    /// Places a job on its organisation's guarantees; if `evict`, by stopping other jobs too.
    fn try_guarantee(&mut self, key: JobKey, untried: bool, evict: bool) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let org = job.spec.org.clone();
        let (used, movable) = self.gangs_of(&org, None);
        let mut best: Option<(u64, Target)> = None;
        for gang in used {
            self.try_gang(key, gang, untried, &mut best);
        }
        for gang in movable {
            if best.as_ref().is_some_and(|(cost, _)| *cost == 0) {
                break;
            }
            if !self.move_gang_to_job(key, gang, untried) {
                self.move_gang_to_cheapest(gang);
            }
            self.try_gang(key, gang, untried, &mut best);
        }
        match best {
            Some((cost, target)) if cost == 0 || evict => {
                self.claim_places(key, target, StopReason::Reclaim)
            }
            _ => false,
        }
    }

    fn try_gang(&self, key: JobKey, gang: usize, untried: bool, best: &mut Option<(u64, Target)>) {
        let domain = self.table.gangs[gang].domain;
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if !self.admits(domain, key) {
            return;
        }
        let room = |w: usize| {
            if !self.is_usable(w, job, untried) {
                return None;
            }
            let mut left = self.unused_part(gang, w);
            left.mask &= !self.site.workers[w].claimed.mask;
            Some((left, job.spec.shape))
        };
        let cost = |w: usize, mask: Mask| self.eviction_cost(w, mask);
        let Some(places) = find_places(&self.site, domain, &job.spec.shape, &room, &cost) else {
            return;
        };
        let sum = self.total_cost(&places);
        if best.as_ref().is_some_and(|(old, _)| *old <= sum) {
            return;
        }
        let target = Target {
            places,
            gang: Some(gang),
            class: TaskClass::Guaranteed,
        };
        *best = Some((sum, target));
    }

    fn total_cost(&self, places: &[Place]) -> u64 {
        let cost = |p: &Place| {
            let worker = &self.site.workers[p.worker];
            let lacks_room = !worker.total().minus(worker.busy).covers(p.resources);
            self.eviction_cost(p.worker, p.resources.mask) + u64::from(lacks_room)
        };
        places.iter().map(cost).sum()
    }

    /// Moves a movable gang to where the job can be placed with the least run time lost,
    /// wherever the gang's other tasks have to go.
    fn move_gang_to_job(&mut self, key: JobKey, gang: usize, untried: bool) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let domain = self.table.gangs[gang].domain;
        if !self.admits(domain, key) {
            return false;
        }
        let guaranteed = self.immovable_guarantees();
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            if !worker.is_available() || !self.is_usable(w, job, untried) {
                return None;
            }
            let left = worker.total().minus(worker.pinned).minus(worker.claimed);
            Some((left.minus(guaranteed[w]), job.spec.shape))
        };
        let cost = |w: usize, mask: Mask| self.eviction_cost(w, mask);
        let places = find_places(&self.site, domain, &job.spec.shape, &room, &cost);
        places.is_some_and(|places| self.assign_around(gang, &places))
    }

    /// Moves a movable gang to where the least run time would be lost.
    fn move_gang_to_cheapest(&mut self, gang: usize) {
        let Some(old) = self.table.unassign(&mut self.site, gang) else {
            return;
        };
        let cost = |w: usize, mask: Mask| self.eviction_cost(w, mask);
        let cheapest = self
            .table
            .best_places(&self.site, gang, &cost)
            .unwrap_or(old);
        if self.total_cost(&cheapest) > 0 && self.swap_gang_places(gang) {
            return;
        }
        self.table.assign(&mut self.site, gang, cheapest);
    }

    /// Moves a gang to free places of other movable gangs, and moves those gangs elsewhere.
    fn swap_gang_places(&mut self, gang: usize) -> bool {
        let guaranteed = self.immovable_guarantees();
        let shape = self.table.gangs[gang].shape;
        let domain = self.table.gangs[gang].domain;
        if self.site.domains[domain].out {
            return false;
        }
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            let left = worker.free().minus(guaranteed[w]);
            worker
                .is_available()
                .then(|| (left, worker.guaranteed_shape(&shape)))
        };
        let Some(places) = find_places(&self.site, domain, &shape, &room, &zero_cost) else {
            return false;
        };
        let Some(overlapping) = self.table.overlapping(&places, Some(gang)) else {
            return false;
        };
        if !self.table.relocate(&mut self.site, &overlapping, &places) {
            return false;
        }
        self.table.assign(&mut self.site, gang, places);
        true
    }

    /// By worker, resources of the guaranteed gangs that are in use and cannot be moved.
    fn immovable_guarantees(&self) -> Vec<Resources> {
        let mut list = vec![Resources::default(); self.site.workers.len()];
        let immovable = self.table.gangs.iter().filter(|g| !g.is_movable());
        for place in immovable.flat_map(|g| g.places.iter().flatten()) {
            list[place.worker].add(place.resources);
        }
        list
    }

    /// Places a job on free capacity.
    fn try_borrow(&mut self, key: JobKey, untried: bool, no_fit: &mut NoFit) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let class = job.default_class();
        let pinned = class == TaskClass::Pinned;
        let request = (job.spec.shape, job.spec.domain.clone(), pinned);
        let never_failed = job.failed_on.is_empty();
        if never_failed && no_fit.contains(&request) {
            return false;
        }
        let mut has_room = false;
        for d in 0..self.site.domains.len() {
            if !self.admits(d, key) {
                continue;
            }
            let Some(job) = self.jobs.get(&key) else {
                break;
            };
            if self.is_paced(d, job) {
                has_room = true;
                continue;
            }
            if let Some(places) = self.free_places(key, d, untried, true, pinned) {
                if self.borrow(key, d, places, class) {
                    return true;
                }
            }
            has_room |= self.free_places(key, d, untried, false, pinned).is_some();
            if pinned && self.borrow_pinned(key, d, untried) {
                return true;
            }
        }
        if never_failed && !has_room && !pinned {
            no_fit.insert(request);
        }
        false
    }

    fn borrow(&mut self, key: JobKey, domain: usize, places: Vec<Place>, class: TaskClass) -> bool {
        self.site.domains[domain].paced_starts += 1;
        let target = Target {
            places,
            gang: None,
            class,
        };
        self.claim_places(key, target, StopReason::Reclaim)
    }

    /// Places a pinned job on free places of movable gangs, and moves those gangs elsewhere.
    fn borrow_pinned(&mut self, key: JobKey, domain: usize, untried: bool) -> bool {
        let Some(places) = self.free_places(key, domain, untried, true, false) else {
            return false;
        };
        let Some(overlapping) = self.table.overlapping(&places, None) else {
            return false;
        };
        if !self.table.relocate(&mut self.site, &overlapping, &places) {
            return false;
        }
        self.borrow(key, domain, places, TaskClass::Pinned)
    }

    /// Free places in a failure domain; outside reservations and guarantees if so flagged.
    fn free_places(
        &self,
        key: JobKey,
        domain: usize,
        untried: bool,
        unreserved: bool,
        unguaranteed: bool,
    ) -> Option<Vec<Place>> {
        let job = self.jobs.get(&key)?;
        let end = self.now + self.estimates.remaining_time(&job.spec, job.saved);
        let room = |w: usize| {
            if !self.is_usable(w, job, untried) {
                return None;
            }
            let worker = &self.site.workers[w];
            let mut left = worker.free();
            if unreserved {
                left.remove(self.reserved(w, key, end));
            }
            if unguaranteed {
                left = left.common(worker.total().minus(worker.guaranteed).minus(worker.pinned));
            }
            Some((left, job.spec.shape))
        };
        find_places(&self.site, domain, &job.spec.shape, &room, &zero_cost)
    }

    /// Places a job by stopping jobs on borrowed capacity that are not urgent.
    fn try_evict(&mut self, key: JobKey, untried: bool) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let class = job.default_class();
        let room = |w: usize| {
            if !self.is_usable(w, job, untried) || self.site.workers[w].probing {
                return None;
            }
            let worker = &self.site.workers[w];
            let mut left = worker.total().minus(worker.claimed);
            for task in &worker.placed {
                if !self.can_evict(task, StopReason::Reclaim, true) {
                    left.remove(task.resources);
                }
            }
            if class == TaskClass::Pinned {
                left = left.common(worker.total().minus(worker.guaranteed).minus(worker.pinned));
            }
            Some((left, job.spec.shape))
        };
        let cost = |w: usize, mask: Mask| self.eviction_cost(w, mask);
        let mut domains = (0..self.site.domains.len()).filter(|&d| self.admits(d, key));
        let found = domains.find_map(|d| find_places(&self.site, d, &job.spec.shape, &room, &cost));
        let Some(places) = found else { return false };
        let target = Target {
            places,
            gang: None,
            class,
        };
        self.claim_places(key, target, StopReason::Reclaim)
    }
}

/// Borrowed accelerators for each unit of weight that halve an organisation's score.
const HALVING_ACCELS: f64 = 64.0;
