//! The order in which waiting jobs are looked at, and what is tried for each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use base::DomainId;
use base::OrgId;
use base::Set;
use base::Shape;

use crate::cells::Mask;
use crate::event::StopReason;
use crate::job::Job;
use crate::planner::Planner;
use crate::planner::Wake;
use crate::search::free_of_cost;
use crate::search::place;
use crate::site::Footing;
use crate::site::Key;
use crate::site::Load;
use crate::site::Place;
use crate::start::Target;

/// Scale of the score, which is a ratio, as an integer.
const SCORE_SCALE: f64 = 1000.0;

/// Most waiting jobs for which moves are weighed in one pass.
const MAX_MOVERS: usize = 8;

/// Most groups looked at in one pass that cannot start at once.
const MAX_BLOCKED: usize = 64;

/// What became of a waiting job in a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tried {
    /// Its organisation's quota is used up.
    Barred,
    /// No room.
    NoRoom,
    /// It starts, now or when the jobs on its places have stopped.
    Taken,
}

/// Place in the order: urgent work, then by score, then by age.
type Order = (bool, u64, Reverse<Key>, u64);

/// Shapes that found no free room in this pass.
type Full = Set<(Shape, Option<DomainId>, bool)>;

impl Planner {
    /// Looks at waiting jobs in order and starts those that fit.
    pub(crate) fn pass(&mut self) {
        let wake = std::mem::take(&mut self.wake);
        if !self.permit {
            return;
        }
        match wake {
            Wake::None => {}
            Wake::One(key) => {
                self.attempt(key, &mut Full::default());
            }
            Wake::All => self.pass_all(),
        }
    }

    fn pass_all(&mut self) {
        self.passed = self.now;
        self.holds.clear();
        let mut full = Full::default();
        let groups = self.candidates();
        let orders = groups.iter().filter_map(|&g| self.order(g));
        let mut heap: BinaryHeap<Order> = orders.collect();
        let mut moves = MAX_MOVERS;
        while let Some((_, _, Reverse(key), group)) = heap.pop() {
            match self.attempt(key, &mut full) {
                Tried::Taken => heap.extend(self.order(group)),
                Tried::NoRoom => {
                    let moved = moves > 0 && self.try_move(key);
                    moves -= usize::from(moves > 0);
                    if moved {
                        heap.extend(self.order(group));
                    } else {
                        self.hold(key);
                    }
                }
                Tried::Barred => {}
            }
        }
    }

