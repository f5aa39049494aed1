//! The task side of a worker stand-in, without I/O.
//!
//! A payload `run:MS` runs for that long and succeeds, `fail:MS` fails after that long,
//! anything else runs for [`DEFAULT_RUN`].

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

/// Run time of a task whose payload does not tell one.
pub const DEFAULT_RUN: Millis = Millis(100);

struct Task {
    report: TaskReport,
    lease: Millis,
    started: Millis,
    /// Work done before `started`.
    done: Millis,
    percent: u8,
}

/// One phase change of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// When it happened.
    pub at: Millis,
    /// The task.
    pub key: TaskKey,
    /// The phase entered.
    pub phase: TaskPhase,
}

/// Tasks of one worker.
pub struct TaskTable {
    worker: WorkerId,
    epoch: Epoch,
    tasks: BTreeMap<TaskKey, Task>,
    changes: Vec<Change>,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Whether every task fails as soon as it starts.
    pub failing: bool,
}

impl TaskTable {
    /// A worker without tasks.
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

    /// Every phase change so far, in order.
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }

    /// Accepts an epoch that is not lower than the accepted one.
    pub fn accept(&mut self, now: Millis, epoch: Epoch) -> Result<WorkerState, Fenced> {
        self.fence(epoch)?;
        Ok(self.state(now))
    }

    /// The state of the worker.
    pub fn state(&mut self, now: Millis) -> WorkerState {
        self.advance(now);
        WorkerState {
            worker: self.worker.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            tasks: self.reports(),
        }
    }

    /// Carries out a call.
    pub fn call(&mut self, now: Millis, call: TaskCall) -> Result<TaskReply, Fenced> {
        self.fence(call.epoch)?;
        self.advance(now);
        let results = call.ops.into_iter().map(|op| self.apply(now, op)).collect();
        self.advance(now);
        Ok(TaskReply {
            results,
            tasks: self.reports(),
            leaving: self.leaving,
        })
    }

    fn fence(&mut self, epoch: Epoch) -> Result<(), Fenced> {
        if epoch < self.epoch {
            return Err(Fenced { epoch: self.epoch });
        }
        self.epoch = epoch;
        Ok(())
    }

    fn reports(&self) -> Vec<TaskReport> {
        let brief = |task: &Task| {
            let mut report = task.report.clone();
            report.task.payload.clear();
            report
        };
        self.tasks.values().map(brief).collect()
    }

    fn apply(&mut self, now: Millis, op: TaskOp) -> OpResult {
        match op {
            TaskOp::Checkpoint { key } => self.update(&key, |task| task.save(now)),
            TaskOp::Forget { key } => self.forget(&key),
            TaskOp::Renew { key, lease } => self.update(&key, |task| task.lease = now + lease),
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
            task.lease = now + lease;
            return OpResult::Done;
        }
        if self.leaving {
            return OpResult::Leaving;
        }
        if self.is_taken(&spec) {
            return OpResult::Busy;
        }
        self.insert(now, key, spec, TaskPhase::Held, now + lease);
        OpResult::Done
    }

    fn is_taken(&self, spec: &TaskSpec) -> bool {
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
        lease: Millis,
    ) {
        let saved = spec.saved;
        self.note(now, &key, phase);
        let report = TaskReport {
            key: key.clone(),
            task: spec,
            phase,
            ran: false,
            saved,
        };
        let task = Task {
            report,
            lease,
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
                task.lease = now + lease;
                task.started = now;
                task.report.ran = true;
                task.report.phase = TaskPhase::Running;
                self.note(now, key, TaskPhase::Running);
                if failing {
                    self.end(now, key, TaskPhase::Failed);
                }
                OpResult::Done
            }
            TaskPhase::Running => {
                task.lease = now + lease;
                OpResult::Done
            }
            _ => OpResult::NoTask,
        }
    }

    fn stop(&mut self, now: Millis, key: TaskKey) -> OpResult {
        match self.tasks.get(&key) {
            Some(task) if task.report.phase.is_active() => self.end(now, &key, TaskPhase::Stopped),
            Some(_) => {}
            None => self.insert(now, key, unknown_task(), TaskPhase::Stopped, now),
        }
        OpResult::Done
    }

    fn end(&mut self, at: Millis, key: &TaskKey, phase: TaskPhase) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.report.phase = phase;
            self.note(at, key, phase);
        }
    }

    fn note(&mut self, at: Millis, key: &TaskKey, phase: TaskPhase) {
        self.changes.push(Change {
            at,
            key: key.clone(),
            phase,
        });
    }

    /// Ends tasks whose work is done or whose lease has lapsed by `now`.
    fn advance(&mut self, now: Millis) {
        let due: Vec<_> = self.tasks.values().filter_map(|t| t.due(now)).collect();
        for (at, key, phase) in due {
            self.end(at, &key, phase);
        }
    }
}

impl Task {
    fn progress(&self, now: Millis) -> Millis {
        if self.report.phase != TaskPhase::Running {
            return self.done;
        }
        Millis(self.done.0 + now.since(self.started).0 * u64::from(self.percent) / 100)
    }

    fn save(&mut self, now: Millis) {
        self.report.saved = self.progress(now);
    }

    fn due(&self, now: Millis) -> Option<(Millis, TaskKey, TaskPhase)> {
        if !self.report.phase.is_active() {
            return None;
        }
        let key = self.report.key.clone();
        let (length, end) = script(&self.report.task.payload);
        let left = length.since(self.done).0 * 100 / u64::from(self.percent);
        let finish = self.started + Millis(left);
        let runs = self.report.phase == TaskPhase::Running;
        if runs && finish <= now && finish <= self.lease {
            return Some((finish, key, end));
        }
        (self.lease <= now).then_some((self.lease, key, TaskPhase::Lapsed))
    }
}

fn script(payload: &str) -> (Millis, TaskPhase) {
    let (verb, span) = payload.split_once(':').unwrap_or(("run", ""));
    let length = span.parse().map_or(DEFAULT_RUN, Millis);
    match verb {
        "fail" => (length, TaskPhase::Failed),
        _ => (length, TaskPhase::Finished),
    }
}

/// What is known of a task that was stopped before it was reserved.
fn unknown_task() -> TaskSpec {
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
