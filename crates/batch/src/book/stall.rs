//! Runs that stand still.
//!
//! Load pattern: some workers accept tasks and never work on them, while they answer every look.
//! A run without progress for much longer than its estimate allows is stopped and starts on
//! another worker.

use base::Millis;

use super::Book;
use crate::job::RunPhase;
use crate::spec::TaskId;

/// Shortest time without progress that counts. Progress is seen at least once a look, and
/// workers may be several times as slow as others.
const STALL_MIN: Millis = Millis(2_500);

/// Share of the expected duration without progress that counts, one in this many. A run ten
/// times as slow as expected still moves a percent in this time.
const STALL_SHARE: u64 = 4;

/// Time for which a worker with a stalled run gets nothing more.
const PAUSE: Millis = Millis(3_000);

impl Book {
    /// Stops a run whose progress has stood still for too long, unless its worker was silent.
    pub(crate) fn stop_if_stalled(&mut self, task: &TaskId, now: Millis) {
        let Some(open) = self.open_run(task) else {
            return;
        };
        if open.phase != RunPhase::Running || open.percent >= 100 {
            return;
        }
        let (moved, run, id) = (open.moved, open.run, open.worker.clone());
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(spec) = job.spec(task) else { return };
        let limit = STALL_MIN.max(Millis(self.expected(job, task.step).0 / STALL_SHARE));
        let (lasting, fills) = (spec.lasting, spec.fills);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let looked = worker.known && !worker.silent && worker.heard > moved;
        // A task that fills stands still while others use the worker, or while it is held.
        if lasting || fills || !looked || worker.heard.since(moved) <= limit {
            return;
        }
        worker.note_failed(&task.job);
        worker.not_before = worker.not_before.max(now + PAUSE);
        let text = format!("run {run} of {task} stands still on {id}; it is stopped");
        self.note(Some(&task.job), text);
        if let Some(state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) {
            state.avoid.push(id);
        }
        self.stop(task);
        self.break_gang(task, run);
    }
}
