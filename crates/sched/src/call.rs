//! Calls to workers: one in flight for each, with all operations that are due in one batch.

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

use crate::coord::Coordinator;
use crate::coord::Role;
use crate::job::TaskState;
use crate::message::Action;
use crate::message::CallBody;
use crate::message::CallId;
use crate::message::CallResult;
use crate::message::Report;
use crate::worker::Call;
use crate::worker::CallKind;
use crate::worker::Worker;

/// Calls are given up when the host is this many times later with its result than promised.
const HOST_GRACE: u64 = 2;

/// A worker is called after the age of its youngest job divided by this.
const AGE_SHARE: u64 = 8;

impl Coordinator {
    pub(crate) fn send_calls(&mut self) {
        while let Some(id) = self.touched.pop_first() {
            self.send_call(&id);
        }
    }

    fn send_call(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let wanted = worker.listed || !worker.jobs.is_empty() || !worker.orphans.is_empty();
        if worker.call.is_some() || now < worker.retry || !wanted {
            return;
        }
        let kind = if !worker.accepted || worker.probe {
            CallKind::Epoch
        } else {
            let poll = now >= worker.heard + self.poll_every(worker);
            let (due, ops) = self.batch(id);
            match (due || poll, ops.is_empty()) {
                (false, _) => return,
                (true, true) => CallKind::Epoch,
                (true, false) => CallKind::Tasks(ops),
            }
        };
        self.dispatch(id, kind);
    }

    /// Time between two calls to a worker. Young tasks are looked at more often, so that the
    /// end of a short job is not seen much later than it happened.
    fn poll_every(&self, worker: &Worker) -> Millis {
        let jobs = worker.jobs.iter().filter_map(|id| self.jobs.get(id));
        let youngest = jobs.map(|job| self.now.since(job.begun)).min();
        let share = youngest.map_or(Millis::MAX, |age| Millis(age.0 / AGE_SHARE));
        share
            .max(self.timing.poll_least)
            .min(self.timing.renew_every)
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

    /// Notes what an operation may cause from now on, whether or not it is answered.
    fn mark_sent(&mut self, op: &TaskOp) {
        let latest = self.now + self.timing.call_delay;
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
        task.sent = true;
        task.begun |= matches!(op, TaskOp::Start { .. });
        task.bound = task.bound.max(latest + lease);
    }

    /// Counts calls as lost whose result the host did not deliver.
    pub(crate) fn expire_calls(&mut self) {
        let grace = Millis(self.timing.call_wait.0 * HOST_GRACE);
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let sent = worker.call.as_ref().map(|c| c.sent);
            if sent.is_some_and(|at| self.now >= at + grace) {
                self.lose_call(&id);
            }
            self.report_silence(&id);
        }
    }

    fn report_silence(&mut self, id: &WorkerId) {
        let after = self.timing.silent_after;
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.listed && !worker.silent && now.since(worker.heard) >= after {
            worker.silent = true;
            self.tell(Report::WorkerSilent(id.clone()));
        }
    }

