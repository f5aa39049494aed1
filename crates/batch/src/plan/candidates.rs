//! Workers as the placement functions see them.

use base::Millis;

use crate::job::Job;
use crate::job::OpenRun;
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
                let open = self.open_run(task)?;
                Some((self.time_left(task, open, now), self.occupied(task)))
            });
            candidate.running = runs.collect();
        }
    }

    /// Expected remaining time of a run.
    pub(crate) fn time_left(&self, task: &TaskId, open: &OpenRun, now: Millis) -> Millis {
        if open.phase == RunPhase::Stopping {
            return self.bounds.stop_grace;
        }
        let ran = now.since(open.seen_at.unwrap_or(open.planned_at));
        let job = self.jobs.get(&task.job);
        let expected = job.map_or(Millis::ZERO, |j| self.expected(j, task.step));
        if open.percent >= 10 {
            let all = ran.0 * 100 / u64::from(open.percent);
            return Millis(all).since(ran);
        }
        expected.since(ran)
    }

    fn occupied(&self, task: &TaskId) -> Resources {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.spec(task))
            .map(StepSpec::occupies)
            .unwrap_or_default()
    }

    /// Expected duration of a step's tasks: the estimate, corrected by the measured ratio of its
    /// queue.
    pub(crate) fn expected(&self, job: &Job, step: u16) -> Millis {
        let estimate = job.submitted.work.steps[usize::from(step)].estimate;
        let percent = self
            .ratios
            .get(&job.submitted.queue)
            .copied()
            .unwrap_or(100);
        Millis(estimate.0 * u64::from(percent) / 100)
    }
}
