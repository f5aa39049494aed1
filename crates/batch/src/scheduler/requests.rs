//! Requests to workers: what is recorded before they are sent, and how responses are processed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::Fence;
use base::JobId;
use base::Millis;
use base::Set;
use base::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use super::Scheduler;
use crate::account::Loss;
use crate::account::LossCause;
use crate::bounds::with_clock_drift;
use crate::bounds::CALL_LIFE;
use crate::job::JobPhase;
use crate::job::RunPhase;
use crate::record::Progress;
use crate::spec::RunNumber;
use crate::spec::StepId;
use crate::spec::TaskId;
use crate::worker::Contact;
use crate::worker::EndedRun;

/// Pause before a step is retried after a start was refused or not answered.
const STEP_PAUSE: Millis = Millis(100);

/// Pause before a worker that refused a start or did not answer one gets another.
const WORKER_PAUSE: Millis = Millis(1_000);

/// A request to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartRequest {
    /// The task to start.
    pub task: TaskId,
    /// Number of the new run.
    pub run: RunNumber,
    /// Id of the worker.
    pub worker: WorkerId,
    /// Incarnation of the worker that the run was planned on (its start as Unix time).
    pub born: u64,
    /// Address of the worker.
    pub address: SocketAddr,
    /// The job's opaque text.
    pub spec: String,
    /// Saved progress to continue from; empty if there is none.
    pub saved: String,
    /// The adviser's ticket for this step on this worker; empty if none is needed.
    pub ticket: String,
    /// End of the lease, as a reading of the worker's clock.
    pub deadline: u64,
    /// Fencing token; the worker refuses requests with a lower one than it has seen.
    pub fence: Fence,
    /// When the start was planned.
    pub planned_at: Millis,
}

/// A poll of a worker, which also renews its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct PollRequest {
    /// Address of the worker.
    pub address: SocketAddr,
    /// New end of the lease, as a reading of the worker's clock; `None` does not renew it.
    pub deadline: Option<u64>,
    /// Acknowledges ended runs up to this number, whose effect is stored.
    pub acked_end: u64,
    /// Longest time that the worker may hold the response back while no run ends.
    pub wait: Millis,
    /// Fencing token; the worker refuses requests with a lower one than it has seen.
    pub fence: Fence,
}

/// An end of a run that a worker has listed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeenEnd {
    /// Id of the worker.
    pub worker: WorkerId,
    /// The end.
    pub end: EndedRun,
}

/// Records to store, and the start requests that may be sent once they are.
#[derive(Clone, Debug, Default)]
pub struct PendingWrite {
    /// Progress of each changed job.
    pub records: Vec<(JobId, Progress)>,
    pub(super) starts: Vec<StartRequest>,
    pub(super) ends: Vec<(WorkerId, u64, u64)>,
    pub(super) seen: Vec<SeenEnd>,
}

impl PendingWrite {
    /// Whether there is no record to store.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Response to a start request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartResponse {
    /// The run has started. Holds a reading of the worker's clock.
    Accepted(u64),
    /// The run has started, and an earlier request for it has no answer and may still be carried out.
    /// Holds a reading of the worker's clock.
    Repeated(u64),
    /// Refused: a later coordinator has sent requests to the worker.
    Fenced,
    /// Permanently refused: the ticket is not valid.
    NoTicket,
    /// Permanently refused. Holds the reason.
    Refused(String),
    /// Not answered: the run may have started or may still start. Holds the error.
    Unknown(String),
}

impl Scheduler {
    /// Takes all changes that have to be stored. They are then passed to
    /// [`Scheduler::records_stored`] or, if the write failed, to [`Scheduler::requeue`].
    pub fn take_pending(&mut self) -> PendingWrite {
        self.trace_urgent();
        let dirty = std::mem::take(&mut self.dirty).into_iter();
        let (aside, ids): (BTreeSet<JobId>, BTreeSet<JobId>) =
            dirty.partition(|id| self.is_aside(id));
        self.dirty = aside;
        let unstored = std::mem::take(&mut self.unstored).into_iter();
        let (kept, seen): (Vec<SeenEnd>, _) =
            unstored.partition(|s| self.is_aside(&s.end.task.job));
        let held: Set<WorkerId> = kept.iter().map(|s| s.worker.clone()).collect();
        self.unstored = kept;
        let records = ids.into_iter().filter_map(|id| {
            let progress = Progress::from(self.jobs.get(&id)?);
            Some((id, progress))
        });
        let records: Vec<(JobId, Progress)> = records.collect();
        records.iter().for_each(|(id, _)| {
            self.answers.0.remove(id);
        });
        self.storing = records.iter().map(|(id, _)| id.clone()).collect();
        let ends = self
            .workers
            .iter()
            .filter(|(id, w)| w.reported_end > w.stored_end && !held.contains(id));
        let ends = ends
            .map(|(id, w)| (id.clone(), w.born, w.reported_end))
            .collect();
        PendingWrite {
            records,
            starts: std::mem::take(&mut self.planned),
            ends,
            seen,
        }
    }

