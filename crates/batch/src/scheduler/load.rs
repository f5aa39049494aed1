//! The published load of the site.

use base::Map;
use base::Millis;

use super::Scheduler;
use crate::admit::Load;
use crate::admit::PoolLoad;
use crate::footprint::Footprint;
use crate::job::Job;
use crate::job::JobPhase;
use crate::job::OpenRun;

/// Granularity of published amounts of work, so that small changes are not published.
const WORK_GRANULARITY: u64 = 1_000_000;

impl Scheduler {
    /// Number of jobs in each queue of which no task has started. Scheduled jobs are not counted.
    pub fn waiting(&self) -> Map<String, u64> {
        let mut counts: Map<String, u64> = Map::default();
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            if job.phase == JobPhase::Queued && job.submitted.work.schedule.is_none() {
                *counts.entry(job.submitted.queue.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Memory that the known jobs take.
    pub fn footprint(&self) -> Footprint {
        let jobs = self.jobs.values().map(|job| Footprint::of_job(job).0);
        Footprint(jobs.fold(0, u64::saturating_add))
    }

    /// The load, for admission control and for callers that ask for the length of the queues.
    pub fn load(&self) -> Load {
        let mut load = Load {
            waiting: self.waiting(),
            ratios: self.ratios.clone(),
            epoch: self.epoch(),
            ..Load::default()
        };
        for worker in self
            .workers
            .values()
            .filter(|w| w.has_answered && w.missing_since.is_none())
        {
            let pool = load.pools.entry(worker.entry.pool.clone()).or_default();
            pool.capacity += worker.entry.capacity;
            if !pool.kinds.contains(&worker.entry.capacity) {
                pool.kinds.push(worker.entry.capacity);
            }
        }
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            if !job.phase.is_final() {
                let pool = load.pools.entry(job.submitted.pool.clone()).or_default();
                self.add_backlog(pool, job);
            }
        }
        for pool in load.pools.values_mut() {
            pool.kinds.sort_by_key(|k| (k.accels, k.cpu, k.memory));
            for work in pool.backlog.values_mut() {
                work.cpu = work.cpu.next_multiple_of(WORK_GRANULARITY);
                work.accels = work.accels.next_multiple_of(WORK_GRANULARITY / 1000);
            }
        }
        load
    }

    /// Adds the remaining work of a job. For a task that runs, only the part not yet done counts.
    fn add_backlog(&self, pool: &mut PoolLoad, job: &Job) {
        let sum = pool.backlog.entry(job.submitted.priority).or_default();
        for state in job.open.values() {
            for (num, spec) in job.submitted.work.steps.iter().enumerate() {
                if spec.lasting {
                    continue;
                }
                let expected = self.expected(job, num as u16);
                let left = |open: &OpenRun| {
                    let part = 100 - u64::from(open.percent.min(100));
                    Millis(expected.0 * part / 100)
                };
                for task in state.steps[num].tasks.iter().filter(|t| !t.done) {
                    sum.add(spec, 1, task.open.as_deref().map_or(expected, left));
                }
            }
        }
    }
}
