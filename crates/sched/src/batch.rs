//! The operations that are due at a worker.

use base::Millis;
use base::WorkerId;
use work::wire::TaskOp;

use crate::coord::Coordinator;
use crate::job::Job;
use crate::job::Stage;
use crate::job::Task;
use crate::job::TaskState;
use crate::worker::Worker;

/// Reservations are renewed after this part of their lease.
const HOLD_PARTS: u64 = 3;

/// Operations for one worker.
#[derive(Default)]
struct Batch {
    /// Whether one of them must not wait for the next regular call.
    due: bool,
    ops: Vec<TaskOp>,
}

impl Batch {
    fn add(&mut self, due: bool, op: TaskOp) {
        self.due |= due;
        self.ops.push(op);
    }
}

impl Coordinator {
    /// All operations for a worker, and whether any is due now.
    pub(crate) fn batch(&self, id: &WorkerId) -> (bool, Vec<TaskOp>) {
        let mut batch = Batch::default();
        let Some(worker) = self.workers.get(id) else {
            return (false, Vec::new());
        };
        if !self.is_ready() {
            return (false, Vec::new());
        }
        for job in worker.jobs.iter().filter_map(|j| self.jobs.get(j)) {
            for task in job.tasks.iter().filter(|t| t.place.worker == *id) {
                self.add_ops(&mut batch, job, task);
            }
        }
        self.clean_up(&mut batch, worker);
        (batch.due, batch.ops)
    }

    fn add_ops(&self, batch: &mut Batch, job: &Job, task: &Task) {
        let key = task.key.clone();
        let hold = self.timing.hold_lease;
        let aged = self.now >= task.renewed + Millis(hold.0 / HOLD_PARTS);
        match (job.stage, task.state) {
            (Stage::Reserve { .. }, TaskState::Unknown) if !task.refused => {
                let task = job.task_spec(&task.place);
                let lease = hold;
                batch.add(true, TaskOp::Reserve { key, task, lease });
            }
            (Stage::Reserve { .. } | Stage::Commit { .. }, TaskState::Held) if aged => {
                batch.add(true, TaskOp::Renew { key, lease: hold });
            }
            (Stage::Start { .. }, TaskState::Held) if self.can_start() => {
                let lease = self.start_lease();
                batch.add(true, TaskOp::Start { key, lease });
            }
            (Stage::Run | Stage::Save { .. }, TaskState::Running) => {
                self.add_run_ops(batch, job, task);
            }
            (Stage::Stop | Stage::Settle, state) if task.sent && !state.is_over() => {
                batch.add(true, TaskOp::Stop { key });
            }
            _ => {}
        }
    }

    fn start_lease(&self) -> Millis {
        if self.faults.long_start {
            self.timing.run_lease
        } else {
            self.timing.start_lease
        }
    }

    /// Operations on a running task. A renewal is part of every call that is made anyway, so
    /// that the tasks of a worker stay on one schedule.
    fn add_run_ops(&self, batch: &mut Batch, job: &Job, task: &Task) {
        let key = task.key.clone();
        let lease = self.timing.run_lease;
        let due = !task.long || self.now >= task.renewed + self.timing.renew_every;
        batch.add(due, TaskOp::Renew { key, lease });
        if matches!(job.stage, Stage::Save { .. }) && !task.kept {
            let key = task.key.clone();
            batch.add(true, TaskOp::Checkpoint { key });
        }
        if job.percent != task.percent {
            let key = task.key.clone();
            let percent = job.percent;
            batch.add(true, TaskOp::Throttle { key, percent });
        }
    }

    /// Stops and forgets tasks of no current attempt. One is forgotten only after every call
    /// sent for it was carried out or dropped.
    fn clean_up(&self, batch: &mut Batch, worker: &Worker) {
        for (key, orphan) in &worker.orphans {
            let key = key.clone();
            if orphan.active {
                batch.add(true, TaskOp::Stop { key });
            } else if self.now >= orphan.since + self.timing.call_delay {
                batch.add(false, TaskOp::Forget { key });
            }
        }
    }
}
