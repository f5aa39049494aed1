//! Calls to workers. Each worker has at most one call in flight, which carries a batch of
//! operations.

use base::Epoch;
use base::Millis;
use base::WorkerId;
use work::wire::EpochCall;
use work::wire::OpResult;
use work::wire::TaskCall;
use work::wire::TaskKey;
use work::wire::TaskOp;
use work::wire::TaskReply;
use work::wire::TaskReport;
use work::wire::WorkerState;

use crate::coordinator::Coordinator;
use crate::coordinator::Role;
use crate::job::TaskState;
use crate::message::Action;
use crate::message::CallBody;
use crate::message::CallId;
use crate::message::CallResult;
use crate::message::Report;
use crate::worker::Call;
use crate::worker::CallKind;
use crate::worker::Worker;

/// A call counts as lost if the host has not delivered its result within this many call
/// time-outs.
const HOST_TIMEOUT_FACTOR: u64 = 2;

/// The polling interval of a worker is the age of its youngest job divided by this.
const POLL_AGE_DIVISOR: u64 = 8;

impl Coordinator {
    pub(crate) fn send_calls(&mut self) {
        while let Some(id) = self.dirty_workers.pop_first() {
            self.send_call(&id);
        }
    }

    fn send_call(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let needed = worker.listed || !worker.jobs.is_empty() || !worker.orphans.is_empty();
        if worker.call.is_some() || now < worker.retry_at || !needed {
            return;
        }
        let kind = if !worker.accepted || worker.probe {
            CallKind::Epoch
        } else {
            let poll = now >= worker.last_heard + self.poll_interval(worker);
            let (due, ops) = self.batch(id);
            match (due || poll, ops.is_empty()) {
                (false, _) => return,
                (true, true) => CallKind::Epoch,
                (true, false) => CallKind::Tasks(ops),
            }
        };
        self.dispatch(id, kind);
    }

    /// Interval between two calls to a worker. It grows with the age of the youngest job, so
    /// that the end of a short job is noticed soon after it happened.
    fn poll_interval(&self, worker: &Worker) -> Millis {
        let jobs = worker.jobs.iter().filter_map(|id| self.jobs.get(id));
        let youngest = jobs.map(|job| self.now.since(job.active_since)).min();
        let interval = youngest.map_or(Millis::MAX, |age| Millis(age.0 / POLL_AGE_DIVISOR));
        interval
            .max(self.timing.min_poll)
            .min(self.timing.renew_interval)
    }

    fn dispatch(&mut self, id: &WorkerId, kind: CallKind) {
        let call = CallId(self.last_call.0 + 1);
        self.last_call = call;
        let epoch = self.epoch;
        let body = match &kind {
            CallKind::Epoch => CallBody::Epoch(EpochCall {
                domain: self.domain.clone(),
                epoch,
            }),
            CallKind::Tasks(ops) => CallBody::Tasks(TaskCall {
                epoch,
                ops: ops.clone(),
            }),
        };
        if let CallKind::Tasks(ops) = &kind {
            ops.iter().for_each(|op| self.mark_sent(op));
        }
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.call = Some(Call {
            id: call,
            sent: now,
            kind,
        });
        self.actions.push(Action::Call {
            call,
            worker: id.clone(),
            body,
        });
    }

    /// Records the possible effects of an operation when it is sent: a call without an answer
    /// may still be carried out.
    fn mark_sent(&mut self, op: &TaskOp) {
        let latest = self.now + self.timing.call_lifetime;
        let (key, lease) = match op {
            TaskOp::Renew { key, lease }
            | TaskOp::Reserve { key, lease, .. }
            | TaskOp::Start { key, lease } => (key, *lease),
            _ => return,
        };
        let job = self.jobs.get_mut(&key.job);
        let Some(task) = job.and_then(|j| j.task_mut(key)) else {
            return;
        };
        task.reserve_sent = true;
        task.start_sent |= matches!(op, TaskOp::Start { .. });
        task.active_until = task.active_until.max(latest + lease);
    }

