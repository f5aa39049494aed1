//! Places reserved for a waiting gang until the jobs on them are expected to end.

use base::Map;
use base::Millis;

use crate::cells::Mask;
use crate::planner::Planner;
use crate::search::place;
use crate::site::Footing;
use crate::site::Key;
use crate::site::Load;

/// A reservation for a waiting gang.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    /// The waiting job.
    pub job: Key,
    /// Index of the failure domain.
    pub domain: usize,
    /// The reserved part of each worker.
    pub parts: Map<usize, Load>,
    /// When the last of the places is expected to be free.
    pub ready: Millis,
    /// Whether others may still pass it with work that ends in time.
    pub open: bool,
}

impl Planner {
    /// Reserves places for a job that does not fit at present.
    pub(crate) fn hold(&mut self, key: Key) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.spec.shape.accels.0 == 0 {
            return;
        }
        let best = (0..self.site.domains.len())
            .filter(|&d| self.admits(d, key))
            .filter(|_| self.holds.is_empty())
            .filter_map(|d| self.plan_hold(key, d))
            .min_by_key(|h| (h.ready, h.domain));
        let Some(mut hold) = best else { return };
        let now = self.now;
        let bypass = self.policy.bypass;
        if let Some(job) = self.jobs.get_mut(&key) {
            let since = *job.held.get_or_insert(now);
            hold.open = now.since(since) < bypass;
        }
        self.holds.push(hold);
    }

    pub(crate) fn plan_hold(&self, key: Key, domain: usize) -> Option<Hold> {
        let job = self.jobs.get(&key)?;
        let shape = &job.spec.shape;
        let fixed = job.loose_footing() == Footing::Fixed;
        let room = |w: usize| {
            let worker = &self.site.workers[w];
            if !worker.is_open() || job.failed.contains(&worker.spec.id) {
                return None;
            }
            let mut left = worker.all().without(worker.held);
            if fixed {
                left.remove(worker.owed);
            }
            for hold in &self.holds {
                if let Some(part) = hold.parts.get(&w) {
                    left.remove(*part);
                }
            }
            Some((left, *shape))
        };
        let cost = |w: usize, mask: Mask| self.free_in(w, mask).0;
        let places = place(&self.site, domain, shape, &room, &cost)?;
        let mut parts: Map<usize, Load> = Map::default();
        let mut wait = 0;
        for place in &places {
            parts.entry(place.worker).or_default().add(place.load);
            wait = wait.max(self.free_in(place.worker, place.load.mask).0);
        }
        Some(Hold {
            job: key,
            domain,
            parts,
            ready: self.now + Millis(wait),
            open: true,
        })
    }

    /// Expected time until accelerators of a worker are free.
    fn free_in(&self, w: usize, mask: Mask) -> Millis {
        let tenants = self.site.workers[w].tenants.iter();
        let hit = tenants.filter(|t| t.load.mask & mask != 0);
        let jobs = hit.filter_map(|t| self.jobs.get(&t.job));
        let left = jobs.map(|job| self.estimates.left(&job.spec, job.run(self.now)));
        left.max().unwrap_or(Millis::ZERO)
    }

    /// The part of a worker that a job expected to end at `end` must leave to reservations.
    pub(crate) fn reserved(&self, w: usize, key: Key, end: Millis) -> Load {
        let mut sum = Load::default();
        for hold in &self.holds {
            let passes = hold.open && end <= hold.ready;
            if hold.job == key || passes {
                continue;
            }
            if let Some(part) = hold.parts.get(&w) {
                sum.add(*part);
            }
        }
        sum
    }
}
