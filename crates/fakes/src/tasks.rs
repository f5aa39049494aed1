//! Tasks of a fake worker, without I/O.
//!
//! A task with the payload `fail:MS` fails after `MS` milliseconds. With any other word in front, as
//! in `run:MS`, it succeeds after that time. If the payload gives no valid number, the run time is
//! [`DEFAULT_RUN_TIME`].

use std::collections::BTreeMap;

use base::Accels;
use base::Bytes;
use base::Cores;
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

/// Run time of a task whose payload gives none.
pub const DEFAULT_RUN_TIME: Millis = Millis(100);

struct Task {
    report: TaskReport,
    /// When the lease expires.
    lease_end: Millis,
    /// When the task was started or last throttled.
    started: Millis,
    /// Run time completed before `started`, at full speed.
    done: Millis,
    /// Speed as a percentage of full speed.
    percent: u8,
}

/// A phase change of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PhaseChange {
    /// Time of the change.
    pub at: Millis,
    /// Task that changed its phase.
    pub key: TaskKey,
    /// Phase that the task entered.
    pub phase: TaskPhase,
}

/// Task table of one worker.
pub struct TaskTable {
    worker: WorkerId,
    /// Highest epoch accepted so far; calls with a lower one are fenced.
    epoch: Epoch,
    tasks: BTreeMap<TaskKey, Task>,
    changes: Vec<PhaseChange>,
    /// Whether the worker is leaving and accepts no new tasks.
    pub leaving: bool,
    /// Whether every task fails as soon as it starts.
    pub failing: bool,
}

impl TaskTable {
    /// A table without tasks, at epoch 0.
    pub fn new(worker: WorkerId) -> TaskTable {
        TaskTable {
            worker,
            epoch: Epoch(0),
            tasks: BTreeMap::new(),
            changes: Vec::new(),
            leaving: false,
            failing: false,
        }
    }

    /// All phase changes so far, in the order in which they were recorded.
    pub fn changes(&self) -> &[PhaseChange] {
        &self.changes
    }

    /// Accepts an epoch and returns the state of the worker. Fails if the epoch is lower than one
    /// accepted before.
    pub fn accept_epoch(&mut self, now: Millis, epoch: Epoch) -> Result<WorkerState, Fenced> {
        self.check_epoch(epoch)?;
        Ok(self.state(now))
    }

    /// State of the worker at `now`.
    pub fn state(&mut self, now: Millis) -> WorkerState {
        self.advance(now);
        WorkerState {
            worker: self.worker.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            tasks: self.reports(),
        }
    }

    /// Applies the operations of a call. Fails if its epoch is lower than one accepted before.
    pub fn call(&mut self, now: Millis, call: TaskCall) -> Result<TaskReply, Fenced> {
        self.check_epoch(call.epoch)?;
        self.advance(now);
        let results = call.ops.into_iter().map(|op| self.apply(now, op)).collect();
        self.advance(now);
        Ok(TaskReply {
            results,
            tasks: self.reports(),
            leaving: self.leaving,
        })
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), Fenced> {
        if epoch < self.epoch {
            return Err(Fenced { epoch: self.epoch });
        }
        self.epoch = epoch;
        Ok(())
    }

    fn reports(&self) -> Vec<TaskReport> {
        // Reports omit the payload.
        let without_payload = |task: &Task| {
            let mut report = task.report.clone();
            report.task.payload.clear();
            report
        };
        self.tasks.values().map(without_payload).collect()
    }

    fn apply(&mut self, now: Millis, op: TaskOp) -> OpResult {
        match op {
            TaskOp::Checkpoint { key } => self.update(&key, |task| task.checkpoint(now)),
            TaskOp::Forget { key } => self.forget(&key),
            TaskOp::Renew { key, lease } => self.update(&key, |task| task.lease_end = now + lease),
            TaskOp::Reserve { key, task, lease } => self.reserve(now, key, task, lease),
            TaskOp::Start { key, lease } => self.start(now, &key, lease),
            TaskOp::Stop { key } => self.stop(now, key),
            TaskOp::Throttle { key, percent } => self.update(&key, |task| {
                task.done = task.progress(now);
                task.started = now;
                task.percent = percent.clamp(1, 100);
            }),
        }
    }

    fn update(&mut self, key: &TaskKey, change: impl FnOnce(&mut Task)) -> OpResult {
        match self
            .tasks
            .get_mut(key)
            .filter(|t| t.report.phase.is_active())
        {
            Some(task) => {
                change(task);
                OpResult::Done
            }
            None => OpResult::NoTask,
        }
    }

    fn forget(&mut self, key: &TaskKey) -> OpResult {
        if self
            .tasks
            .get(key)
            .is_some_and(|t| !t.report.phase.is_active())
        {
            self.tasks.remove(key);
        }
        OpResult::Done
    }

