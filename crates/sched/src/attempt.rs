//! Take-over, placements, stop requests, and the stages of an attempt before it has tasks on
//! workers.

use std::mem;

use base::GangPlan;
use base::JobId;
use base::WorkerId;

use crate::coordinator::Coordinator;
use crate::coordinator::Role;
use crate::job::EndReason;
use crate::job::Job;
use crate::job::Stage;
use crate::job::TaskState;
use crate::message::Report;
use crate::message::StopCause;
use crate::record::JobPhase;

impl Coordinator {
    /// Notes that all records are known, and adds the workers of all recorded placements, which the
    /// platform may no longer list.
    pub(crate) fn set_synced(&mut self) {
        if let Role::Takeover { synced, .. } = &mut self.role {
            *synced = true;
        }
        if self.role == Role::Idle {
            return;
        }
        let planned = |j: &Job| j.rec.plan().map(|p| p.places.clone());
        let places: Vec<_> = self.jobs.values().filter_map(planned).flatten().collect();
        for place in places {
            self.add_worker(&place.worker);
            self.dirty_workers.insert(place.worker);
        }
    }

    /// Ends take-over once every listed worker has accepted the epoch or the time-out has passed.
    pub(crate) fn try_finish_takeover(&mut self) {
        let Role::Takeover { since, synced } = self.role else {
            return;
        };
        let timed_out = self.now >= since + self.timing.takeover_timeout;
        let answered = self.workers.values().all(|w| w.accepted || !w.listed);
        if !synced || !(timed_out || answered) {
            return;
        }
        self.role = Role::Ready;
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.reconcile(&id);
        }
        self.apply_early_reports();
        self.notify(Report::Ready);
        self.dirty_jobs.extend(self.active.iter().cloned());
        self.dirty_workers.extend(self.workers.keys().cloned());
    }

    /// Applies what workers reported during take-over, and reports the others as silent.
    fn apply_early_reports(&mut self) {
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if worker.accepted {
                let reports = mem::take(&mut worker.early_reports);
                self.apply_reports(&id, &reports);
            } else if worker.listed {
                worker.silent = true;
                self.notify(Report::WorkerSilent(id));
            }
        }
    }

    /// Takes responsibility for a job: queues it, adopts its released attempt, or stops an attempt
    /// that a former coordinator did not release.
    pub(crate) fn reconcile(&mut self, id: &JobId) {
        let now = self.now;
        let active_until = now + self.timing.max_inherited();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(plan) = job.rec.plan().cloned() else {
            if job.rec.cancel {
                self.active.insert(id.clone());
                self.dirty_jobs.insert(id.clone());
            }
            return self.notify_queued(id);
        };
        let released = job.is_released();
        job.set_plan(plan.clone());
        job.inherited = true;
        job.active_since = now;
        job.stage = if released { Stage::Run } else { Stage::Stop };
        job.end_reason = (!released).then_some(EndReason::Abort);
        for task in &mut job.tasks {
            task.reserve_sent = true;
            task.start_sent = released;
            task.active_until = active_until;
        }
        let since = match job.rec.phase {
            JobPhase::Running { since, .. } => since,
            _ => now,
        };
        let report = Report::Adopted {
            spec: Box::new(job.rec.spec.clone()),
            plan,
            since,
            saved: job.rec.saved,
        };
        self.notify(report);
        self.index_workers(id);
        self.active.insert(id.clone());
        self.dirty_jobs.insert(id.clone());
    }

    /// Adds a job to the job index of the workers that have its tasks.
    pub(crate) fn index_workers(&mut self, id: &JobId) {
        for worker in self.task_workers(id) {
            self.add_worker(&worker).jobs.insert(id.clone());
        }
    }

    fn task_workers(&self, id: &JobId) -> Vec<WorkerId> {
        let tasks = self.jobs.get(id).map(|j| j.tasks.iter());
        let workers = tasks.into_iter().flatten().map(|t| t.place.worker.clone());
        workers.collect()
    }

    /// Drops an attempt. Tasks that workers may still hold become orphans.
    pub(crate) fn drop_attempt(&mut self, id: &JobId) {
        let now = self.now;
        self.active.remove(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for task in mem::take(&mut job.tasks) {
            let Some(worker) = self.workers.get_mut(&task.place.worker) else {
                continue;
            };
            worker.jobs.remove(id);
            if task.reserve_sent {
                let active = !task.is_inactive(now);
                worker.add_orphan(task.key, active, now);
            }
            self.dirty_workers.insert(task.place.worker);
        }
        job.reset();
    }

    pub(crate) fn notify_queued(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let report = Report::Queued {
            spec: Box::new(job.rec.spec.clone()),
            attempt: job.rec.attempt.next(),
            submitted: job.rec.submitted,
            saved: job.rec.saved,
        };
        self.notify(report);
    }

    pub(crate) fn handle_plan(&mut self, mut plan: GangPlan) {
        let id = plan.job.clone();
        let blame = self.unusable_workers(&plan);
        let now = self.now;
        let ready = self.role == Role::Ready;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !ready || job.stage != Stage::Queued || self.active.contains(&id) {
            return;
        }
        plan.attempt = job.rec.attempt.next();
        job.plan = Some(plan);
        job.active_since = now;
        job.stage = Stage::AwaitPermit;
        self.active.insert(id.clone());
        self.dirty_jobs.insert(id.clone());
        if let Some(workers) = blame {
            self.stop(&id, EndReason::Abort, workers);
        }
    }

    /// `None` if the plan can be carried out; otherwise the workers that prevent it, which are
    /// none if the plan itself does not fit the job.
    fn unusable_workers(&self, plan: &GangPlan) -> Option<Vec<WorkerId>> {
        let job = self.jobs.get(&plan.job)?;
        let complete = plan.places.len() == job.rec.spec.shape.tasks as usize;
        let ordered = (0..).zip(&plan.places).all(|(i, p)| p.task == i);
        let usable = |w: &WorkerId| self.workers.get(w).is_some_and(|w| w.accepted && !w.probe);
        let workers = plan.places.iter().map(|p| p.worker.clone());
        let blame: Vec<WorkerId> = workers.filter(|w| !usable(w)).collect();
        (!complete || !ordered || !blame.is_empty()).then_some(blame)
    }

    pub(crate) fn handle_stops(&mut self, jobs: &[JobId], checkpoint: bool, cause: &StopCause) {
        if self.role != Role::Ready {
            return;
        }
        for id in jobs {
            self.request_stop(id, checkpoint, cause);
        }
    }

    fn request_stop(&mut self, id: &JobId, checkpoint: bool, cause: &StopCause) {
        let until = self.now + self.timing.checkpoint_timeout;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.active.insert(id.clone());
        self.dirty_jobs.insert(id.clone());
        let checkpoints = checkpoint && job.rec.spec.checkpoint && job.stage == Stage::Run;
        if checkpoints && *cause != StopCause::Cancel {
            job.end_reason = Some(EndReason::Request(cause.clone()));
            job.stage = Stage::Checkpoint { until };
            job.tasks.iter_mut().for_each(|t| t.checkpointed = false);
            return;
        }
        self.stop(id, EndReason::Request(cause.clone()), Vec::new());
    }

    /// Stops the attempt of a job. The first reason is kept, unless a cancellation follows.
    pub(crate) fn stop(&mut self, id: &JobId, reason: EndReason, blame: Vec<WorkerId>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let cancels = reason == EndReason::Request(StopCause::Cancel);
        if job.stage == Stage::Finalise {
            return;
        }
        if job.end_reason.is_none() || cancels {
            job.end_reason = Some(reason);
        }
        if matches!(job.end_reason, Some(EndReason::Abort)) && job.stage != Stage::Stop {
            let report = Report::Aborted {
                job: id.clone(),
                blame: blame.clone(),
            };
            job.blame = blame;
            job.stage = Stage::Stop;
            self.notify(report);
        } else {
            job.blame.extend(blame);
            job.stage = Stage::Stop;
        }
        self.active.insert(id.clone());
        self.dirty_jobs.insert(id.clone());
    }

    /// Advances every dirty job as far as possible and marks the workers of its tasks as dirty.
    pub(crate) fn advance_jobs(&mut self) {
        if self.role != Role::Ready {
            return self.dirty_jobs.clear();
        }
        while let Some(id) = self.dirty_jobs.pop_first() {
            self.dirty_workers.extend(self.task_workers(&id));
            while self.advance(&id) {}
            self.dirty_workers.extend(self.task_workers(&id));
        }
    }

    /// Advances a job by at most one stage and returns whether its stage changed.
    fn advance(&mut self, id: &JobId) -> bool {
        if !self.active.contains(id) {
            return false;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        Coordinator::apply_cancel(job);
        if let Some(reason) = requested_end(job) {
            self.stop(id, reason, Vec::new());
            return true;
        }
        match job.stage {
            Stage::Queued => false,
            Stage::AwaitPermit => self.advance_await_permit(id),
            Stage::Record => self.advance_record(id),
            Stage::Reserve { .. } => self.advance_reserve(id),
            Stage::Commit { .. } => self.advance_commit(id),
            Stage::Start { .. } => self.advance_start(id),
            Stage::Run => self.advance_run(id),
            Stage::Checkpoint { .. } => self.advance_checkpoint(id),
            Stage::Stop => self.advance_stop(id),
            Stage::Finalise => self.advance_finalise(id),
        }
    }

    fn advance_await_permit(&mut self, id: &JobId) -> bool {
        if self.domain_out {
            self.stop(id, EndReason::Abort, Vec::new());
            return true;
        }
        if !self.can_start() {
            return false;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(plan) = job.plan.clone() else {
            return false;
        };
        job.stage = Stage::Record;
        let mut record = job.rec.clone();
        record.attempt = plan.attempt;
        record.phase = JobPhase::Starting { plan };
        self.write(id, record);
        true
    }

    fn advance_record(&mut self, id: &JobId) -> bool {
        let until = self.now + self.timing.reserve_timeout;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(plan) = job.plan.clone() else {
            return false;
        };
        if job.write.is_some() {
            return false;
        }
        job.set_plan(plan);
        job.stage = Stage::Reserve { until };
        self.index_workers(id);
        true
    }
}

/// The reason to stop an attempt, if a stop was requested and is not yet in progress.
fn requested_end(job: &Job) -> Option<EndReason> {
    let ending = matches!(job.stage, Stage::Stop | Stage::Finalise);
    let checkpointing = matches!(job.stage, Stage::Checkpoint { .. });
    let cancels = job.end_reason == Some(EndReason::Request(StopCause::Cancel));
    let finished = |t: &crate::job::Task| t.state == TaskState::Finished;
    let finished = !job.tasks.is_empty() && job.tasks.iter().all(finished);
    if ending || finished || (checkpointing && !cancels) {
        return None;
    }
    job.end_reason.clone()
}
