//! The coordinator: inputs, role and invariants. See the other modules for each concern.

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
use crate::timing::Faults;
use crate::timing::Timing;
use crate::worker::Worker;

quick_error! {
    /// An invariant that does not hold.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// A worker's list of jobs differs from the tasks.
        Index(worker: WorkerId) {
            display("the job index of worker {worker} is wrong")
        }
        /// A job that cannot be repeated is started after it may have run.
        Repeated(job: JobId) {
            display("job {job} is started again after it may have run")
        }
        /// A task was reserved or started before its record was durable.
        Unrecorded(job: JobId) {
            display("job {job} is ahead of its durable record")
        }
    }
}

/// The part that the coordinator plays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    /// Does not hold the lock.
    Idle,
    /// Reads back what runs.
    Takeover { since: Millis, synced: bool },
    /// Acts.
    Ready,
}

/// Carries out the placements of one failure domain under an epoch.
#[derive(Clone, Debug)]
pub struct Coordinator {
    pub(crate) domain: DomainId,
    pub(crate) timing: Timing,
    pub(crate) faults: Faults,
    pub(crate) now: Millis,
    pub(crate) role: Role,
    pub(crate) epoch: Epoch,
    pub(crate) permit: Millis,
    pub(crate) out: bool,
    pub(crate) doubt: bool,
    pub(crate) last_op: u64,
    pub(crate) last_call: CallId,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs with an attempt.
    pub(crate) active: BTreeSet<JobId>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Jobs to look at in this step.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Workers to call in this step, if they are due.
    pub(crate) touched: BTreeSet<WorkerId>,
    /// Writes held back by the rate limit; those of starts go first.
    pub(crate) outbox: [VecDeque<JobId>; 2],
    pub(crate) tokens: u64,
    pub(crate) refilled: Millis,
    pub(crate) actions: Vec<Action>,
}

impl Coordinator {
    /// A coordinator of `domain` that does not hold the lock yet.
    pub fn new(domain: DomainId, timing: Timing) -> Coordinator {
        Coordinator::with_faults(domain, timing, Faults::default())
    }

    /// A coordinator with mechanisms switched off, for tests that show what they are for.
    pub fn with_faults(domain: DomainId, timing: Timing, faults: Faults) -> Coordinator {
        Coordinator {
            domain,
            timing,
            faults,
            now: Millis::ZERO,
            role: Role::Idle,
            epoch: Epoch(0),
            permit: Millis::ZERO,
            out: false,
            doubt: false,
            last_op: 0,
            last_call: CallId(0),
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            workers: BTreeMap::new(),
            dirty: BTreeSet::new(),
            touched: BTreeSet::new(),
            outbox: Default::default(),
            tokens: 0,
            refilled: Millis::ZERO,
            actions: Vec::new(),
        }
    }

    /// Whether take-over is finished and the coordinator acts.
    pub fn is_ready(&self) -> bool {
        self.role == Role::Ready
    }

    /// The epoch under which it acts, if it holds the lock.
    pub fn epoch(&self) -> Option<Epoch> {
        (self.role != Role::Idle).then_some(self.epoch)
    }

