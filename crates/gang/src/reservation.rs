//! Reservation of places for a waiting gang, and backfilling around it.

use base::Map;
use base::Millis;

use crate::blocks::Mask;
use crate::planner::Planner;
use crate::search::find_places;
use crate::site::JobKey;
use crate::site::Resources;
use crate::site::TaskClass;

/// Places reserved for a waiting gang until the jobs on them are expected to end.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub job: JobKey,
    pub domain: usize,
    /// Reserved resources by worker index.
    pub parts: Map<usize, Resources>,
    /// When all of the places are expected to be free.
    pub free_at: Millis,
    /// Whether jobs that are expected to end before `free_at` may use the places meanwhile.
    pub allows_backfill: bool,
}

impl Planner {
    /// Reserves the places that are expected to be free first for a job that has no room now.
    /// Only one reservation exists at a time.
    pub(crate) fn reserve(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.spec.shape.accels.0 == 0 {
            return;
        }
        let best = (0..self.site.domains.len())
            .filter(|&d| self.admits(d, key))
            .filter(|_| self.reservations.is_empty())
            .filter_map(|d| self.plan_reservation(key, d))
            .min_by_key(|h| (h.free_at, h.domain));
        let Some(mut reservation) = best else { return };
        let now = self.now;
        let bypass = self.policy.bypass;
        if let Some(job) = self.jobs.get_mut(&key) {
            let since = *job.reserved_since.get_or_insert(now);
            reservation.allows_backfill = now.since(since) < bypass;
        }
        self.reservations.push(reservation);
    }

    pub(crate) fn plan_reservation(&self, key: JobKey, domain: usize) -> Option<Reservation> {
        let job = self.jobs.get(&key)?;
        let shape = &job.spec.shape;
        let pinned = job.default_class() == TaskClass::Pinned;
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            if !worker.is_available() || job.failed_on.contains(&worker.spec.id) {
                return None;
            }
            let mut left = worker.total().minus(worker.claimed);
            if pinned {
                left.remove(worker.guaranteed);
            }
            for reservation in &self.reservations {
                if let Some(part) = reservation.parts.get(&w) {
                    left.remove(*part);
                }
            }
            Some((left, *shape))
        };
        let cost = |w: usize, mask: Mask| self.time_until_free(w, mask).0;
        let places = find_places(&self.site, domain, shape, &room, &cost)?;
        let mut parts: Map<usize, Resources> = Map::default();
        let mut wait = 0;
        for place in &places {
            parts.entry(place.worker).or_default().add(place.resources);
            wait = wait.max(self.time_until_free(place.worker, place.resources.mask).0);
        }
        Some(Reservation {
            job: key,
            domain,
            parts,
            free_at: self.now + Millis(wait),
            allows_backfill: true,
        })
    }

    /// Expected time until these accelerators of a worker are free.
    fn time_until_free(&self, w: usize, mask: Mask) -> Millis {
        let placed = self.site.workers[w].placed.iter();
        let overlapping = placed.filter(|t| t.resources.mask & mask != 0);
        let jobs = overlapping.filter_map(|t| self.jobs.get(&t.job));
        let left = jobs.map(|job| {
            self.estimates
                .remaining_time(&job.spec, job.work_done(self.now))
        });
        left.max().unwrap_or(Millis::ZERO)
    }

    /// Resources of a worker that a job expected to end at `end` must leave free.
    pub(crate) fn reserved(&self, w: usize, key: JobKey, end: Millis) -> Resources {
        let mut sum = Resources::default();
        for reservation in &self.reservations {
            let backfills = reservation.allows_backfill && end <= reservation.free_at;
            if reservation.job == key || backfills {
                continue;
            }
            if let Some(part) = reservation.parts.get(&w) {
                sum.add(*part);
            }
        }
        sum
    }
}