    /// Fails calls whose result the host did not deliver, and reports workers that fell silent.
    pub(crate) fn expire_calls(&mut self) {
        let timeout = Millis(self.timing.call_timeout.0 * HOST_TIMEOUT_FACTOR);
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let sent = worker.call.as_ref().map(|c| c.sent);
            if sent.is_some_and(|at| self.now >= at + timeout) {
                self.fail_call(&id);
            }
            self.report_silence(&id);
        }
    }

    fn report_silence(&mut self, id: &WorkerId) {
        let after = self.timing.silence_timeout;
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.listed && !worker.silent && now.since(worker.last_heard) >= after {
            worker.silent = true;
            self.notify(Report::WorkerSilent(id.clone()));
        }
    }

    /// Schedules a retry after a failed call.
    fn fail_call(&mut self, id: &WorkerId) {
        let retry = self.now + self.timing.retry_pause;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.call = None;
            worker.probe = true;
            worker.retry_at = retry;
        }
    }

    pub(crate) fn handle_reply(&mut self, call: CallId, id: &WorkerId, result: CallResult) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if self.role == Role::Idle || worker.call.as_ref().map(|c| c.id) != Some(call) {
            return;
        }
        let Some(call) = worker.call.take() else {
            return;
        };
        self.dirty_workers.insert(id.clone());
        match result {
            CallResult::Fenced(epoch) => self.handle_fence(id, epoch),
            CallResult::Lost | CallResult::NotSent => self.fail_call(id),
            CallResult::State(state) => self.handle_state(id, &call, state),
            CallResult::Tasks(reply) => self.handle_tasks(id, &call, reply),
        }
    }

    /// Steps down if a worker has accepted a higher epoch.
    fn handle_fence(&mut self, id: &WorkerId, epoch: Epoch) {
        if epoch > self.epoch {
            self.depose(Some(epoch));
        } else {
            self.fail_call(id);
        }
    }

    fn handle_state(&mut self, id: &WorkerId, call: &Call, state: WorkerState) {
        if state.worker != *id || matches!(call.kind, CallKind::Tasks(_)) {
            return self.fail_call(id);
        }
        if state.epoch > self.epoch {
            return self.handle_fence(id, state.epoch);
        }
        let accepted = state.epoch == self.epoch;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.accepted = accepted;
        }
        if accepted {
            self.mark_heard(id, call.sent);
            self.apply_reports(id, &state.tasks);
        }
    }

    fn handle_tasks(&mut self, id: &WorkerId, call: &Call, reply: TaskReply) {
        let CallKind::Tasks(ops) = &call.kind else {
            return self.fail_call(id);
        };
        if ops.len() != reply.results.len() {
            return self.fail_call(id);
        }
        self.mark_heard(id, call.sent);
        for (op, result) in ops.iter().zip(&reply.results) {
            self.handle_result(id, op, *result, call.sent);
        }
        self.apply_reports(id, &reply.tasks);
    }

    /// Records that a worker answered a call that was sent at `sent`.
    fn mark_heard(&mut self, id: &WorkerId, sent: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.last_heard = worker.last_heard.max(sent);
        worker.probe = false;
        if worker.silent {
            worker.silent = false;
            self.notify(Report::WorkerRecovered(id.clone()));
        }
    }

    fn handle_result(&mut self, id: &WorkerId, op: &TaskOp, result: OpResult, sent: Millis) {
        let done = result == OpResult::Done;
        if let TaskOp::Forget { key } = op {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.orphans.remove(key);
            }
            return;
        }
        let run_lease = self.timing.run_lease;
        let Some(job) = self.jobs.get_mut(&task_key(op).job) else {
            return;
        };
        let Some(task) = job.task_mut(task_key(op)) else {
            return;
        };
        match op {
            TaskOp::Checkpoint { .. } => task.checkpointed = true,
            TaskOp::Forget { .. } => {}
            TaskOp::Renew { lease, .. } | TaskOp::Start { lease, .. } if done => {
                task.renewed = sent;
                task.long_lease = *lease == run_lease;
            }
            TaskOp::Renew { .. } | TaskOp::Start { .. } => {}
            TaskOp::Reserve { .. } if done => task.renewed = sent,
            TaskOp::Reserve { .. } => task.refused = true,
            TaskOp::Stop { .. } => task.stop_acked = true,
            TaskOp::Throttle { percent, .. } => task.percent = *percent,
        }
    }

    /// Applies the full list of tasks reported by a worker that accepted the epoch.
    pub(crate) fn apply_reports(&mut self, id: &WorkerId, reports: &[TaskReport]) {
        let now = self.now;
        let ready = self.role == Role::Ready;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !ready {
            worker.early_reports = reports.to_vec();
            return;
        }
        let jobs = worker.jobs.clone();
        for report in reports {
            let job = self.jobs.get_mut(&report.key.job);
            let inherited = job.as_ref().is_some_and(|j| j.inherited);
            let task = job.and_then(|j| j.task_mut(&report.key));
            match task.filter(|t| t.place.worker == *id) {
                Some(task) => task.apply_report(report, inherited),
                None => worker.add_orphan(report.key.clone(), report.phase.is_active(), now),
            }
        }
        for job in jobs {
            self.end_unreported(id, &job, reports);
            self.dirty_jobs.insert(job);
        }
    }

    /// Marks tasks as ended that the worker should know but did not report.
    fn end_unreported(&mut self, id: &WorkerId, job: &base::JobId, reports: &[TaskReport]) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        let inherited = job.inherited;
        for task in job.tasks.iter_mut().filter(|t| t.place.worker == *id) {
            let expected = match task.state {
                TaskState::Held | TaskState::Running => true,
                TaskState::Unknown => inherited || task.stop_acked,
                TaskState::Ended | TaskState::Failed | TaskState::Finished => false,
            };
            if expected && !reports.iter().any(|r| r.key == task.key) {
                task.vanished = task.state != TaskState::Unknown;
                task.state = TaskState::Ended;
            }
        }
    }
}

fn task_key(op: &TaskOp) -> &TaskKey {
    match op {
        TaskOp::Checkpoint { key }
        | TaskOp::Forget { key }
        | TaskOp::Renew { key, .. }
        | TaskOp::Reserve { key, .. }
        | TaskOp::Start { key, .. }
        | TaskOp::Stop { key }
        | TaskOp::Throttle { key, .. } => key,
    }
}