    fn lose_call(&mut self, id: &WorkerId) {
        let retry = self.now + self.timing.call_retry;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.call = None;
            worker.probe = true;
            worker.retry = retry;
        }
    }

    pub(crate) fn take_reply(&mut self, call: CallId, id: &WorkerId, result: CallResult) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if self.role == Role::Idle || worker.call.as_ref().map(|c| c.id) != Some(call) {
            return;
        }
        let Some(call) = worker.call.take() else {
            return;
        };
        self.touched.insert(id.clone());
        match result {
            CallResult::Fenced(epoch) => self.take_fence(id, epoch),
            CallResult::Lost | CallResult::NotSent => self.lose_call(id),
            CallResult::State(state) => self.take_state(id, &call, state),
            CallResult::Tasks(reply) => self.take_tasks(id, &call, reply),
        }
    }

    fn take_fence(&mut self, id: &WorkerId, epoch: Epoch) {
        if epoch > self.epoch {
            self.depose(Some(epoch));
        } else {
            self.lose_call(id);
        }
    }

    fn take_state(&mut self, id: &WorkerId, call: &Call, state: WorkerState) {
        if state.worker != *id || matches!(call.kind, CallKind::Tasks(_)) {
            return self.lose_call(id);
        }
        if state.epoch > self.epoch {
            return self.take_fence(id, state.epoch);
        }
        let agreed = state.epoch == self.epoch;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.accepted = agreed;
        }
        if agreed {
            self.heard(id, call.sent);
            self.absorb(id, &state.tasks);
        }
    }

    fn take_tasks(&mut self, id: &WorkerId, call: &Call, reply: TaskReply) {
        let CallKind::Tasks(ops) = &call.kind else {
            return self.lose_call(id);
        };
        if ops.len() != reply.results.len() {
            return self.lose_call(id);
        }
        self.heard(id, call.sent);
        for (op, result) in ops.iter().zip(&reply.results) {
            self.take_result(id, op, *result, call.sent);
        }
        self.absorb(id, &reply.tasks);
    }

    fn heard(&mut self, id: &WorkerId, sent: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.heard = worker.heard.max(sent);
        worker.probe = false;
        if worker.silent {
            worker.silent = false;
            self.tell(Report::WorkerBack(id.clone()));
        }
    }

    fn take_result(&mut self, id: &WorkerId, op: &TaskOp, result: OpResult, sent: Millis) {
        let done = result == OpResult::Done;
        if let TaskOp::Forget { key } = op {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.orphans.remove(key);
            }
            return;
        }
        let long = self.timing.run_lease;
        let Some(job) = self.jobs.get_mut(&op_key(op).job) else {
            return;
        };
        let Some(task) = job.task_mut(op_key(op)) else {
            return;
        };
        match op {
            TaskOp::Checkpoint { .. } => task.kept = true,
            TaskOp::Forget { .. } => {}
            TaskOp::Renew { lease, .. } | TaskOp::Start { lease, .. } if done => {
                task.renewed = sent;
                task.long = *lease == long;
            }
            TaskOp::Renew { .. } | TaskOp::Start { .. } => {}
            TaskOp::Reserve { .. } if done => task.renewed = sent,
            TaskOp::Reserve { .. } => task.refused = true,
            TaskOp::Stop { .. } => task.stopped = true,
            TaskOp::Throttle { percent, .. } => task.percent = *percent,
        }
    }

    /// Takes in a full report of a worker that accepted the epoch.
    pub(crate) fn absorb(&mut self, id: &WorkerId, reports: &[TaskReport]) {
        let now = self.now;
        let ready = self.role == Role::Ready;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !ready {
            worker.early = reports.to_vec();
            return;
        }
        let jobs = worker.jobs.clone();
        for report in reports {
            let job = self.jobs.get_mut(&report.key.job);
            let inherited = job.as_ref().is_some_and(|j| j.inherited);
            let task = job.and_then(|j| j.task_mut(&report.key));
            match task.filter(|t| t.place.worker == *id) {
                Some(task) => task.observe(report, inherited),
                None => worker.add_orphan(report.key.clone(), report.phase.is_active(), now),
            }
        }
        for job in jobs {
            self.miss(id, &job, reports);
            self.dirty.insert(job);
        }
    }

    /// Ends tasks that a worker should know and does not report.
    fn miss(&mut self, id: &WorkerId, job: &base::JobId, reports: &[TaskReport]) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        let inherited = job.inherited;
        for task in job.tasks.iter_mut().filter(|t| t.place.worker == *id) {
            let known = match task.state {
                TaskState::Held | TaskState::Running => true,
                TaskState::Unknown => inherited || task.stopped,
                TaskState::Ended | TaskState::Failed | TaskState::Finished => false,
            };
            if known && !reports.iter().any(|r| r.key == task.key) {
                task.state = TaskState::Ended;
            }
        }
    }
}

/// The task of an operation.
fn op_key(op: &TaskOp) -> &TaskKey {
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
