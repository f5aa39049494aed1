//! Defragmentation: moves of checkpointable jobs that make room for a waiting gang.

use std::cmp::Reverse;

use base::Map;
use base::Millis;

use crate::blocks::Mask;
use crate::event::StopReason;
use crate::placement::Target;
use crate::planner::Planner;
use crate::search::find_places;
use crate::search::zero_cost;
use crate::site::JobKey;
use crate::site::Place;
use crate::site::Resources;
use crate::site::TaskClass;

/// Least ratio of the waiting time that a move saves to the run time that it costs, both in
/// accelerator-milliseconds.
const MIN_GAIN_FACTOR: u64 = 2;

/// Most jobs moved for one gang.
const MAX_MOVES: usize = 24;

impl Planner {
    /// Starts a waiting gang by moving other jobs. All of them must fit elsewhere now, and the
    /// gang's expected wait must outweigh the run time lost by the moves.
    pub(crate) fn try_move(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let accels = job.spec.accels().0;
        if accels == 0 || accels > self.free_accels() {
            return false;
        }
        let wait = self.expected_wait(key);
        let class = job.default_class();
        let best = (0..self.site.domains.len())
            .filter(|&d| self.admits(d, key) && !self.is_paced(d, job))
            .filter_map(|d| self.cleared_places(key, d))
            .min_by_key(|(cost, _)| *cost);
        let Some((_, places)) = best else {
            return false;
        };
        let target = Target {
            places,
            gang: None,
            class,
        };
        let why = StopReason::Move;
        let Some(victims) = self.victims(key, &target, why) else {
            return false;
        };
        let jobs = victims.iter().filter_map(|v| self.jobs.get(v));
        let moved_accels: u64 = jobs.map(|j| u64::from(j.spec.accels().0)).sum();
        let gain = wait.0 * u64::from(accels);
        let cost = moved_accels.saturating_mul(self.policy.restart.0);
        let worthwhile = gain > cost.saturating_mul(MIN_GAIN_FACTOR);
        if !worthwhile || victims.len() > MAX_MOVES || !self.fit_elsewhere(&victims, &target.places)
        {
            return false;
        }
        self.claim_places(key, target, why)
    }

    fn free_accels(&self) -> u32 {
        let open = self.site.workers.iter().filter(|w| w.is_available());
        open.map(|w| w.free().mask.count_ones()).sum()
    }

    /// Expected wait of a job without any moves.
    fn expected_wait(&self, key: JobKey) -> Millis {
        let domains = (0..self.site.domains.len()).filter(|&d| self.admits(d, key));
        let reservations = domains.filter_map(|d| self.plan_reservation(key, d));
        let free_at = reservations.map(|r| r.free_at).min();
        free_at.unwrap_or(self.now).since(self.now)
    }

    /// Cheapest places for a gang once movable jobs are moved, and the accelerators of the jobs
    /// to move.
    fn cleared_places(&self, key: JobKey, domain: usize) -> Option<(u64, Vec<Place>)> {
        let job = self.jobs.get(&key)?;
        let pinned = job.default_class() == TaskClass::Pinned;
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            if !worker.is_available() || job.failed_on.contains(&worker.spec.id) {
                return None;
            }
            let mut left = worker.total().minus(worker.claimed);
            for task in &worker.placed {
                if !self.can_evict(task, StopReason::Move, false) {
                    left.remove(task.resources);
                }
            }
            if pinned {
                left = left.common(worker.total().minus(worker.guaranteed).minus(worker.pinned));
            }
            Some((left, job.spec.shape))
        };
        let cost = |w: usize, mask: Mask| {
            let placed = self.site.workers[w].placed.iter();
            let overlapping = placed.filter(|t| t.resources.mask & mask != 0);
            let jobs = overlapping.filter_map(|t| self.jobs.get(&t.job));
            jobs.map(|j| u64::from(j.spec.accels().0)).sum()
        };
        let places = find_places(&self.site, domain, &job.spec.shape, &room, &cost)?;
        let cost = places
            .iter()
            .map(|p| cost(p.worker, p.resources.mask))
            .sum();
        Some((cost, places))
    }

    /// Whether free places outside of `taken` exist for all jobs at the same time.
    fn fit_elsewhere(&self, jobs: &[JobKey], taken: &[Place]) -> bool {
        let mut used: Map<usize, Resources> = Map::default();
        for place in taken {
            used.entry(place.worker).or_default().add(place.resources);
        }
        let mut jobs = jobs.to_vec();
        jobs.sort_by_key(|k| (self.jobs.get(k).map(|j| Reverse(j.spec.accels())), *k));
        jobs.iter().all(|key| self.claim_elsewhere(*key, &mut used))
    }

    fn claim_elsewhere(&self, key: JobKey, used: &mut Map<usize, Resources>) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            let taken = used.get(&w).copied().unwrap_or_default();
            let usable = worker.is_available() && !job.failed_on.contains(&worker.spec.id);
            usable.then(|| (worker.free().minus(taken), job.spec.shape))
        };
        let mut domains = (0..self.site.domains.len()).filter(|&d| self.admits(d, key));
        let shape = &job.spec.shape;
        let places = domains.find_map(|d| find_places(&self.site, d, shape, &room, &zero_cost));
        for place in places.iter().flatten() {
            used.entry(place.worker).or_default().add(place.resources);
        }
        places.is_some()
    }
}
