//! Processor share of the best-effort tasks on each worker.

use std::net::SocketAddr;

use base::Fence;
use base::Millis;
use base::WorkerId;

use super::Scheduler;
use crate::job::RunPhase;
use crate::spec::RunNumber;
use crate::spec::TaskId;
use crate::throttle::Latency;
use crate::throttle::ThrottleBounds;
use crate::worker::Report;

/// Time after which a request without a response is repeated. It is longer than the time-out.
const REPEAT_AFTER: Millis = Millis(600);

/// A request that sets the processor share of a best-effort task.
#[derive(Clone, Debug, PartialEq)]
pub struct ThrottleRequest {
    /// The task to throttle.
    pub task: TaskId,
    /// Number of its run.
    pub run: RunNumber,
    /// The share in percent of the time; 100 is unlimited, 0 suspends the task.
    pub percent: u32,
    /// Id of the worker that runs it.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Fencing token; the worker refuses requests with a lower one than it has seen.
    pub fence: Fence,
}

impl Scheduler {
    /// Adjusts a worker's share to the response times of serving tasks in its report.
    pub(crate) fn apply_latencies(&mut self, id: &WorkerId, report: &Report, now: Millis) {
        let serving = report.running.iter().filter_map(|row| {
            let spec = self.jobs.get(&row.task.job)?.spec(&row.task)?;
            let target = spec.serving_target()?;
            Some(Latency {
                measured: row.load?,
                target: target.0,
            })
        });
        let serving: Vec<Latency> = serving.collect();
        let bounds = ThrottleBounds {
            apply_delay: self.bounds.pace,
            violation_limit: self.bounds.harm,
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let before = worker.throttle.share();
        worker.throttle.update(&serving, bounds, now);
        let share = worker.throttle.share();
        if share != before {
            self.log(
                None,
                format!("share of best-effort tasks on {id} changed from {before}% to {share}%"),
            );
        }
    }

    /// Whether serving and best-effort tasks share a worker; it is then polled more often.
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

    /// Requests that set the share of best-effort tasks: new ones, and those due to be repeated.
    pub fn throttle_requests(&mut self, now: Millis) -> Vec<ThrottleRequest> {
        let mut out = Vec::new();
        for (id, worker) in &self.workers {
            let percent = worker.throttle.share();
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
                let is_due = open
                    .share_requested
                    .is_none_or(|at| now.since(at) >= REPEAT_AFTER);
                if open.share == Some(percent) || !is_due {
                    continue;
                }
                open.share_requested = Some(now);
                out.push(ThrottleRequest {
                    task: task.clone(),
                    run: open.run,
                    percent,
                    worker: id.clone(),
                    address: worker.entry.address,
                    fence: worker.fence,
                });
            }
        }
        out
    }

    /// Records that a worker has accepted a request that sets a share.
    pub fn throttle_accepted(&mut self, request: &ThrottleRequest) {
        if !self.is_open(&request.task, request.run, &request.worker) {
            return;
        }
        let job = self.jobs.get_mut(&request.task.job);
        let task = job.and_then(|j| j.task_mut(&request.task));
        if let Some(open) = task.and_then(|t| t.open.as_mut()) {
            open.share = Some(request.percent);
            open.share_requested = None;
        }
    }
}
