//! Simulated worker that follows the task protocol.

use std::collections::BTreeMap;

use base::Accels;
use base::Epoch;
use base::Millis;
use base::WorkerId;
use work::wire::Fenced;
use work::wire::OpResult;
use work::wire::TaskCall;
use work::wire::TaskKey;
use work::wire::TaskOp;
use work::wire::TaskPhase;
use work::wire::TaskReply;
use work::wire::TaskReport;
use work::wire::TaskSpec;
use work::wire::WorkerState;

/// A worker with its tasks, each with its report and the end of its lease.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    pub id: WorkerId,
    pub epoch: Epoch,
    /// Whether calls with a lower epoch than before are refused.
    pub fenced: bool,
    pub tasks: BTreeMap<TaskKey, (TaskReport, Millis)>,
    /// Tasks started since the observer last checked.
    pub new_starts: Vec<TaskKey>,
}

impl WorkerModel {
    pub fn new(id: WorkerId, fenced: bool) -> WorkerModel {
        WorkerModel {
            id,
            epoch: Epoch(0),
            fenced,
            tasks: BTreeMap::new(),
            new_starts: Vec::new(),
        }
    }

    /// Ends tasks whose lease has expired.
    pub fn lapse(&mut self, now: Millis) {
        for (report, lease) in self.tasks.values_mut() {
            if report.phase.is_active() && *lease <= now {
                report.phase = TaskPhase::Lapsed;
            }
        }
    }

    pub fn accept(&mut self, epoch: Epoch) -> Result<WorkerState, Fenced> {
        self.fence(epoch)?;
        Ok(WorkerState {
            worker: self.id.clone(),
            epoch: self.epoch,
            leaving: false,
            tasks: self.reports(),
        })
    }

    pub fn call(&mut self, now: Millis, call: &TaskCall) -> Result<TaskReply, Fenced> {
        self.fence(call.epoch)?;
        self.lapse(now);
        let results = call.ops.iter().map(|op| self.apply(now, op)).collect();
        Ok(TaskReply {
            results,
            tasks: self.reports(),
            leaving: false,
        })
    }

    /// Puts a task into an end phase.
    pub fn end(&mut self, key: &TaskKey, phase: TaskPhase) {
        if let Some((report, _)) = self.tasks.get_mut(key) {
            report.phase = phase;
        }
    }

    fn fence(&mut self, epoch: Epoch) -> Result<(), Fenced> {
        if self.fenced && epoch < self.epoch {
            return Err(Fenced { epoch: self.epoch });
        }
        self.epoch = epoch;
        Ok(())
    }

    fn reports(&self) -> Vec<TaskReport> {
        self.tasks.values().map(|(r, _)| r.clone()).collect()
    }

    fn active(&mut self, key: &TaskKey) -> Option<&mut (TaskReport, Millis)> {
        self.tasks.get_mut(key).filter(|t| t.0.phase.is_active())
    }

    fn apply(&mut self, now: Millis, op: &TaskOp) -> OpResult {
        match op {
            TaskOp::Checkpoint { key } => match self.active(key) {
                Some((report, _)) => report.saved += Millis(1),
                None => return OpResult::NoTask,
            },
            TaskOp::Forget { key } => {
                self.tasks.retain(|k, t| k != key || t.0.phase.is_active());
            }
            TaskOp::Renew { key, lease } => match self.active(key) {
                Some(task) => task.1 = now + *lease,
                None => return OpResult::NoTask,
            },
            TaskOp::Reserve { key, task, lease } => return self.reserve(now, key, task, *lease),
            TaskOp::Start { key, lease } => match self.active(key) {
                Some(task) => {
                    task.1 = now + *lease;
                    if task.0.phase == TaskPhase::Held {
                        task.0.phase = TaskPhase::Running;
                        task.0.ran = true;
                        self.new_starts.push(key.clone());
                    }
                }
                None => return OpResult::NoTask,
            },
            TaskOp::Stop { key } => self.stop(key),
            TaskOp::Throttle { .. } => {}
        }
        OpResult::Done
    }

    fn reserve(&mut self, now: Millis, key: &TaskKey, spec: &TaskSpec, lease: Millis) -> OpResult {
        if let Some(task) = self.tasks.get_mut(key) {
            if !task.0.phase.is_active() {
                return OpResult::NoTask;
            }
            task.1 = now + lease;
            return OpResult::Done;
        }
        let overlaps =
            |t: &TaskSpec| spec.first < t.first + t.count.0 && t.first < spec.first + spec.count.0;
        let mut active = self.tasks.values().filter(|t| t.0.phase.is_active());
        if active.any(|t| overlaps(&t.0.task)) {
            return OpResult::Busy;
        }
        self.insert(key, spec.clone(), TaskPhase::Held, now + lease);
        OpResult::Done
    }

    fn stop(&mut self, key: &TaskKey) {
        match self.tasks.get_mut(key) {
            Some((report, _)) if report.phase.is_active() => report.phase = TaskPhase::Stopped,
            Some(_) => {}
            None => self.insert(key, unknown_task(), TaskPhase::Stopped, Millis::ZERO),
        }
    }

    fn insert(&mut self, key: &TaskKey, task: TaskSpec, phase: TaskPhase, lease: Millis) {
        let saved = task.saved;
        let report = TaskReport {
            key: key.clone(),
            task,
            phase,
            ran: false,
            saved,
        };
        self.tasks.insert(key.clone(), (report, lease));
    }
}

fn unknown_task() -> TaskSpec {
    TaskSpec {
        org: "unknown".parse().expect("organisation"),
        first: 0,
        count: Accels(0),
        cores: base::Cores(0),
        memory: base::Bytes(0),
        saved: Millis::ZERO,
        payload: String::new(),
    }
}
