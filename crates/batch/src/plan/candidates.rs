//! Workers as the placement functions see them.

use base::Millis;

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
            candidates.push(Candidate {
                id: id.clone(),
                pool: worker.entry.pool.clone(),
                labels: worker.labels.clone(),
                rack: worker.rack.clone(),
                capacity: worker.entry.capacity,
                free: worker.free(),
                releasing: worker.releasing,
                running: Vec::new(),
                reserved_until: None,
                urgent_only: false,
                penalty: worker.penalty(alarm),
                has_serving: worker.serving > 0,
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
                // Those that are being stopped are in `releasing`.
                let open = self
                    .open_run(task)
                    .filter(|o| o.phase != RunPhase::Stopping)?;
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
