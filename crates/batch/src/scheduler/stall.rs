//! Detection of runs that make no progress.
//!
//! Load pattern: some workers accept tasks and never work on them, while they answer every poll. A
//! run without progress for much longer than its estimate allows is stopped and starts on another
//! worker.

use base::Millis;

use super::Scheduler;
use crate::account::Loss;
use crate::account::LossCause;
use crate::job::RunPhase;
use crate::spec::TaskId;

/// Shortest time without progress that counts as a stall. Progress is reported at least once a
/// poll, and some workers are several times slower than others.
const MIN_STALL: Millis = Millis(2_500);

/// A run is stalled after this fraction (one in so many) of its expected duration without progress.
/// A run ten times slower than expected still gains a percent in this time.
const STALL_FRACTION: u64 = 4;

/// Time for which a worker gets no new tasks that has a stalled run, or has left all requests for a start
/// unanswered.
pub(super) const STALL_PAUSE: Millis = Millis(3_000);

impl Scheduler {
    /// Stops a run that has made no progress for too long, unless its worker did not answer polls.
    pub(crate) fn stop_if_stalled(&mut self, task: &TaskId, now: Millis) {
        let Some(open) = self.open_run(task) else {
            return;
        };
        if open.phase != RunPhase::Running || open.percent >= 100 {
            return;
        }
        let (progress_at, run, id) = (open.progress_at, open.run, open.worker.clone());
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(spec) = job.spec(task) else { return };
        let limit = MIN_STALL.max(Millis(self.expected(job, task.step).0 / STALL_FRACTION));
        let (lasting, fills) = (spec.lasting, spec.fills);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let polled =
            worker.has_answered && !worker.unresponsive && worker.last_answer > progress_at;
        // A best-effort task makes no progress while others use the worker or while it is
        // suspended.
        if lasting || fills || !polled || worker.last_answer.since(progress_at) <= limit {
            return;
        }
        worker.failures.record_stall(&task.job, STALL_PAUSE, now);
        let text = format!("run {run} of {task} makes no progress on {id}; stopping it");
        self.log(Some(&task.job), text);
        if let Some(state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) {
            state.avoid.push(id);
        }
        let loss = Loss::new(LossCause::Stalled);
        self.stop_run(task, loss.clone());
        self.break_gang(task, run, &loss);
    }
}
