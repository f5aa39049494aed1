//! Workers as the placement functions see them.

use base::Millis;

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
                penalty: worker.penalty(alarm),
                has_serving: worker.serving > 0,
                speed,
                known: estimate.known,
                runs: worker.open.len() as u32,
            });
        }
        candidates.sort_by(|a, b| a.id.cmp(&b.id));
        candidates
    }

    /// Adds the remaining times of the runs on each candidate, which only reservations need.
    pub(super) fn add_running(&self, candidates: &mut [Candidate], now: Millis) {
        for candidate in candidates {
            let Some(worker) = self.workers.get(&candidate.id) else {
                continue;
            };
            let runs = worker.open.keys().filter_map(|task| {
                let open = self.open_run(task)?;
                Some((self.time_left(task, open, now), self.occupied(task)))
            });
            candidate.running = runs.collect();
        }
    }

    fn occupied(&self, task: &TaskId) -> Resources {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.spec(task))
            .map(StepSpec::occupies)
            .unwrap_or_default()
    }
}
