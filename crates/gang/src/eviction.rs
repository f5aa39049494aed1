//! Choice of the jobs to stop when another job claims their accelerators.

use std::collections::BTreeSet;

use base::Millis;

use crate::blocks::Mask;
use crate::event::Action;
use crate::event::StopReason;
use crate::job::Job;
use crate::job::Phase;
use crate::placement::resources_on;
use crate::placement::Target;
use crate::planner::Planner;
use crate::site::JobKey;
use crate::site::PlacedTask;
use crate::site::TaskClass;

impl Planner {
    /// Run time lost by stopping an active job, in accelerator-seconds, at least 1.
    pub(crate) fn eviction_loss(&self, job: &Job) -> u64 {
        if job.phase == Phase::Stopping {
            return 1;
        }
        let lost_time = self.now.since(job.last_saved) + self.policy.restart;
        1 + lost_time.0 / 1000 * u64::from(job.spec.accels().0.max(1))
    }

    /// Whether a task's job may be stopped for another job. `urgent` protects urgent jobs.
    pub(crate) fn can_evict(&self, task: &PlacedTask, why: StopReason, urgent: bool) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if why == StopReason::Move {
            let settled = self.now.since(job.started) >= self.policy.restart;
            let running = job.phase == Phase::Running && settled;
            return task.class != TaskClass::Pinned
                && running
                && job.spec.checkpoint
                && !job.spec.urgent;
        }
        task.class == TaskClass::Borrowed && !(urgent && job.spec.urgent)
    }

    /// Run time lost by taking these accelerators of a worker, in accelerator-seconds.
    pub(crate) fn eviction_cost(&self, w: usize, mask: Mask) -> u64 {
        let placed = self.site.workers[w].placed.iter();
        let overlaps = placed.filter(|t| t.resources.mask & mask != 0);
        let jobs = overlaps.filter_map(|t| self.jobs.get(&t.job));
        jobs.map(|job| self.eviction_loss(job)).sum()
    }

    /// Jobs to stop so that the target's places become free; none if some of them cannot be
    /// stopped. Jobs that are stopping already are left out.
    pub(crate) fn victims(
        &self,
        key: JobKey,
        target: &Target,
        why: StopReason,
    ) -> Option<Vec<JobKey>> {
        let job = self.jobs.get(&key)?;
        // A claim on a guarantee takes precedence over all borrowed capacity, urgent or not.
        let urgent = target.gang.is_none() && job.spec.urgent;
        let mut victims = BTreeSet::new();
        for place in &target.places {
            self.collect_victims(place.worker, target, why, urgent, &mut victims)?;
        }
        let running = |key: &JobKey| {
            self.jobs
                .get(key)
                .is_some_and(|j| j.phase != Phase::Stopping)
        };
        Some(victims.into_iter().filter(running).collect())
    }

    fn collect_victims(
        &self,
        w: usize,
        target: &Target,
        why: StopReason,
        urgent: bool,
        victims: &mut BTreeSet<JobKey>,
    ) -> Option<()> {
        let worker = &self.site.workers[w];
        let need = resources_on(&target.places, w);
        let mut left = worker.total().minus(worker.busy);
        if left.covers(need) {
            return Some(());
        }
        let mut others = Vec::new();
        for task in &worker.placed {
            let overlaps = task.resources.mask & need.mask != 0;
            let can_evict = self.can_evict(task, why, urgent);
            if overlaps && !can_evict && !self.is_stopping(task.job) {
                return None;
            }
            if overlaps || victims.contains(&task.job) || self.is_stopping(task.job) {
                victims.insert(task.job);
                left.add(task.resources);
            } else if can_evict {
                others.push(task);
            }
        }
        others.sort_by_key(|t| (self.jobs.get(&t.job).map(|j| self.eviction_loss(j)), t.job));
        for task in others {
            if left.covers(need) {
                break;
            }
            victims.insert(task.job);
            left.add(task.resources);
        }
        left.covers(need).then_some(())
    }

    fn is_stopping(&self, key: JobKey) -> bool {
        self.jobs
            .get(&key)
            .is_some_and(|j| j.phase == Phase::Stopping)
    }

    /// Repeats a stop without a checkpoint if the checkpoint exceeds
    /// [`crate::Policy::reclaim`].
    pub(crate) fn repeat_late_stops(&mut self) {
        let time_limit = self.policy.reclaim;
        let now = self.now;
        for job in self.jobs.values_mut() {
            let Some((why, since)) = job.stop_order else {
                continue;
            };
            let is_late = job.phase == Phase::Stopping && now.since(since) >= time_limit;
            if !is_late || !job.spec.checkpoint || time_limit == Millis::ZERO {
                continue;
            }
            job.stop_order = Some((why, now));
            self.actions.push(Action::Stop {
                job: job.spec.id.clone(),
                why,
                checkpoint: false,
            });
        }
    }
}
