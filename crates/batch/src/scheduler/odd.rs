//! Rows of workers' reports that cannot be read.
//!
//! The ends after such a row take effect at once, but none from it on is acknowledged while the list
//! has room, so that the worker goes on listing it: it may be read later, and an end that was
//! acknowledged unread would be lost. A run that such a row may hide is not closed, since it may be
//! active, or done. After [`PATIENCE`] it is stopped, and closed once the worker's time to stop is
//! over, so that its task runs again without two runs at the same time.

use base::Millis;
use base::WorkerId;

use super::Scheduler;
use crate::account::Loss;
use crate::account::LossCause;
use crate::job::RunPhase;
use crate::spec::TaskId;
use crate::worker::EndedRun;
use crate::worker::Report;

/// Time for which a run that an unreadable row may hide is left alone.
const PATIENCE: Millis = Millis(3_000);

/// Time for which a worker gets no tasks after it has listed an active run of unknown size.
const UNKNOWN_RUN_PAUSE: Millis = Millis(1_000);

impl Scheduler {
    /// Logs the end of a run that was never requested, which has no effect.
    pub(super) fn log_unknown(&mut self, id: &WorkerId, end: &EndedRun) {
        let (task, run) = (&end.task, end.run);
        let text = format!("{id} reports the end of run {run} of {task}, which was not requested");
        self.log(Some(&task.job), text);
    }

    /// Acknowledges the ends that have taken effect, up to the first that cannot be read. A list that
    /// is full is acknowledged as a whole: the ends after it would not be listed otherwise.
    pub(super) fn acknowledge(&mut self, id: &WorkerId, report: &Report, is_full: bool) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let unread = report.odd.first_end(worker.reported_end);
        let unread = unread.filter(|_| !is_full).unwrap_or(u64::MAX);
        let read = worker.read_ends.range(..unread).next_back().copied();
        worker.reported_end = worker.reported_end.max(read.unwrap_or_default());
        let seen = worker.reported_end;
        worker.read_ends.retain(|number| *number > seen);
    }

    /// Whether an unreadable row may stand for a run that the report does not list otherwise, so that it
    /// cannot be closed. One that stays hidden is stopped.
    pub(super) fn is_hidden(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        report: &Report,
        now: Millis,
    ) -> bool {
        let seen = self.workers.get(id).map_or(0, |w| w.reported_end);
        let is_active = report.odd.runs(task);
        let is_hidden = is_active || report.odd.may_hide(task, seen);
        let grace = self.bounds.stop_grace.0;
        let state = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task));
        let Some(open) = state.and_then(|t| t.open.as_mut()) else {
            return false;
        };
        if !is_hidden {
            open.hidden_since = None;
            return false;
        }
        // Its progress cannot be read either.
        open.progress_at = now;
        let since = *open.hidden_since.get_or_insert(now);
        let is_late = now.since(since) >= PATIENCE;
        if is_active && open.phase != RunPhase::Stopping {
            open.hidden_since = Some(now);
            return true;
        }
        match open.phase {
            RunPhase::Adrift | RunPhase::Planned | RunPhase::Sent | RunPhase::Unanswered => true,
            RunPhase::Inherited | RunPhase::Running => {
                let run = open.run;
                if is_late {
                    let text = format!(
                        "run {run} of {task} is stopped: {id} lists rows that cannot be read"
                    );
                    self.log(Some(&task.job), text);
                    let loss = Loss::new(LossCause::Unreported);
                    self.stop_run(task, loss.clone());
                    self.break_gang(task, run, &loss);
                }
                true
            }
            RunPhase::Stopping => {
                let gone_at = open.absent_after.map(|clock| clock.saturating_add(grace));
                gone_at.is_none_or(|clock| report.clock <= clock)
            }
        }
    }

    /// Stops runs that are not wanted on a worker and of whose rows enough can be read.
    pub(super) fn stop_odd_strays(&mut self, id: &WorkerId, report: &Report) {
        for row in &report.odd.running {
            if let (Some(task), Some(run)) = (&row.task, row.run) {
                if !self.is_open(task, run, id) {
                    self.queue_stray_stop(id, task, run);
                }
            }
        }
    }

    /// Keeps tasks off a worker that checks no capacity and lists more unreadable runs than it has open
    /// ones that are not listed: what the others occupy is not known. Each run is recorded before it is
    /// requested and stays open until it is known to be gone, so such a row hardly stands for one; a
    /// worker that goes on listing it is used again after the longest lease.
    pub(super) fn pause_if_unknown(&mut self, id: &WorkerId, report: &Report, now: Millis) {
        let unknown = report.odd.running.iter().filter(|r| r.task.is_none());
        let unknown = unknown.count();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_listed = |task: &TaskId| report.running.iter().any(|r| r.task == *task);
        let hidden = worker.open.keys().filter(|t| !is_listed(t)).count();
        if unknown <= hidden || self.catalog.checks_capacity(&worker.entry.pool) {
            worker.unknown_since = None;
            return;
        }
        let since = *worker.unknown_since.get_or_insert(now);
        if now.since(since) < self.bounds.max_hold {
            worker.not_before = worker.not_before.max(now + UNKNOWN_RUN_PAUSE);
        }
    }
}
