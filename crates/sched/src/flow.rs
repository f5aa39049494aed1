//! Stages of an attempt: from its placement to the end of its tasks, and take-over.

use std::mem;

use base::GangPlan;
use base::JobId;
use base::WorkerId;

use crate::coord::Coordinator;
use crate::coord::Role;
use crate::job::Job;
use crate::job::Stage;
use crate::job::TaskState;
use crate::job::Why;
use crate::message::Report;
use crate::message::StopWhy;
use crate::record::JobPhase;

impl Coordinator {
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
            self.touched.insert(place.worker);
        }
    }

    /// Ends take-over once every worker answered or had its time.
    pub(crate) fn try_ready(&mut self) {
        let Role::Takeover { since, synced } = self.role else {
            return;
        };
        let late = self.now >= since + self.timing.takeover_within;
        let heard = self.workers.values().all(|w| w.accepted || !w.listed);
        if !synced || !(late || heard) {
            return;
        }
        self.role = Role::Ready;
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.reconcile(&id);
        }
        self.read_early();
        self.tell(Report::Ready);
        self.dirty.extend(self.active.iter().cloned());
        self.touched.extend(self.workers.keys().cloned());
    }

    fn read_early(&mut self) {
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if worker.accepted {
                let reports = mem::take(&mut worker.early);
                self.absorb(&id, &reports);
            } else if worker.listed {
                worker.silent = true;
                self.tell(Report::WorkerSilent(id));
            }
        }
    }

    /// Takes responsibility for a job as its record says.
    pub(crate) fn reconcile(&mut self, id: &JobId) {
        let now = self.now;
        let bound = now + self.timing.inherited();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(plan) = job.rec.plan().cloned() else {
            if job.rec.cancel {
                self.active.insert(id.clone());
                self.dirty.insert(id.clone());
            }
            return self.tell_queued(id);
        };
        let released = job.is_released();
        job.set_plan(plan.clone());
        job.inherited = true;
        job.begun = now;
        job.stage = if released { Stage::Run } else { Stage::Stop };
        job.why = (!released).then_some(Why::Abort);
        for task in &mut job.tasks {
            task.sent = true;
            task.begun = released;
            task.bound = bound;
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
        self.tell(report);
        self.index(id);
        self.active.insert(id.clone());
        self.dirty.insert(id.clone());
    }

    /// Enters the tasks of a job in the lists of their workers.
    pub(crate) fn index(&mut self, id: &JobId) {
        for worker in self.places(id) {
            self.add_worker(&worker).jobs.insert(id.clone());
        }
    }

    fn places(&self, id: &JobId) -> Vec<WorkerId> {
        let tasks = self.jobs.get(id).map(|j| j.tasks.iter());
        let workers = tasks.into_iter().flatten().map(|t| t.place.worker.clone());
        workers.collect()
    }

    /// Leaves what is left of an attempt to the clean-up of its workers.
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
            if task.sent {
                let active = !task.is_quiet(now);
                worker.add_orphan(task.key, active, now);
            }
            self.touched.insert(task.place.worker);
        }
        job.reset();
    }

    pub(crate) fn tell_queued(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let report = Report::Queue {
            spec: Box::new(job.rec.spec.clone()),
            attempt: job.rec.attempt.next(),
            submitted: job.rec.submitted,
            saved: job.rec.saved,
        };
        self.tell(report);
    }

    pub(crate) fn take_plan(&mut self, mut plan: GangPlan) {
        let id = plan.job.clone();
        let blame = self.unusable(&plan);
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
        job.begun = now;
        job.stage = Stage::Wait;
        self.active.insert(id.clone());
        self.dirty.insert(id.clone());
        if let Some(workers) = blame {
            self.stop(&id, Why::Abort, workers);
        }
    }

    /// The workers for which a plan cannot be carried out; `None` if it can.
    fn unusable(&self, plan: &GangPlan) -> Option<Vec<WorkerId>> {
        let job = self.jobs.get(&plan.job)?;
        let whole = plan.places.len() == job.rec.spec.shape.tasks as usize;
        let ordered = (0..).zip(&plan.places).all(|(i, p)| p.task == i);
        let known = |w: &WorkerId| self.workers.get(w).is_some_and(|w| w.accepted && !w.probe);
        let workers = plan.places.iter().map(|p| p.worker.clone());
        let blame: Vec<WorkerId> = workers.filter(|w| !known(w)).collect();
        (!whole || !ordered || !blame.is_empty()).then_some(blame)
    }

    pub(crate) fn take_stops(&mut self, jobs: &[JobId], checkpoint: bool, why: &StopWhy) {
        if self.role != Role::Ready {
            return;
        }
        for id in jobs {
            self.take_stop(id, checkpoint, why);
        }
    }

    fn take_stop(&mut self, id: &JobId, checkpoint: bool, why: &StopWhy) {
        let until = self.now + self.timing.save_within;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.active.insert(id.clone());
        self.dirty.insert(id.clone());
        let saves = checkpoint && job.rec.spec.checkpoint && job.stage == Stage::Run;
        if saves && *why != StopWhy::Cancel {
            job.why = Some(Why::Request(why.clone()));
            job.stage = Stage::Save { until };
            job.tasks.iter_mut().for_each(|t| t.kept = false);
            return;
        }
        self.stop(id, Why::Request(why.clone()), Vec::new());
    }

    /// Ends the attempt of a job. The first reason stands, unless it is cancelled later.
    pub(crate) fn stop(&mut self, id: &JobId, why: Why, blame: Vec<WorkerId>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let cancels = why == Why::Request(StopWhy::Cancel);
        if job.stage == Stage::Settle {
            return;
        }
        if job.why.is_none() || cancels {
            job.why = Some(why);
        }
        if matches!(job.why, Some(Why::Abort)) && job.stage != Stage::Stop {
            let report = Report::Aborted {
                job: id.clone(),
                blame: blame.clone(),
            };
            job.blame = blame;
            job.stage = Stage::Stop;
            self.tell(report);
        } else {
            job.blame.extend(blame);
            job.stage = Stage::Stop;
        }
        self.active.insert(id.clone());
        self.dirty.insert(id.clone());
    }

    pub(crate) fn advance_dirty(&mut self) {
        if self.role != Role::Ready {
            return self.dirty.clear();
        }
        while let Some(id) = self.dirty.pop_first() {
            self.touched.extend(self.places(&id));
            while self.advance(&id) {}
            self.touched.extend(self.places(&id));
        }
    }

    /// Moves a job on by one stage if it is due. Tells whether it moved.
    fn advance(&mut self, id: &JobId) -> bool {
        if !self.active.contains(id) {
            return false;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        Coordinator::apply_cancel(job);
        if let Some(why) = unfinished(job) {
            self.stop(id, why, Vec::new());
            return true;
        }
        match job.stage {
            Stage::Queued => false,
            Stage::Wait => self.advance_wait(id),
            Stage::Claim => self.advance_claim(id),
            Stage::Reserve { .. } => self.advance_reserve(id),
            Stage::Commit { .. } => self.advance_commit(id),
            Stage::Start { .. } => self.advance_start(id),
            Stage::Run => self.advance_run(id),
            Stage::Save { .. } => self.advance_save(id),
            Stage::Stop => self.advance_stop(id),
            Stage::Settle => self.advance_settle(id),
        }
    }

    fn advance_wait(&mut self, id: &JobId) -> bool {
        if self.out {
            self.stop(id, Why::Abort, Vec::new());
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
        job.stage = Stage::Claim;
        let mut record = job.rec.clone();
        record.attempt = plan.attempt;
        record.phase = JobPhase::Starting { plan };
        self.write(id, record);
        true
    }

    fn advance_claim(&mut self, id: &JobId) -> bool {
        let until = self.now + self.timing.reserve_within;
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
        self.index(id);
        true
    }
}

/// The reason to end an attempt that was asked for before its tasks were being ended.
fn unfinished(job: &Job) -> Option<Why> {
    let ending = matches!(job.stage, Stage::Stop | Stage::Settle);
    let saving = matches!(job.stage, Stage::Save { .. });
    let cancels = job.why == Some(Why::Request(StopWhy::Cancel));
    let over = |t: &crate::job::Task| t.state == TaskState::Finished;
    let finished = !job.tasks.is_empty() && job.tasks.iter().all(over);
    if ending || finished || (saving && !cancels) {
        return None;
    }
    job.why.clone()
}
