//! Changes caused by the passing of time.

use std::collections::BTreeMap;

use base::JobId;
use base::Millis;
use base::WorkerId;

use super::Scheduler;
use crate::account::LossCause;
use crate::health::SURVIVED;
use crate::job::RunPhase;
use crate::spec::RunNumber;
use crate::spec::TaskId;
use crate::worker::Worker;

/// Time after which a worker that is missing from the list is gone.
pub(super) const MISSING_GRACE: Millis = Millis(2_000);

/// Time after which it is stored that starts were answered, if the jobs were not stored since.
const ANSWERS_DELAY: Millis = Millis(500);

/// Time between two checks of all open runs for expired leases and stalls.
const CHECK_INTERVAL: Millis = Millis(50);

impl Scheduler {
    /// Applies changes caused by the passing of time: occurrences that fall due, expired leases,
    /// stalled runs, and workers that have been missing too long.
    pub fn tick(&mut self, now: Millis, wall: Millis) {
        self.pass_at = (now, wall);
        self.refit(now);
        self.recall_aside(now);
        let check_runs = now.since(self.checked_at) >= CHECK_INTERVAL;
        if check_runs {
            self.checked_at = now;
        }
        if check_runs {
            self.note_replaced(now);
        }
        self.store_answers(now);
        let mut lapsed: BTreeMap<WorkerId, Vec<String>> = BTreeMap::new();
        let live: Vec<JobId> = self.live.iter().cloned().collect();
        for id in &live {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if job.open_due(wall) {
                self.dirty.insert(id.clone());
            }
            if !check_runs {
                continue;
            }
            for task in job.open_tasks() {
                if let Some((run, worker)) = self.close_if_lapsed(&task, now) {
                    let runs = lapsed.entry(worker).or_default();
                    runs.push(format!("{task} run {run}"));
                }
                self.stop_if_stalled(&task, now);
                self.note_survival(&task, now);
            }
        }
        for (worker, runs) in lapsed {
            let (num, list) = (runs.len(), runs.join(", "));
            let heard = self.workers.get(&worker).and_then(Worker::last_report);
            let heard = heard.map_or("never heard".to_string(), |at| {
                format!("last heard {} ago", now.since(at))
            });
            let text =
                format!("the lease of {worker} has expired, {heard}; closed {num} runs: {list}");
            self.log(None, text);
        }
        if check_runs {
            self.drop_lapsed_strays(now);
            self.review_suspects(now);
        }
        self.note_idle(now);
        let is_expired = |w: &Worker| {
            let missing = w
                .missing_since
                .is_some_and(|at| now.since(at) > MISSING_GRACE);
            missing
                && w.open.is_empty()
                && w.adrift.is_empty()
                && now.since(w.last_answer) > MISSING_GRACE
        };
        let gone: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, w)| is_expired(w))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.remove_worker(&id, now);
        }
    }

    /// Marks jobs to be stored of which starts were answered, so that the next coordinator does not wait for
    /// these requests.
    fn store_answers(&mut self, now: Millis) {
        let (jobs, since) = &mut self.answers;
        if now.since(*since) >= ANSWERS_DELAY {
            let is_live = |id: &JobId| self.live.contains(id);
            let jobs = std::mem::take(jobs).into_iter().filter(is_live);
            self.dirty.extend(jobs);
        }
    }

    /// Notes that a run that is active has survived its start on its worker.
    fn note_survival(&mut self, task: &TaskId, now: Millis) {
        let Some(open) = self.open_run(task) else {
            return;
        };
        let started = open.seen_at.filter(|at| now.since(*at) >= SURVIVED);
        let Some(started) = started.filter(|_| open.phase == RunPhase::Running) else {
            return;
        };
        let worker = open.worker.clone();
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.proved_at = worker.proved_at.max(started);
        }
    }

    /// Closes a run if its worker's lease has expired without a report on it. Returns the run that
    /// it has closed, and its worker.
    fn close_if_lapsed(&mut self, task: &TaskId, now: Millis) -> Option<(RunNumber, WorkerId)> {
        let open = self.open_run(task)?;
        if open.phase == RunPhase::Planned {
            return None;
        }
        let (run, worker) = (open.run, open.worker.clone());
        if now <= self.lapse_end(open) {
            return None;
        }
        if open.phase == RunPhase::Adrift {
            self.finish_run(task, now);
            return None;
        }
        self.note_lapse(&worker, now);
        self.close_lost(task, LossCause::Lapsed, now);
        Some((run, worker))
    }
}
