//! The pace of tasks that fill, worker by worker.

use std::net::SocketAddr;

use base::Epoch;
use base::Millis;
use base::WorkerId;

use super::Book;
use crate::job::RunPhase;
use crate::pace::PaceBounds;
use crate::pace::Tail;
use crate::spec::RunNumber;
use crate::spec::TaskId;
use crate::worker::Report;

/// Time after which an order without an answer is sent again: beyond its time-out.
const AGAIN: Millis = Millis(600);

/// An order that sets the share of its time for which a task works.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// The share in percent.
    pub percent: u32,
    /// Where it runs.
    pub worker: WorkerId,
    /// Where the worker takes orders.
    pub address: SocketAddr,
    /// Fence.
    pub epoch: Epoch,
}

impl Book {
    /// Takes what a report says of the tasks that serve on a worker.
    pub(crate) fn see_tails(&mut self, id: &WorkerId, report: &Report, now: Millis) {
        let serving = report.running.iter().filter_map(|row| {
            let spec = self.jobs.get(&row.task.job)?.spec(&row.task)?;
            let target = spec.serving_target()?;
            Some(Tail {
                seen: row.load?,
                target: target.0,
            })
        });
        let serving: Vec<Tail> = serving.collect();
        let bounds = PaceBounds {
            pace: self.bounds.pace,
            harm: self.bounds.harm,
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let before = worker.pace.share();
        worker.pace.see(&serving, bounds, now);
        let share = worker.pace.share();
        if share != before {
            self.note(
                None,
                format!("tasks that fill {id} work at {share}%, after {before}%"),
            );
        }
    }

    /// Whether tasks that serve and tasks that fill share a worker: it is looked at more often.
    pub(crate) fn is_shared(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let (mut fills, mut serves) = (false, false);
        for task in worker.open.keys() {
            let job = self.jobs.get(&task.job);
            if let Some(spec) = job.and_then(|j| j.spec(task)) {
                fills |= spec.fills;
                serves |= spec.serving_target().is_some();
            }
        }
        fills && serves
    }

    /// Orders that set the pace of tasks that fill: new ones, and those without an answer.
    pub fn paces(&mut self, now: Millis) -> Vec<PaceOrder> {
        let mut out = Vec::new();
        for (id, worker) in &self.workers {
            let percent = worker.pace.share();
            for task in worker.open.keys() {
                let Some(job) = self.jobs.get_mut(&task.job) else {
                    continue;
                };
                if !job.spec(task).is_some_and(|s| s.fills) {
                    continue;
                }
                let state = job.task_mut(task).and_then(|t| t.open.as_mut());
                let Some(open) = state.filter(|o| o.phase == RunPhase::Running) else {
                    continue;
                };
                let again = open.paced_at.is_none_or(|at| now.since(at) >= AGAIN);
                if open.pace == Some(percent) || !again {
                    continue;
                }
                open.paced_at = Some(now);
                out.push(PaceOrder {
                    task: task.clone(),
                    run: open.run,
                    percent,
                    worker: id.clone(),
                    address: worker.view.address,
                    epoch: self.epoch,
                });
            }
        }
        out
    }

    /// The worker has taken an order that sets a pace.
    pub fn paced(&mut self, order: &PaceOrder) {
        if !self.is_open(&order.task, order.run, &order.worker) {
            return;
        }
        let job = self.jobs.get_mut(&order.task.job);
        let task = job.and_then(|j| j.task_mut(&order.task));
        if let Some(open) = task.and_then(|t| t.open.as_mut()) {
            open.pace = Some(order.percent);
            open.paced_at = None;
        }
    }
}