    /// For each step of a job, whether it is a gang.
    pub fn gang_steps(&self, id: &JobId) -> Vec<bool> {
        let steps = self.jobs.get(id).map(|job| &job.submitted.work.steps);
        steps.map_or(Vec::new(), |steps| steps.iter().map(|s| s.gang).collect())
    }

    /// Queues the records again after the write failed or its outcome is unknown.
    pub fn requeue(&mut self, pending: PendingWrite) {
        self.storing.clear();
        self.dirty
            .extend(pending.records.into_iter().map(|(id, _)| id));
        self.planned.splice(0..0, pending.starts);
        self.unstored.splice(0..0, pending.seen);
    }

    /// Takes the ends whose effect is not stored, for the next coordinator.
    pub fn take_unstored(&mut self) -> Vec<SeenEnd> {
        std::mem::take(&mut self.unstored)
    }

    /// Processes a successful write. Returns the start requests that may now be sent.
    pub fn records_stored(&mut self, pending: PendingWrite, now: Millis) -> Vec<StartRequest> {
        self.storing.clear();
        for (id, born, end) in pending.ends {
            let worker = self.workers.get_mut(&id).filter(|w| w.born == born);
            if let Some(worker) = worker {
                worker.stored_end = worker.stored_end.max(end);
            }
        }
        let mut invalid: Vec<StepId> = Vec::new();
        for start in &pending.starts {
            let step = start.task.step_id();
            let obstacle = self.obstacle(start, now);
            if let Some(why) = obstacle.filter(|_| !invalid.contains(&step)) {
                let text = format!("starts of step {step} are taken back: {why}");
                self.log(Some(&step.job), text);
                invalid.push(step);
            }
        }
        let mut out = Vec::with_capacity(pending.starts.len());
        for mut start in pending.starts {
            let gang = self.is_gang(&start.task);
            let invalid = invalid.contains(&start.task.step_id());
            if invalid && (gang || self.obstacle(&start, now).is_some()) {
                self.cancel_start(&start, now);
                continue;
            }
            let Some((deadline, fence)) = self.renew(&start.worker, now) else {
                self.cancel_start(&start, now);
                continue;
            };
            start.deadline = deadline;
            start.fence = fence;
            self.mark_sent(&start, now);
            out.push(start);
        }
        out
    }

    /// Takes back start requests that have not been sent. Their tasks are planned again.
    pub fn withdraw(&mut self, starts: Vec<StartRequest>, now: Millis) {
        for start in starts {
            self.cancel_start(&start, now);
        }
    }

