//! Which jobs are stopped so that another can take their accelerators.

use std::collections::BTreeSet;

use base::Millis;

use crate::cells::Mask;
use crate::event::Action;
use crate::event::StopReason;
use crate::job::Job;
use crate::job::Phase;
use crate::planner::Planner;
use crate::site::Footing;
use crate::site::Key;
use crate::site::Tenant;
use crate::start::sum_on;
use crate::start::Target;

impl Planner {
    /// Work lost by a stop of an active job, in accelerator-seconds, at least 1.
    pub(crate) fn loss(&self, job: &Job) -> u64 {
        if job.phase == Phase::Stopping {
            return 1;
        }
        let lost = self.now.since(job.mark) + self.policy.restart;
        1 + lost.0 / 1000 * u64::from(job.spec.accels().0.max(1))
    }

    /// Whether a job may be stopped for another under a claim of this kind.
    pub(crate) fn yields(&self, tenant: &Tenant, why: StopReason, urgent: bool) -> bool {
        let Some(job) = self.jobs.get(&tenant.job) else {
            return false;
        };
        if why == StopReason::Move {
            let settled = self.now.since(job.since) >= self.policy.restart;
            let running = job.phase == Phase::Running && settled;
            return tenant.footing != Footing::Fixed
                && running
                && job.spec.checkpoint
                && !job.spec.urgent;
        }
        tenant.footing == Footing::Borrowed && !(urgent && job.spec.urgent)
    }

    /// Work lost by taking some of a worker's accelerators, in accelerator-seconds.
    pub(crate) fn eviction_cost(&self, w: usize, mask: Mask) -> u64 {
        let tenants = self.site.workers[w].tenants.iter();
        let hit = tenants.filter(|t| t.load.mask & mask != 0);
        let jobs = hit.filter_map(|t| self.jobs.get(&t.job));
        jobs.map(|job| self.loss(job)).sum()
    }

    /// The jobs to be stopped for a target; none if it cannot be cleared.
    pub(crate) fn victims(&self, key: Key, target: &Target, why: StopReason) -> Option<Vec<Key>> {
        let job = self.jobs.get(&key)?;
        // A claim on a guarantee goes before all borrowed work, urgent or not.
        let urgent = target.unit.is_none() && job.spec.urgent;
        let mut victims = BTreeSet::new();
        for place in &target.places {
            self.clear_place(place.worker, target, why, urgent, &mut victims)?;
        }
        let running = |key: &Key| {
            self.jobs
                .get(key)
                .is_some_and(|j| j.phase != Phase::Stopping)
        };
        Some(victims.into_iter().filter(running).collect())
    }

    fn clear_place(
        &self,
        w: usize,
        target: &Target,
        why: StopReason,
        urgent: bool,
        victims: &mut BTreeSet<Key>,
    ) -> Option<()> {
        let worker = &self.site.workers[w];
        let need = sum_on(&target.places, w);
        let mut left = worker.all().without(worker.busy);
        if left.covers(need) {
            return Some(());
        }
        let mut rest = Vec::new();
        for tenant in &worker.tenants {
            let hit = tenant.load.mask & need.mask != 0;
            let yields = self.yields(tenant, why, urgent);
            if hit && !yields && !self.is_stopping(tenant.job) {
                return None;
            }
            if hit || victims.contains(&tenant.job) || self.is_stopping(tenant.job) {
                victims.insert(tenant.job);
                left.add(tenant.load);
            } else if yields {
                rest.push(tenant);
            }
        }
        rest.sort_by_key(|t| (self.jobs.get(&t.job).map(|j| self.loss(j)), t.job));
        for tenant in rest {
            if left.covers(need) {
                break;
            }
            victims.insert(tenant.job);
            left.add(tenant.load);
        }
        left.covers(need).then_some(())
    }

    fn is_stopping(&self, key: Key) -> bool {
        self.jobs
            .get(&key)
            .is_some_and(|j| j.phase == Phase::Stopping)
    }

    /// Repeats a stop without a checkpoint where the checkpoint has taken too long.
    pub(crate) fn press_victims(&mut self) {
        let bound = self.policy.reclaim;
        let now = self.now;
        for job in self.jobs.values_mut() {
            let Some((why, since)) = job.stop else {
                continue;
            };
            let late = job.phase == Phase::Stopping && now.since(since) >= bound;
            if !late || !job.spec.checkpoint || bound == Millis::ZERO {
                continue;
            }
            job.stop = Some((why, now));
            self.actions.push(Action::Stop {
                job: job.spec.id.clone(),
                why,
                checkpoint: false,
            });
        }
    }
}
