//! Moves of checkpointable jobs that make room for a waiting gang.

use std::cmp::Reverse;

use base::Map;
use base::Millis;

use crate::cells::Mask;
use crate::event::StopReason;
use crate::planner::Planner;
use crate::search::free_of_cost;
use crate::search::place;
use crate::site::Footing;
use crate::site::Key;
use crate::site::Load;
use crate::site::Place;
use crate::start::Target;

/// The time saved must exceed the time lost by this factor, both weighed by accelerators.
const MIN_GAIN: u64 = 2;

/// Most jobs moved for one gang.
const MAX_MOVES: usize = 24;

impl Planner {
    /// Moves jobs elsewhere where that lets a waiting gang start, if all of them fit elsewhere
    /// now and the work lost is less than what the gang gains over its expected wait.
    pub(crate) fn try_move(&mut self, key: Key) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let accels = job.spec.accels().0;
        if accels == 0 || accels > self.free_accels() {
            return false;
        }
        let wait = self.expected_wait(key);
        let footing = job.loose_footing();
        let best = (0..self.site.domains.len())
            .filter(|&d| self.admits(d, key) && !self.is_paced(d, job))
            .filter_map(|d| self.cleared_places(key, d))
            .min_by_key(|(cost, _)| *cost);
        let Some((_, places)) = best else {
            return false;
        };
        let target = Target {
            places,
            unit: None,
            footing,
        };
        let why = StopReason::Move;
        let Some(victims) = self.victims(key, &target, why) else {
            return false;
        };
        let jobs = victims.iter().filter_map(|v| self.jobs.get(v));
        let lost: u64 = jobs.map(|j| u64::from(j.spec.accels().0)).sum();
        let gain = wait.0 * u64::from(accels);
        let cost = lost.saturating_mul(self.policy.restart.0);
        let pays = gain > cost.saturating_mul(MIN_GAIN);
        if !pays || victims.len() > MAX_MOVES || !self.fit_elsewhere(&victims, &target.places) {
            return false;
        }
        self.take(key, target, why)
    }

    fn free_accels(&self) -> u32 {
        let open = self.site.workers.iter().filter(|w| w.is_open());
        open.map(|w| w.free().mask.count_ones()).sum()
    }

    /// Expected wait of a job without a move.
    fn expected_wait(&self, key: Key) -> Millis {
        let domains = (0..self.site.domains.len()).filter(|&d| self.admits(d, key));
        let holds = domains.filter_map(|d| self.plan_hold(key, d));
        let ready = holds.map(|h| h.ready).min();
        ready.unwrap_or(self.now).since(self.now)
    }

    /// Places for a gang if all movable jobs were gone, with the accelerator-time lost.
    fn cleared_places(&self, key: Key, domain: usize) -> Option<(u64, Vec<Place>)> {
        let job = self.jobs.get(&key)?;
        let fixed = job.loose_footing() == Footing::Fixed;
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            if !worker.is_open() || job.failed.contains(&worker.spec.id) {
                return None;
            }
            let mut left = worker.all().without(worker.held);
            for tenant in &worker.tenants {
                if !self.yields(tenant, StopReason::Move, false) {
                    left.remove(tenant.load);
                }
            }
            if fixed {
                left = left.common(worker.all().without(worker.owed).without(worker.fixed));
            }
            Some((left, job.spec.shape))
        };
        let cost = |w: usize, mask: Mask| {
            let tenants = self.site.workers[w].tenants.iter();
            let hit = tenants.filter(|t| t.load.mask & mask != 0);
            let jobs = hit.filter_map(|t| self.jobs.get(&t.job));
            jobs.map(|j| u64::from(j.spec.accels().0)).sum()
        };
        let places = place(&self.site, domain, &job.spec.shape, &room, &cost)?;
        let cost = places.iter().map(|p| cost(p.worker, p.load.mask)).sum();
        Some((cost, places))
    }

    /// Whether all jobs have a free place outside of `taken`.
    fn fit_elsewhere(&self, jobs: &[Key], taken: &[Place]) -> bool {
        let mut used: Map<usize, Load> = Map::default();
        for place in taken {
            used.entry(place.worker).or_default().add(place.load);
        }
        let mut jobs = jobs.to_vec();
        jobs.sort_by_key(|k| (self.jobs.get(k).map(|j| Reverse(j.spec.accels())), *k));
        jobs.iter().all(|key| self.fit_one(*key, &mut used))
    }

    fn fit_one(&self, key: Key, used: &mut Map<usize, Load>) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            let taken = used.get(&w).copied().unwrap_or_default();
            let usable = worker.is_open() && !job.failed.contains(&worker.spec.id);
            usable.then(|| (worker.free().without(taken), job.spec.shape))
        };
        let mut domains = (0..self.site.domains.len()).filter(|&d| self.admits(d, key));
        let shape = &job.spec.shape;
        let places = domains.find_map(|d| place(&self.site, d, shape, &room, &free_of_cost));
        for place in places.iter().flatten() {
            used.entry(place.worker).or_default().add(place.load);
        }
        places.is_some()
    }
}
