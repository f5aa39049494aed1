//! Ends of runs without a result: which are stopped, the requests for it, and what is lost.

use std::net::SocketAddr;

use base::Fence;
use base::Millis;
use base::WorkerId;

use super::LogDetail;
use super::LogEntry;
use super::LogKind;
use super::Scheduler;
use crate::account::Loss;
use crate::account::LossCause;
use crate::account::LostRun;
use crate::job::EndedAdrift;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::preempt;
use crate::spec::RunNumber;
use crate::spec::StepSpec;
use crate::spec::TaskId;

/// Time after which a stop request without effect is repeated: one that was accepted, and one without
/// an answer.
const STOP_REPEAT_AFTER: (Millis, Millis) = (Millis(1_000), Millis(250));

/// A request to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopRequest {
    /// The task to stop.
    pub task: TaskId,
    /// Number of the run to stop.
    pub run: RunNumber,
    /// Id of the worker that may run it.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Fencing token; the worker refuses requests with a lower one than it has seen.
    pub fence: Fence,
}

impl Scheduler {
    /// Marks a run to be stopped.
    pub(crate) fn stop_run(&mut self, task: &TaskId, loss: Loss) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(spec) = job.spec(task).cloned() else {
            return;
        };
        let Some(open) = job.task_mut(task).and_then(|t| t.open.as_mut()) else {
            return;
        };
        let is_over = matches!(open.phase, RunPhase::Adrift | RunPhase::Stopping);
        if open.phase != RunPhase::Planned && !is_over {
            open.phase = RunPhase::Stopping;
            open.loss.get_or_insert(loss);
            open.absent_after = None;
            open.stop_sent = None;
            if let Some(worker) = self.workers.get_mut(&open.worker) {
                worker.release_run(task, &spec);
            }
            self.stopping.insert(task.clone());
        }
    }

    /// Stops the other members of a gang's run.
    pub(crate) fn break_gang(&mut self, task: &TaskId, run: RunNumber, loss: &Loss) {
        if !self.is_gang(task) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(step) = job.step_mut(task) else {
            return;
        };
        let members = step
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| t.open.as_ref().is_some_and(|o| o.run == run));
        let members: Vec<u16> = members.map(|(index, _)| index as u16).collect();
        for index in members {
            let member = TaskId {
                index,
                ..task.clone()
            };
            self.stop_run(&member, loss.of_member());
        }
    }

    /// Closes a run and releases its resources. Its task may start again once no request to start the run
    /// can be carried out any more.
    pub(crate) fn close_run(&mut self, task: &TaskId, now: Millis) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let is_done = job.phase.is_final() || job.task(task).is_some_and(|t| t.done);
        let Some(open) = self.open_run(task) else {
            return;
        };
        match open.phase {
            _ if is_done || !open.adrift.is_any(now) => self.finish_run(task, now),
            RunPhase::Planned => self.finish_run(task, now),
            RunPhase::Adrift => {}
            _ => self.set_adrift(task, now),
        }
    }

    /// Closes a run that cannot be started any more, or whose task does not start again.
    pub(super) fn finish_run(&mut self, task: &TaskId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(spec) = job.spec(task).cloned() else {
            return;
        };
        let Some(state) = job.task_mut(task) else {
            return;
        };
        let Some(open) = state.open.take() else {
            return;
        };
        let lost = (!state.done).then(|| lost_run(task, &spec, &open, now));
        job.adrift.retain(|a| now <= a.until);
        if let Some(until) = open.adrift.until().filter(|until| now <= *until) {
            job.adrift.push(EndedAdrift {
                task: task.clone(),
                run: open.run,
                until,
            });
        }
        if let Some(worker) = self.workers.get_mut(&open.worker) {
            worker.remove_run(task, &spec, open.phase == RunPhase::Stopping);
            worker.adrift.remove(task);
        }
        self.uncount_run(task);
        self.stopping.remove(task);
        if let Some(lost) = lost.flatten() {
            self.log_lost(lost, now);
        }
        self.dirty.insert(task.job.clone());
        self.end_if_done(&task.job, now);
    }

    /// Closes a run that has ended without a result.
    pub(crate) fn close_lost(&mut self, task: &TaskId, cause: LossCause, now: Millis) {
        let state = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task));
        if let Some(open) = state.and_then(|t| t.open.as_mut()) {
            open.loss.get_or_insert(Loss::new(cause));
        }
        self.close_run(task, now);
    }

    pub(super) fn log_lost(&mut self, lost: LostRun, now: Millis) {
        if let Some(job) = self.jobs.get_mut(&lost.task.job) {
            job.trace.lose_runs(now);
        }
        let room_for = lost.loss.room_for.as_ref();
        if let Some(job) = room_for.and_then(|id| self.jobs.get_mut(id)) {
            job.stopped_work += lost.work;
        }
        self.log_entries.push(LogEntry {
            kind: LogKind::RunLost,
            job: Some(lost.task.job.clone()),
            text: String::new(),
            detail: Some(LogDetail::LostRun(lost)),
        });
    }

    /// Stop requests to send now: new ones, and those due to be repeated.
    pub fn stop_requests(&mut self, now: Millis) -> Vec<StopRequest> {
        let mut out = Vec::new();
        for task in &self.stopping {
            let job = self.jobs.get_mut(&task.job);
            let open = job
                .and_then(|j| j.task_mut(task))
                .and_then(|t| t.open.as_mut());
            let Some(open) = open.filter(|o| o.phase == RunPhase::Stopping) else {
                continue;
            };
            // A stop that the worker has accepted takes some time; one without an answer may be lost.
            let repeat_after = match open.absent_after {
                Some(_) => STOP_REPEAT_AFTER.0,
                None => STOP_REPEAT_AFTER.1,
            };
            let is_due = open
                .stop_sent
                .is_none_or(|at| now.since(at) >= repeat_after);
            let Some(worker) = self.workers.get(&open.worker).filter(|_| is_due) else {
                continue;
            };
            open.stop_sent = Some(now);
            out.push(StopRequest {
                task: task.clone(),
                run: open.run,
                worker: open.worker.clone(),
                address: worker.entry.address,
                fence: worker.fence,
            });
        }
        for (id, worker) in &mut self.workers {
            let (address, fence) = (worker.entry.address, worker.fence);
            let strays = std::mem::take(&mut worker.stray_runs);
            out.extend(strays.into_iter().map(|(task, run)| StopRequest {
                task,
                run,
                worker: id.clone(),
                address,
                fence,
            }));
        }
        out
    }

    /// Processes an accepted stop request. `clock` is the reading of the worker's clock at which it
    /// was accepted: the run cannot start after it, so a later report without the run proves that
    /// it has ended.
    pub fn stop_accepted(&mut self, request: &StopRequest, clock: u64, now: Millis) {
        if !self.is_open(&request.task, request.run, &request.worker) {
            return;
        }
        let worker = self.workers.get(&request.worker);
        if worker.is_some_and(|w| w.has_restarted(clock, now)) {
            // A report of the former incarnation, which may still come, proves nothing about this one.
            return self.note_restart(&request.worker, now);
        }
        let Some(job) = self.jobs.get_mut(&request.task.job) else {
            return;
        };
        let open = job.task_mut(&request.task).and_then(|t| t.open.as_mut());
        if let Some(open) = open.filter(|o| o.phase == RunPhase::Stopping) {
            open.absent_after = Some(clock);
        }
    }
}

/// What a run that was active has lost; `None` if it is not known to have begun.
pub(super) fn lost_run(
    task: &TaskId,
    spec: &StepSpec,
    open: &OpenRun,
    now: Millis,
) -> Option<LostRun> {
    let begun = open.seen_at?;
    let loss = open.loss.clone();
    let ran = now.since(open.saved_at.map_or(begun, |at| at.max(begun)));
    Some(LostRun {
        task: task.clone(),
        run: open.run,
        worker: open.worker.clone(),
        loss: loss.unwrap_or(Loss::new(LossCause::Unreported)),
        ran,
        work: preempt::work(&spec.need, ran),
    })
}