    /// The groups worth looking at: of those that cannot start now, only the oldest, for which
    /// places may be reserved or made free.
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
            let wait = self.queue.is_blocked(*group, room, &guaranteed);
            blocked += usize::from(wait);
            !wait || blocked <= MAX_BLOCKED
        };
        self.queue.groups().filter(keep).collect()
    }

    fn order(&self, group: u64) -> Option<Order> {
        let key = self.queue.head(group)?;
        let job = self.jobs.get(&key)?;
        Some((job.spec.urgent, self.score(job), Reverse(key), group))
    }

    /// Response ratio, lowered for organisations that borrow more than their share.
    fn score(&self, job: &Job) -> u64 {
        let left = self.estimates.left(&job.spec, job.saved);
        let left = left.0.max(1000) as f64;
        let wait = self.now.since(job.at).0 as f64;
        let policy = self.policy.orgs.get(&job.spec.org);
        let weight = f64::from(policy.map_or(1, |o| o.weight).max(1));
        let usage = self.usage.get(&job.spec.org).copied().unwrap_or_default();
        let share = f64::from(usage.borrowed.0) / weight;
        let ratio = (wait + left) / left;
        (SCORE_SCALE * ratio / (1.0 + share / FAIR_SHARE)) as u64
    }

    fn attempt(&mut self, key: Key, full: &mut Full) -> Tried {
        let Some(job) = self.jobs.get(&key) else {
            return Tried::Barred;
        };
        if !self.is_in_quota(job) {
            return Tried::Barred;
        }
        let mut bars = vec![true];
        if !job.failed.is_empty() && !self.has_untried(key, job) {
            bars.push(false);
        }
        let urgent = job.spec.urgent && self.policy.preempt;
        for bar in bars {
            let done = self.try_back(key, bar, false)
                || self.try_borrow(key, bar, full)
                || self.try_back(key, bar, true)
                || (urgent && self.try_evict(key, bar));
            if done {
                return Tried::Taken;
            }
        }
        Tried::NoRoom
    }

    /// Whether the workers on which a job did not fail could hold it, were they free. It then
    /// waits for those, since it would only fail again on the others.
    fn has_untried(&self, key: Key, job: &Job) -> bool {
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

    /// Whether a domain takes new work at all, and this job's in particular.
    pub(crate) fn admits(&self, domain: usize, key: Key) -> bool {
        let domain = &self.site.domains[domain];
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        !domain.out && job.spec.domain.as_ref().is_none_or(|d| *d == domain.id)
    }

    /// Whether a domain that has just returned takes another borrowing job yet.
    pub(crate) fn is_paced(&self, domain: usize, job: &Job) -> bool {
        let domain = &self.site.domains[domain];
        let Some(back) = domain.back else {
            return false;
        };
        let passed = self.now.since(back);
        let ramp = passed < self.policy.ramp && !job.spec.urgent;
        ramp && domain.starts > passed.0 / self.policy.pace.0.max(1)
    }

    /// Whether a job may be placed on a worker, and if `bar`, did not fail there before.
    fn is_usable(&self, w: usize, job: &Job, bar: bool) -> bool {
        let worker = &self.site.workers[w];
        if bar && !job.failed.is_empty() && job.failed.contains(&worker.spec.id) {
            return false;
        }
        let probe = worker.probing
            && worker.tenants.is_empty()
            && worker.held == Load::default()
            && job.spec.shape.tasks == 1
            && job.spec.is_stoppable();
        let up = worker.service == crate::site::Service::Up;
        up && (!worker.isolated || probe)
    }

    /// Takes cells of the organisation's own guarantees; by stopping others only if `claim`.
    fn try_back(&mut self, key: Key, bar: bool, claim: bool) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let org = job.spec.org.clone();
        let (used, movable) = self.units_of(&org, None);
        let mut best: Option<(u64, Target)> = None;
        for unit in used {
            self.offer_unit(key, unit, bar, &mut best);
        }
        for unit in movable {
            if best.as_ref().is_some_and(|(cost, _)| *cost == 0) {
                break;
            }
            if !self.draw_unit(key, unit, bar) {
                self.shift_unit(unit);
            }
            self.offer_unit(key, unit, bar, &mut best);
        }
        match best {
            Some((cost, target)) if cost == 0 || claim => {
                self.take(key, target, StopReason::Reclaim)
            }
            _ => false,
        }
    }

    fn offer_unit(&self, key: Key, unit: usize, bar: bool, best: &mut Option<(u64, Target)>) {
        let domain = self.book.units[unit].domain;
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if !self.admits(domain, key) {
            return;
        }
        let room = |w: usize| {
            if !self.is_usable(w, job, bar) {
                return None;
            }
            let mut left = self.unit_room(unit, w);
            left.mask &= !self.site.workers[w].held.mask;
            Some((left, job.spec.shape))
        };
        let cost = |w: usize, mask: Mask| self.eviction_cost(w, mask);
        let Some(places) = place(&self.site, domain, &job.spec.shape, &room, &cost) else {
            return;
        };
        let sum = self.total_cost(&places);
        if best.as_ref().is_some_and(|(old, _)| *old <= sum) {
            return;
        }
        let target = Target {
            places,
            unit: Some(unit),
            footing: Footing::Backed,
        };
        *best = Some((sum, target));
    }

    fn total_cost(&self, places: &[Place]) -> u64 {
        let cost = |p: &Place| {
            let worker = &self.site.workers[p.worker];
            let lack = !worker.all().without(worker.busy).covers(p.load);
            self.eviction_cost(p.worker, p.load.mask) + u64::from(lack)
        };
        places.iter().map(cost).sum()
    }

    /// Moves a movable gang's cells to where the job can be placed with the least work lost,
    /// whatever borrowing work stands on the rest of them.
    fn draw_unit(&mut self, key: Key, unit: usize, bar: bool) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let domain = self.book.units[unit].domain;
        if !self.admits(domain, key) {
            return false;
        }
        let owed = self.owed_firmly();
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            if !worker.is_open() || !self.is_usable(w, job, bar) {
                return None;
            }
            let left = worker.all().without(worker.fixed).without(worker.held);
            Some((left.without(owed[w]), job.spec.shape))
        };
        let cost = |w: usize, mask: Mask| self.eviction_cost(w, mask);
        let places = place(&self.site, domain, &job.spec.shape, &room, &cost);
        places.is_some_and(|places| self.wrap(unit, &places))
    }

    /// Moves a movable gang's cells to where least work stands.
    fn shift_unit(&mut self, unit: usize) {
        let Some(old) = self.book.lift(&mut self.site, unit) else {
            return;
        };
        let cost = |w: usize, mask: Mask| self.eviction_cost(w, mask);
        let cheap = self.book.seek(&self.site, unit, &cost).unwrap_or(old);
        if self.total_cost(&cheap) > 0 && self.swap_unit(unit) {
            return;
        }
        self.book.put(&mut self.site, unit, cheap);
    }

    /// Gives a gang free cells that other movable gangs had, and those gangs others.
    fn swap_unit(&mut self, unit: usize) -> bool {
        let owed = self.owed_firmly();
        let shape = self.book.units[unit].shape;
        let domain = self.book.units[unit].domain;
        if self.site.domains[domain].out {
            return false;
        }
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            let left = worker.free().without(owed[w]);
            worker.is_open().then(|| (left, worker.share(&shape)))
        };
        let Some(places) = place(&self.site, domain, &shape, &room, &free_of_cost) else {
            return false;
        };
        let Some(hit) = self.book.hit(&places, Some(unit)) else {
            return false;
        };
        if !self.book.yield_cells(&mut self.site, &hit, &places) {
            return false;
        }
        self.book.put(&mut self.site, unit, places);
        true
    }

    /// For each worker the cells of gangs that cannot be moved.
    fn owed_firmly(&self) -> Vec<Load> {
        let mut list = vec![Load::default(); self.site.workers.len()];
        let firm = self.book.units.iter().filter(|u| !u.is_movable());
        for place in firm.flat_map(|u| u.places.iter().flatten()) {
            list[place.worker].add(place.load);
        }
        list
    }

    /// Takes free capacity.
    fn try_borrow(&mut self, key: Key, bar: bool, full: &mut Full) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let footing = job.loose_footing();
        let fixed = footing == Footing::Fixed;
        let class = (job.spec.shape, job.spec.domain.clone(), fixed);
        let plain = job.failed.is_empty();
        if plain && full.contains(&class) {
            return false;
        }
        let mut any = false;
        for d in 0..self.site.domains.len() {
            if !self.admits(d, key) {
                continue;
            }
            let Some(job) = self.jobs.get(&key) else {
                break;
            };
            if self.is_paced(d, job) {
                any = true;
                continue;
            }
            if let Some(places) = self.free_places(key, d, bar, true, fixed) {
                if self.borrow(key, d, places, footing) {
                    return true;
                }
            }
            any |= self.free_places(key, d, bar, false, fixed).is_some();
            if fixed && self.borrow_fixed(key, d, bar) {
                return true;
            }
        }
        if plain && !any && !fixed {
            full.insert(class);
        }
        false
    }

    fn borrow(&mut self, key: Key, domain: usize, places: Vec<Place>, footing: Footing) -> bool {
        self.site.domains[domain].starts += 1;
        let target = Target {
            places,
            unit: None,
            footing,
        };
        self.take(key, target, StopReason::Reclaim)
    }

    /// Takes free capacity that movable gangs have, and gives those gangs other cells.
    fn borrow_fixed(&mut self, key: Key, domain: usize, bar: bool) -> bool {
        let Some(places) = self.free_places(key, domain, bar, true, false) else {
            return false;
        };
        let Some(hit) = self.book.hit(&places, None) else {
            return false;
        };
        if !self.book.yield_cells(&mut self.site, &hit, &places) {
            return false;
        }
        self.borrow(key, domain, places, Footing::Fixed)
    }

    /// Free places in a domain, beside reservations and, if `clear`, beside guarantees.
    fn free_places(
        &self,
        key: Key,
        domain: usize,
        bar: bool,
        spare: bool,
        clear: bool,
    ) -> Option<Vec<Place>> {
        let job = self.jobs.get(&key)?;
        let end = self.now + self.estimates.left(&job.spec, job.saved);
        let room = |w: usize| {
            if !self.is_usable(w, job, bar) {
                return None;
            }
            let worker = &self.site.workers[w];
            let mut left = worker.free();
            if spare {
                left.remove(self.reserved(w, key, end));
            }
            if clear {
                left = left.common(worker.all().without(worker.owed).without(worker.fixed));
            }
            Some((left, job.spec.shape))
        };
        place(&self.site, domain, &job.spec.shape, &room, &free_of_cost)
    }

    /// Takes places of borrowing jobs that are not urgent.
    fn try_evict(&mut self, key: Key, bar: bool) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let footing = job.loose_footing();
        let room = |w: usize| {
            if !self.is_usable(w, job, bar) || self.site.workers[w].probing {
                return None;
            }
            let worker = &self.site.workers[w];
            let mut left = worker.all().without(worker.held);
            for tenant in &worker.tenants {
                if !self.yields(tenant, StopReason::Reclaim, true) {
                    left.remove(tenant.load);
                }
            }
            if footing == Footing::Fixed {
                left = left.common(worker.all().without(worker.owed).without(worker.fixed));
            }
            Some((left, job.spec.shape))
        };
        let cost = |w: usize, mask: Mask| self.eviction_cost(w, mask);
        let mut domains = (0..self.site.domains.len()).filter(|&d| self.admits(d, key));
        let found = domains.find_map(|d| place(&self.site, d, &job.spec.shape, &room, &cost));
        let Some(places) = found else { return false };
        let target = Target {
            places,
            unit: None,
            footing,
        };
        self.take(key, target, StopReason::Reclaim)
    }
}

/// Borrowed accelerators for each unit of weight at which an organisation's score is halved.
const FAIR_SHARE: f64 = 64.0;