    /// Number of jobs without an outcome, and of those with an attempt.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.active.len())
    }

    /// Takes in one input at a time that does not decrease and returns what is to be done.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        self.take_in(input);
        if self.role != Role::Idle {
            self.try_ready();
            self.advance_dirty();
            self.send_writes();
            self.send_calls();
        }
        mem::take(&mut self.actions)
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Deposed => self.depose(None),
            Input::DomainOut(out) => self.set_out(out),
            Input::Doubt(doubt) => self.set_doubt(doubt),
            Input::Elected { epoch } => self.elect(epoch),
            Input::Erased(job) => self.erase(&job),
            Input::Permit { until } => self.set_permit(until),
            Input::Plan(plan) => self.take_plan(plan),
            Input::Records(list) => self.take_records(list),
            Input::Reply {
                call,
                worker,
                result,
            } => self.take_reply(call, &worker, result),
            Input::Stop {
                jobs,
                checkpoint,
                why,
            } => self.take_stops(&jobs, checkpoint, &why),
            Input::Synced => self.set_synced(),
            Input::Throttle { job, percent } => self.throttle(&job, percent),
            Input::Tick => self.tick(),
            Input::Workers(list) => self.take_workers(list),
            Input::Wrote { job, op, result } => self.take_wrote(&job, op, result),
        }
    }

    fn tick(&mut self) {
        self.touch_all();
        self.expire_calls();
        self.expire_writes();
    }

    fn set_out(&mut self, out: bool) {
        self.out = out;
        self.touch_all();
    }

    fn set_doubt(&mut self, doubt: bool) {
        self.doubt = doubt;
        self.touch_all();
    }

    fn set_permit(&mut self, until: Millis) {
        self.permit = until;
        self.touch_all();
    }

    fn touch_all(&mut self) {
        self.dirty.extend(self.active.iter().cloned());
        self.touched.extend(self.workers.keys().cloned());
    }

    fn throttle(&mut self, id: &JobId, percent: u8) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.percent = percent.clamp(1, 100);
            self.dirty.insert(id.clone());
        }
    }

    /// Whether a gang may be started now.
    pub(crate) fn can_start(&self) -> bool {
        let proved = !self.out && !self.doubt && self.now < self.permit;
        self.role == Role::Ready && (proved || self.faults.ignore_permit)
    }

    fn elect(&mut self, epoch: Epoch) {
        if epoch <= self.epoch {
            return;
        }
        self.clear();
        self.epoch = epoch;
        self.doubt = false;
        self.role = Role::Takeover {
            since: self.now,
            synced: false,
        };
        self.tokens = self.timing.write_rate * 1000;
        self.refilled = self.now;
        self.touch_all();
    }

    /// Stops acting. Everything that runs is left to the leases and the next coordinator.
    pub(crate) fn depose(&mut self, by: Option<Epoch>) {
        if self.role == Role::Idle {
            return;
        }
        self.role = Role::Idle;
        self.clear();
        self.tell(Report::Deposed { by });
    }

    fn clear(&mut self) {
        for job in self.jobs.values_mut() {
            job.reset();
        }
        let domain = &self.domain;
        let kept = |rec: &JobRecord| !rec.is_done() && rec.domain == *domain;
        self.jobs.retain(|_, job| kept(&job.rec));
        for worker in self.workers.values_mut() {
            worker.reset(self.now);
        }
        self.active.clear();
        self.dirty.clear();
        self.outbox = Default::default();
    }

    fn take_workers(&mut self, list: Vec<WorkerId>) {
        let listed: BTreeSet<WorkerId> = list.into_iter().collect();
        for (id, worker) in &mut self.workers {
            worker.listed = listed.contains(id);
        }
        let idle = |w: &Worker| !w.listed && w.jobs.is_empty() && w.call.is_none();
        self.workers.retain(|_, w| !idle(w));
        for id in listed {
            self.add_worker(&id).listed = true;
            self.touched.insert(id);
        }
    }

    pub(crate) fn add_worker(&mut self, id: &WorkerId) -> &mut Worker {
        let now = self.now;
        let fresh = || Worker {
            heard: now,
            ..Worker::default()
        };
        self.workers.entry(id.clone()).or_insert_with(fresh)
    }

    fn take_records(&mut self, list: Vec<(JobRecord, Revision)>) {
        for (rec, rev) in list {
            self.take_record(rec, rev);
        }
    }

    pub(crate) fn tell(&mut self, report: Report) {
        self.actions.push(Action::Tell(report));
    }

    /// Checks the invariants.
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
    let settling = matches!(job.stage, Stage::Stop | Stage::Settle);
    if job.tasks.iter().any(|t| t.sent) && !recorded && !settling {
        return Err(Violation::Unrecorded(id.clone()));
    }
    if !job.inherited && job.tasks.iter().any(|t| t.begun) && !released && !settling {
        return Err(Violation::Unrecorded(id.clone()));
    }
    let starting = matches!(job.stage, Stage::Claim | Stage::Reserve { .. });
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