    pub(super) fn is_gang(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.spec(task)).is_some_and(|s| s.gang)
    }

    fn mark_sent(&mut self, start: &StartRequest, now: Millis) {
        let job = self.jobs.get_mut(&start.task.job);
        if let Some(open) = job
            .and_then(|j| j.task_mut(&start.task))
            .and_then(|t| t.open.as_mut())
        {
            open.phase = RunPhase::Sent;
            open.fence = start.fence;
            open.adrift.send(now);
        }
    }

    /// Extends a worker's lease from `now`. Returns its new end as a reading of the worker's clock, and
    /// the worker's fencing token.
    fn renew(&mut self, id: &WorkerId, now: Millis) -> Option<(u64, Fence)> {
        let lease = self.times.worker_lease;
        let worker = self.workers.get_mut(id)?;
        let deadline = worker.clock_at(now)?.saturating_add(lease.0);
        worker.lease_end = worker.lease_end.max(now + with_clock_drift(lease));
        Some((deadline, worker.fence))
    }

    /// The next poll of a worker. `renew` is whether the coordinator may still extend leases.
    pub fn poll(&mut self, id: &WorkerId, renew: bool, now: Millis) -> Option<PollRequest> {
        self.renew_contact(id, now);
        let worker = self.workers.get(id)?;
        // The lease of a worker that does not answer is left to expire, so that its tasks can start
        // elsewhere.
        // The first poll with a higher token must do no harm late: it is not followed by a higher one if it fails.
        let is_raised = matches!(worker.contact, Contact::Raised(_));
        let answering = worker.has_answered && !worker.unresponsive && !is_raised;
        let deadline = match renew && answering {
            true => self.renew(id, now).map(|(deadline, _)| deadline),
            false => None,
        };
        let worker = self.workers.get(id)?;
        // A worker that did not answer the last poll may have restarted. It then numbers its ended
        // runs from the start again, and acknowledging a number of the earlier incarnation would
        // make it drop ended runs that have not been reported yet.
        let acked_end = match answering {
            true => worker.acknowledgeable(now),
            false => 0,
        };
        let wait = match worker.contact {
            _ if !answering => Millis::ZERO,
            // There is no higher token yet.
            Contact::Lost => self.times.gather_time,
            Contact::Raised(_) => Millis::ZERO,
            Contact::Settled if self.is_shared(id) => self.times.shared_wait,
            Contact::Settled => self.times.poll_wait,
        };
        Some(PollRequest {
            address: worker.entry.address,
            deadline,
            acked_end,
            wait,
            fence: worker.fence,
        })
    }

    /// Records a poll without a report. Nothing is placed on the worker until it sends one.
    pub fn poll_failed(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unresponsive = true;
            worker.lose_contact();
        }
    }

    /// Processes the response to a start request.
    pub fn start_response(&mut self, request: &StartRequest, response: StartResponse, now: Millis) {
        if !self.is_open(&request.task, request.run, &request.worker) {
            return;
        }
        match response {
            StartResponse::Accepted(clock) => self.accepted(request, clock, false, now),
            StartResponse::Repeated(clock) => self.accepted(request, clock, true, now),
            // The worker has seen a higher token of this coordinator since.
            StartResponse::Fenced if self.is_outdated(request) => {
                self.unanswered(request, "fenced by a later request", now);
            }
            StartResponse::Fenced => self.fenced = true,
            StartResponse::NoTicket => {
                let step = request.task.step_id();
                self.advice.drop_ticket(&step, &request.worker);
                self.close_refused(request, now);
            }
            StartResponse::Refused(why) => self.refused(request, &why, now),
            StartResponse::Unknown(why) => self.unanswered(request, &why, now),
        }
    }

    /// Whether the worker's fencing token was raised since a request to it was sent.
    fn is_outdated(&self, request: &StartRequest) -> bool {
        let worker = self.workers.get(&request.worker);
        worker.is_none_or(|w| w.fence > request.fence)
    }

    fn accepted(&mut self, request: &StartRequest, clock: u64, is_repeated: bool, now: Millis) {
        let task = &request.task;
        let worker = self.workers.get(&request.worker);
        if worker.is_some_and(|w| w.has_restarted(clock, now)) {
            self.note_restart(&request.worker, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let gang = job.spec(task).is_some_and(|s| s.gang);
        let Some(open) = job.task_mut(task).and_then(|t| t.open.as_mut()) else {
            return;
        };
        open.seen_at = Some(now);
        match is_repeated {
            true => open.adrift.lose(now + CALL_LIFE),
            false => open.adrift.answer(),
        }
        open.unanswered = 0;
        if request.saved.is_empty() && !gang {
            open.meter.begin(clock, now);
        }
        match open.phase {
            RunPhase::Adrift => return self.stop_adrift(task),
            RunPhase::Stopping => {}
            _ => {
                open.phase = RunPhase::Running;
                open.absent_after = Some(clock);
            }
        }
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            self.dirty.insert(task.job.clone());
        }
        if self.answers.0.is_empty() {
            self.answers.1 = now;
        }
        self.answers.0.insert(task.job.clone());
        if let Some(step) = job.step_mut(task) {
            step.unstarted_since = None;
            // Also a run that ends before it is next looked for was running.
            step.idle_since = None;
        }
    }

    fn refused(&mut self, request: &StartRequest, why: &str, now: Millis) {
        let task = &request.task;
        self.log(
            Some(&task.job),
            format!(
                "{} refused to start run {} of {task}: {why}",
                request.worker, request.run
            ),
        );
        self.pause_worker(&request.worker, now);
        self.pause_step(task, now);
        self.close_refused(request, now);
    }

    /// Closes a run whose start is refused, unless an earlier request for it may still be carried out.
    fn close_refused(&mut self, request: &StartRequest, now: Millis) {
        let task = &request.task;
        let state = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task));
        let Some(open) = state.and_then(|t| t.open.as_mut()) else {
            return;
        };
        open.adrift.answer();
        let loss = Loss::new(LossCause::Refused);
        match (open.adrift.is_any(now), self.is_gang(task)) {
            (true, false) => self.await_repeat(task, now),
            (true, true) => {
                self.stop_run(task, loss.clone());
                self.break_gang(task, request.run, &loss);
            }
            (false, _) => {
                self.close_lost(task, LossCause::Refused, now);
                self.break_gang(task, request.run, &loss);
            }
        }
    }

    fn unanswered(&mut self, request: &StartRequest, why: &str, now: Millis) {
        let task = &request.task;
        self.log(
            Some(&task.job),
            format!(
                "{} did not answer the start of run {} of {task}: {why}",
                request.worker, request.run
            ),
        );
        self.pause_worker(&request.worker, now);
        self.pause_step(task, now);
        self.note_unanswered(task, now);
        self.await_repeat(task, now);
    }

    fn pause_worker(&mut self, id: &WorkerId, now: Millis) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.not_before = worker.not_before.max(now + WORKER_PAUSE);
        }
    }

    fn pause_step(&mut self, task: &TaskId, now: Millis) {
        if let Some(step) = self.jobs.get_mut(&task.job).and_then(|j| j.step_mut(task)) {
            step.not_before = now + STEP_PAUSE;
        }
    }
}
