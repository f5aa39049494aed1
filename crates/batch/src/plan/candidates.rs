//! Workers as the placement functions see them.

use base::Map;
use base::Millis;
use base::ServiceId;
use base::WorkerId;

use crate::health::most_paused;
use crate::job::RunPhase;
use crate::place::Candidate;
use crate::scheduler::Scheduler;
use crate::spec::Resources;
use crate::spec::StepSpec;
use crate::spec::TaskId;

impl Scheduler {
    /// The usable workers, ordered by id.
    pub(super) fn candidates(&mut self, now: Millis) -> Vec<Candidate> {
        let alarm = self.early_failures.alarm(now);
        let mut candidates = Vec::with_capacity(self.workers.len());
        for (id, worker) in &self.workers {
            if !self.is_usable(worker, now) {
                continue;
            }
            let estimate = worker.evidence.estimate;
            let speed = match estimate.known {
                true => estimate.speed,
                false => self.cautious_speed(&worker.entry.pool, estimate.speed),
            };
            candidates.push(Candidate {
                id: id.clone(),
                pool: worker.entry.pool.clone(),
                labels: worker.labels.clone(),
                rack: worker.rack.clone(),
                capacity: worker.entry.capacity,
                free: worker.free(),
                releasing: worker.releasing,
                excess: worker.excess(),
                running: Vec::new(),
                reserved_until: None,
                urgent_only: false,
                penalty: worker.penalty(alarm, now),
                paused: worker.is_paused(now),
                has_serving: worker.serving > 0,
                speed,
                known: estimate.known,
                runs: worker.open.len() as u32,
            });
        }
        self.limit_pauses(&mut candidates, now);
        candidates.sort_by(|a, b| a.id.cmp(&b.id));
        candidates
    }

    /// Ends pauses beyond the share of a pool that may be paused, and prefers the workers on which the
    /// fewest jobs have failed among those that stay paused.
    fn limit_pauses(&self, candidates: &mut [Candidate], now: Millis) {
        let mut pools: Map<ServiceId, (usize, Vec<usize>)> = Map::default();
        for (num, candidate) in candidates.iter().enumerate() {
            let (all, paused) = pools.entry(candidate.pool.clone()).or_default();
            *all += 1;
            if candidate.paused {
                paused.push(num);
            }
        }
        for (all, paused) in pools.into_values() {
            let failed_jobs = |num: usize| {
                let worker = self.workers.get(&candidates[num].id);
                worker.map_or(0, |w| w.failures.jobs(now))
            };
            let mut paused: Vec<(usize, WorkerId, usize)> = paused
                .into_iter()
                .map(|num| (failed_jobs(num), candidates[num].id.clone(), num))
                .collect();
            paused.sort();
            let ended = paused.len().saturating_sub(most_paused(all));
            for (place, (jobs, _, num)) in paused.into_iter().enumerate() {
                candidates[num].paused = place >= ended;
                candidates[num].penalty += jobs as u32;
            }
        }
    }

    /// Adds the remaining times of the runs on each candidate, which only reservations need.
    pub(super) fn add_running(&self, candidates: &mut [Candidate], now: Millis) {
        for candidate in candidates {
            let Some(worker) = self.workers.get(&candidate.id) else {
                continue;
            };
            let runs = worker.open.keys().filter_map(|task| {
                let open = self.open_run(task)?;
                // A task that lasts does not end by itself, so no gang waits for its room.
                if self.lasts(task) && open.phase != RunPhase::Stopping {
                    return None;
                }
                Some((self.time_left(task, open, now), self.occupied(task)))
            });
            candidate.running = runs.collect();
        }
    }

    fn lasts(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.spec(task)).is_some_and(|s| s.lasting)
    }

    fn occupied(&self, task: &TaskId) -> Resources {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.spec(task))
            .map(StepSpec::occupies)
            .unwrap_or_default()
    }
}
