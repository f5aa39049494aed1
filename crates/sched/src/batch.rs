//! Builds the batch of operations to send to a worker.

use base::Millis;
use base::WorkerId;
use work::wire::TaskOp;

use crate::coordinator::Coordinator;
use crate::job::Job;
use crate::job::Stage;
use crate::job::Task;
use crate::job::TaskState;
use crate::worker::Worker;

/// A reservation is renewed once its lease divided by this has passed.
const RESERVE_RENEW_DIVISOR: u64 = 3;

#[derive(Default)]
struct Batch {
    /// Whether an operation must be sent now rather than with the next regular call.
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
    /// All operations for a worker, and whether any must be sent now.
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
        self.add_orphan_ops(&mut batch, worker);
        (batch.due, batch.ops)
    }

    fn add_ops(&self, batch: &mut Batch, job: &Job, task: &Task) {
        let key = task.key.clone();
        let reserve_lease = self.timing.reserve_lease;
        let renewal_due =
            self.now >= task.renewed + Millis(reserve_lease.0 / RESERVE_RENEW_DIVISOR);
        match (job.stage, task.state) {
            (Stage::Reserve { .. }, TaskState::Unknown) if !task.refused => {
                let task = job.task_spec(&task.place);
                let lease = reserve_lease;
                batch.add(true, TaskOp::Reserve { key, task, lease });
            }
            (Stage::Reserve { .. } | Stage::Commit { .. }, TaskState::Held) if renewal_due => {
                batch.add(
                    true,
                    TaskOp::Renew {
                        key,
                        lease: reserve_lease,
                    },
                );
            }
            (Stage::Start { .. }, TaskState::Held) if self.can_start() => {
                let lease = self.start_lease();
                batch.add(true, TaskOp::Start { key, lease });
            }
            (Stage::Run | Stage::Checkpoint { .. }, TaskState::Running) => {
                self.add_run_ops(batch, job, task);
            }
            (Stage::Stop | Stage::Finalise, state) if task.reserve_sent && !state.is_over() => {
                batch.add(true, TaskOp::Stop { key });
            }
            _ => {}
        }
    }

    fn start_lease(&self) -> Millis {
        if self.overrides.long_start {
            self.timing.run_lease
        } else {
            self.timing.start_lease
        }
    }

    /// Adds the operations on a running task. Every call renews the lease, due or not, so that
    /// all tasks of a worker are renewed together, in one call.
    fn add_run_ops(&self, batch: &mut Batch, job: &Job, task: &Task) {
        let key = task.key.clone();
        let lease = self.timing.run_lease;
        let due = !task.long_lease || self.now >= task.renewed + self.timing.renew_interval;
        batch.add(due, TaskOp::Renew { key, lease });
        if matches!(job.stage, Stage::Checkpoint { .. }) && !task.checkpointed {
            let key = task.key.clone();
            batch.add(true, TaskOp::Checkpoint { key });
        }
        if job.percent != task.percent {
            let key = task.key.clone();
            let percent = job.percent;
            batch.add(true, TaskOp::Throttle { key, percent });
        }
    }

    /// Stops orphaned tasks, then has the worker forget them. A task is forgotten only once no
    /// call that names it can still be in flight, since such a call could reserve it again.
    fn add_orphan_ops(&self, batch: &mut Batch, worker: &Worker) {
        for (key, orphan) in &worker.orphans {
            let key = key.clone();
            if orphan.active {
                batch.add(true, TaskOp::Stop { key });
            } else if self.now >= orphan.since + self.timing.call_lifetime {
                batch.add(false, TaskOp::Forget { key });
            }
        }
    }
}