    fn reserve(&mut self, now: Millis, key: TaskKey, spec: TaskSpec, lease: Millis) -> OpResult {
        if let Some(task) = self.tasks.get_mut(&key) {
            if !task.report.phase.is_active() {
                return OpResult::NoTask;
            }
            task.lease_end = now + lease;
            return OpResult::Done;
        }
        if self.leaving {
            return OpResult::Leaving;
        }
        if self.overlaps_active(&spec) {
            return OpResult::Busy;
        }
        self.insert(now, key, spec, TaskPhase::Held, now + lease);
        OpResult::Done
    }

    /// Whether an active task holds any of the accelerators of `spec`.
    fn overlaps_active(&self, spec: &TaskSpec) -> bool {
        let end = spec.first + spec.count.0;
        let active = self.tasks.values().filter(|t| t.report.phase.is_active());
        active
            .map(|t| &t.report.task)
            .any(|t| spec.first < t.first + t.count.0 && t.first < end)
    }

    fn insert(
        &mut self,
        now: Millis,
        key: TaskKey,
        spec: TaskSpec,
        phase: TaskPhase,
        lease_end: Millis,
    ) {
        let saved = spec.saved;
        self.record_phase(now, &key, phase);
        let report = TaskReport {
            key: key.clone(),
            task: spec,
            phase,
            ran: false,
            saved,
        };
        let task = Task {
            report,
            lease_end,
            started: now,
            done: saved,
            percent: 100,
        };
        self.tasks.insert(key, task);
    }

    fn start(&mut self, now: Millis, key: &TaskKey, lease: Millis) -> OpResult {
        let failing = self.failing;
        let Some(task) = self.tasks.get_mut(key) else {
            return OpResult::NoTask;
        };
        match task.report.phase {
            TaskPhase::Held => {
                task.lease_end = now + lease;
                task.started = now;
                task.report.ran = true;
                task.report.phase = TaskPhase::Running;
                self.record_phase(now, key, TaskPhase::Running);
                if failing {
                    self.end(now, key, TaskPhase::Failed);
                }
                OpResult::Done
            }
            TaskPhase::Running => {
                task.lease_end = now + lease;
                OpResult::Done
            }
            _ => OpResult::NoTask,
        }
    }

    fn stop(&mut self, now: Millis, key: TaskKey) -> OpResult {
        match self.tasks.get(&key) {
            Some(task) if task.report.phase.is_active() => self.end(now, &key, TaskPhase::Stopped),
            Some(_) => {}
            None => self.insert(now, key, placeholder_spec(), TaskPhase::Stopped, now),
        }
        OpResult::Done
    }

    fn end(&mut self, at: Millis, key: &TaskKey, phase: TaskPhase) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.report.phase = phase;
            self.record_phase(at, key, phase);
        }
    }

    fn record_phase(&mut self, at: Millis, key: &TaskKey, phase: TaskPhase) {
        self.changes.push(PhaseChange {
            at,
            key: key.clone(),
            phase,
        });
    }

    /// Ends the tasks that have completed, or whose lease has expired, by `now`.
    fn advance(&mut self, now: Millis) {
        let ended: Vec<_> = self
            .tasks
            .values()
            .filter_map(|t| t.ended_by(now))
            .collect();
        for (at, key, phase) in ended {
            self.end(at, &key, phase);
        }
    }
}

impl Task {
    /// Run time completed by `now`, at full speed.
    fn progress(&self, now: Millis) -> Millis {
        if self.report.phase != TaskPhase::Running {
            return self.done;
        }
        Millis(self.done.0 + now.since(self.started).0 * u64::from(self.percent) / 100)
    }

    fn checkpoint(&mut self, now: Millis) {
        self.report.saved = self.progress(now);
    }

    /// When and in which phase the task ended, if it has by `now`.
    fn ended_by(&self, now: Millis) -> Option<(Millis, TaskKey, TaskPhase)> {
        if !self.report.phase.is_active() {
            return None;
        }
        let key = self.report.key.clone();
        let (length, end) = parse_payload(&self.report.task.payload);
        let left = length.since(self.done).0 * 100 / u64::from(self.percent);
        let finish = self.started + Millis(left);
        let running = self.report.phase == TaskPhase::Running;
        if running && finish <= now && finish <= self.lease_end {
            return Some((finish, key, end));
        }
        (self.lease_end <= now).then_some((self.lease_end, key, TaskPhase::Lapsed))
    }
}

/// Run time and final phase given by a payload.
fn parse_payload(payload: &str) -> (Millis, TaskPhase) {
    let (verb, millis) = payload.split_once(':').unwrap_or(("run", ""));
    let length = millis.parse().map_or(DEFAULT_RUN_TIME, Millis);
    match verb {
        "fail" => (length, TaskPhase::Failed),
        _ => (length, TaskPhase::Finished),
    }
}

/// Spec recorded for a task that was stopped before it was reserved.
fn placeholder_spec() -> TaskSpec {
    TaskSpec {
        org: "unknown".parse().expect("a valid organisation"),
        first: 0,
        count: Accels(0),
        cores: Cores(0),
        memory: Bytes(0),
        saved: Millis::ZERO,
        payload: String::new(),
    }
}
