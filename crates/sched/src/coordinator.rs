//! State of the coordinator, dispatch of its inputs, and the invariants that tests check.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::mem;

use base::DomainId;
use base::Epoch;
use base::JobId;
use base::Millis;
use base::Revision;
use base::WorkerId;
use quick_error::quick_error;

use crate::job::Job;
use crate::job::Stage;
use crate::message::Action;
use crate::message::CallId;
use crate::message::Input;
use crate::message::Report;
use crate::record::JobPhase;
use crate::record::JobRecord;
use crate::timing::SafetyOverrides;
use crate::timing::Timing;
use crate::worker::Worker;

quick_error! {
    /// A broken invariant of the coordinator.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// A job has a task on a worker whose job index does not list the job.
        Index(worker: WorkerId) {
            display("the job index of worker {worker} lacks a job with a task there")
        }
        /// A job that is not restartable is started again although it may have run.
        Repeated(job: JobId) {
            display("job {job} is started again although it may have run and is not restartable")
        }
        /// A task was reserved or started before the record that allows it was durable.
        Unrecorded(job: JobId) {
            display("job {job} has tasks that its durable record does not allow yet")
        }
    }
}

/// Role of the coordinator in its failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    /// Does not hold the lock.
    Idle,
    /// Holds the lock and collects the state of records and workers; sends no operations yet.
    Takeover {
        since: Millis,
        /// Whether all records as of some time after the election were delivered.
        synced: bool,
    },
    /// Holds the lock and manages jobs.
    Ready,
}

/// Carries out the placements of one failure domain under an epoch. It does no I/O: the host
/// calls [`Coordinator::step`] with inputs and carries out the actions returned.
#[derive(Clone, Debug)]
pub struct Coordinator {
    pub(crate) domain: DomainId,
    pub(crate) timing: Timing,
    pub(crate) overrides: SafetyOverrides,
    pub(crate) now: Millis,
    pub(crate) role: Role,
    pub(crate) epoch: Epoch,
    /// Starts are permitted until this time: the settings are proved to be the newest until then.
    pub(crate) permit_until: Millis,
    /// Whether the failure domain is out of service.
    pub(crate) domain_out: bool,
    /// Whether the lease of the lock may have expired.
    pub(crate) lock_suspect: bool,
    /// Operation id of the last write.
    pub(crate) last_op: u64,
    pub(crate) last_call: CallId,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs with an attempt, a stop request or a cancellation to carry out.
    pub(crate) active: BTreeSet<JobId>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Jobs to advance in this step.
    pub(crate) dirty_jobs: BTreeSet<JobId>,
    /// Workers to call in this step if a call is due.
    pub(crate) dirty_workers: BTreeSet<WorkerId>,
    /// Jobs whose write waits for the rate limit: starts first, then all others.
    pub(crate) write_queues: [VecDeque<JobId>; 2],
    /// Tokens of the write rate limit, in thousandths of a write.
    pub(crate) tokens: u64,
    /// When the tokens were last refilled.
    pub(crate) refilled: Millis,
    pub(crate) actions: Vec<Action>,
}

impl Coordinator {
    /// A coordinator of `domain` that does not hold the lock yet.
    pub fn new(domain: DomainId, timing: Timing) -> Coordinator {
        Coordinator::with_overrides(domain, timing, SafetyOverrides::default())
    }

    /// A coordinator with safety mechanisms switched off. Tests use it to show which violation
    /// each mechanism prevents.
    pub fn with_overrides(
        domain: DomainId,
        timing: Timing,
        overrides: SafetyOverrides,
    ) -> Coordinator {
        Coordinator {
            domain,
            timing,
            overrides,
            now: Millis::ZERO,
            role: Role::Idle,
            epoch: Epoch(0),
            permit_until: Millis::ZERO,
            domain_out: false,
            lock_suspect: false,
            last_op: 0,
            last_call: CallId(0),
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            workers: BTreeMap::new(),
            dirty_jobs: BTreeSet::new(),
            dirty_workers: BTreeSet::new(),
            write_queues: Default::default(),
            tokens: 0,
            refilled: Millis::ZERO,
            actions: Vec::new(),
        }
    }

    /// Whether take-over is finished and the coordinator manages jobs.
    pub fn is_ready(&self) -> bool {
        self.role == Role::Ready
    }

    /// The current epoch, if the coordinator holds the lock.
    pub fn epoch(&self) -> Option<Epoch> {
        (self.role != Role::Idle).then_some(self.epoch)
    }

    /// Number of jobs without an outcome, and of those among them with an attempt or a stop
    /// request.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.active.len())
    }

    /// Processes one input and returns the actions for the host. `now` is the time of a
    /// monotonic clock; an earlier one than before counts as the time before.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        self.handle_input(input);
        if self.role != Role::Idle {
            self.try_finish_takeover();
            self.advance_jobs();
            self.send_writes();
            self.send_calls();
        }
        mem::take(&mut self.actions)
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Deposed => self.depose(None),
            Input::DomainOut(out) => self.set_domain_out(out),
            Input::LockSuspect(suspect) => self.set_lock_suspect(suspect),
            Input::Elected { epoch } => self.elect(epoch),
            Input::RecordDeleted(job) => self.remove_job(&job),
            Input::Permit { until } => self.set_permit(until),
            Input::Plan(plan) => self.handle_plan(plan),
            Input::Records(list) => self.handle_records(list),
            Input::Reply {
                call,
                worker,
                result,
            } => self.handle_reply(call, &worker, result),
            Input::Stop {
                jobs,
                checkpoint,
                cause,
            } => self.handle_stops(&jobs, checkpoint, &cause),
            Input::Synced => self.set_synced(),
            Input::Throttle { job, percent } => self.throttle(&job, percent),
            Input::Tick => self.tick(),
            Input::Workers(list) => self.handle_workers(list),
            Input::Wrote { job, op, result } => self.handle_wrote(&job, op, result),
        }
    }

    fn tick(&mut self) {
        self.mark_all_dirty();
        self.expire_calls();
        self.expire_writes();
    }

    fn set_domain_out(&mut self, out: bool) {
        self.domain_out = out;
        self.mark_all_dirty();
    }

    fn set_lock_suspect(&mut self, suspect: bool) {
        self.lock_suspect = suspect;
        self.mark_all_dirty();
    }

    fn set_permit(&mut self, until: Millis) {
        self.permit_until = until;
        self.mark_all_dirty();
    }

    fn mark_all_dirty(&mut self) {
        self.dirty_jobs.extend(self.active.iter().cloned());
        self.dirty_workers.extend(self.workers.keys().cloned());
    }

    fn throttle(&mut self, id: &JobId, percent: u8) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.percent = percent.clamp(1, 100);
            self.dirty_jobs.insert(id.clone());
        }
    }

    /// Whether a gang may be started now.
    pub(crate) fn can_start(&self) -> bool {
        let permitted = !self.domain_out && !self.lock_suspect && self.now < self.permit_until;
        self.role == Role::Ready && (permitted || self.overrides.ignore_permit)
    }

    fn elect(&mut self, epoch: Epoch) {
        if epoch <= self.epoch {
            return;
        }
        self.clear();
        self.epoch = epoch;
        self.lock_suspect = false;
        self.role = Role::Takeover {
            since: self.now,
            synced: false,
        };
        self.tokens = self.timing.write_rate * 1000;
        self.refilled = self.now;
        self.mark_all_dirty();
    }

    /// Gives up the role. Running tasks stay as they are, until the next coordinator adopts
    /// them or their leases expire.
    pub(crate) fn depose(&mut self, by: Option<Epoch>) {
        if self.role == Role::Idle {
            return;
        }
        self.role = Role::Idle;
        self.clear();
        self.notify(Report::Deposed { by });
    }

    fn clear(&mut self) {
        for job in self.jobs.values_mut() {
            job.reset();
        }
        let domain = &self.domain;
        let responsible = |rec: &JobRecord| !rec.is_done() && rec.domain == *domain;
        self.jobs.retain(|_, job| responsible(&job.rec));
        for worker in self.workers.values_mut() {
            worker.reset(self.now);
        }
        self.active.clear();
        self.dirty_jobs.clear();
        self.write_queues = Default::default();
    }

    fn handle_workers(&mut self, list: Vec<WorkerId>) {
        let listed: BTreeSet<WorkerId> = list.into_iter().collect();
        for (id, worker) in &mut self.workers {
            worker.listed = listed.contains(id);
        }
        let idle = |w: &Worker| !w.listed && w.jobs.is_empty() && w.call.is_none();
        self.workers.retain(|_, w| !idle(w));
        for id in listed {
            self.add_worker(&id).listed = true;
            self.dirty_workers.insert(id);
        }
    }

    pub(crate) fn add_worker(&mut self, id: &WorkerId) -> &mut Worker {
        let now = self.now;
        let fresh = || Worker {
            last_heard: now,
            ..Worker::default()
        };
        self.workers.entry(id.clone()).or_insert_with(fresh)
    }

    fn handle_records(&mut self, list: Vec<(JobRecord, Revision)>) {
        for (rec, rev) in list {
            self.handle_record(rec, rev);
        }
    }

    pub(crate) fn notify(&mut self, report: Report) {
        self.actions.push(Action::Notify(report));
    }

    /// Checks the invariants on the job records and the job index of the workers.
    pub fn check(&self) -> Result<(), Violation> {
        for (id, job) in &self.jobs {
            check_record(id, job)?;
            check_index(self, id, job)?;
        }
        Ok(())
    }
}

fn check_record(id: &JobId, job: &Job) -> Result<(), Violation> {
    let attempt = job.rec.plan().map(|p| p.attempt);
    let planned = job.plan.as_ref().map(|p| p.attempt);
    let recorded = attempt.is_some() && attempt == planned;
    let released = recorded && matches!(job.rec.phase, JobPhase::Running { .. });
    let ending = matches!(job.stage, Stage::Stop | Stage::Finalise);
    if job.tasks.iter().any(|t| t.reserve_sent) && !recorded && !ending {
        return Err(Violation::Unrecorded(id.clone()));
    }
    if !job.inherited && job.tasks.iter().any(|t| t.start_sent) && !released && !ending {
        return Err(Violation::Unrecorded(id.clone()));
    }
    let starting = matches!(job.stage, Stage::Record | Stage::Reserve { .. });
    if starting && job.rec.ran && !job.is_restartable() {
        return Err(Violation::Repeated(id.clone()));
    }
    Ok(())
}

fn check_index(coord: &Coordinator, id: &JobId, job: &Job) -> Result<(), Violation> {
    for task in &job.tasks {
        let worker = coord.workers.get(&task.place.worker);
        if !worker.is_some_and(|w| w.jobs.contains(id)) {
            return Err(Violation::Index(task.place.worker.clone()));
        }
    }
    Ok(())
}
