//! The planner's state and the inputs that change workers, failure domains and settings.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Accels;
use base::DomainId;
use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::WorkerId;
use base::WorkerSpec;

use crate::estimate::Estimates;
use crate::event::Action;
use crate::event::Input;
use crate::event::StopReason;
use crate::guarantees::unassigned_gangs;
use crate::guarantees::GuaranteeTable;
use crate::health::Health;
use crate::job::Job;
use crate::job::Phase;
use crate::policy::Departure;
use crate::policy::Policy;
use crate::queue::Queue;
use crate::reservation::Reservation;
use crate::site::JobKey;
use crate::site::Site;
use crate::site::WorkerState;

/// Accelerators that an organisation uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Of active and claiming jobs.
    pub used: Accels,
    /// Those of `used` that are not on its own guarantees.
    pub borrowed: Accels,
}

/// Waiting jobs to consider at the end of a step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Scan {
    All,
    #[default]
    None,
    /// Only a job that was just submitted.
    One(JobKey),
}

/// Schedules the jobs of one coordinator. It does no I/O and reads no clock: [`Planner::step`]
/// takes an input and the time, and returns the actions to carry out. The same inputs always
/// give the same actions.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) policy: Policy,
    pub(crate) site: Site,
    /// Guaranteed gangs of `policy` and the places assigned to them.
    pub(crate) table: GuaranteeTable,
    pub(crate) jobs: BTreeMap<JobKey, Job>,
    pub(crate) ids: Map<JobId, JobKey>,
    pub(crate) queue: Queue,
    pub(crate) estimates: Estimates,
    pub(crate) reservations: Vec<Reservation>,
    pub(crate) health: Health,
    /// Jobs in [`Phase::Claiming`].
    pub(crate) claims: BTreeSet<JobKey>,
    pub(crate) usage: BTreeMap<OrgId, Usage>,
    pub(crate) starts_allowed: bool,
    pub(crate) now: Millis,
    /// For each guarantee, the number of missing gangs that was reported last.
    pub(crate) reported_missing: Vec<u32>,
    pub(crate) scan: Scan,
    /// Actions of the current step.
    pub(crate) actions: Vec<Action>,
    /// When a pass last considered all waiting jobs.
    pub(crate) last_pass: Millis,
    last_key: JobKey,
}

impl Planner {
    /// A planner without workers and jobs. The policy must have passed [`Policy::check`].
    /// Nothing starts before [`Input::AllowStarts`].
    pub fn new(policy: Policy) -> Planner {
        let mut planner = Planner {
            policy: Policy::default(),
            site: Site::default(),
            table: GuaranteeTable::default(),
            jobs: BTreeMap::new(),
            ids: Map::default(),
            queue: Queue::default(),
            estimates: Estimates::default(),
            reservations: Vec::new(),
            health: Health::default(),
            claims: BTreeSet::new(),
            usage: BTreeMap::new(),
            starts_allowed: false,
            now: Millis::ZERO,
            reported_missing: Vec::new(),
            scan: Scan::None,
            actions: Vec::new(),
            last_pass: Millis::ZERO,
            last_key: 0,
        };
        planner.set_policy(policy);
        planner
    }

    /// Applies an input, schedules waiting jobs and returns the actions to carry out, in order.
    /// If `now` is earlier than in the step before, that time is used again.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        self.handle(input);
        self.start_ready();
        self.run_pass();
        std::mem::take(&mut self.actions)
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Aborted { job, blame } => self.aborted(&job, blame),
            Input::Adopt {
                spec,
                plan,
                since,
                saved,
            } => self.adopt(spec, &plan, since, saved),
            Input::Cancel(jobs) => self.cancel(&jobs),
            Input::DomainBack(id) => self.domain_back(&id),
            Input::DomainOut(id) => self.domain_out(&id),
            Input::Ended { job, how } => self.ended(&job, how),
            Input::AllowStarts(allowed) => self.set_starts_allowed(allowed),
            Input::Policy(policy) => self.set_policy(policy),
            Input::Progress { job, saved } => self.progress(&job, saved),
            Input::Running { job } => self.running(&job),
            Input::Submit {
                spec,
                at,
                attempt,
                saved,
            } => self.submit(spec, at, attempt, saved),
            Input::Tick => self.tick(),
            Input::WorkerDown(id) => self.worker_unavailable(&id, WorkerState::Down),
            Input::WorkerLeaving(id) => self.worker_unavailable(&id, WorkerState::Leaving),
            Input::WorkerUp(spec) => self.worker_up(spec),
        }
    }

    pub(crate) fn next_key(&mut self) -> JobKey {
        self.last_key += 1;
        self.last_key
    }

    pub(crate) fn key(&self, id: &JobId) -> Option<JobKey> {
        self.ids.get(id).copied()
    }

    fn tick(&mut self) {
        self.probe_workers();
        self.repeat_late_stops();
        if self.now.since(self.last_pass) >= MAX_PASS_INTERVAL {
            self.scan = Scan::All;
        }
    }

    fn set_starts_allowed(&mut self, allowed: bool) {
        if allowed && !self.starts_allowed {
            self.scan = Scan::All;
            self.starts_allowed = allowed;
            self.refuse_waiting();
        }
        self.starts_allowed = allowed;
    }

    fn set_policy(&mut self, policy: Policy) {
        for gang in 0..self.table.gangs.len() {
            self.unassign_gang(gang);
        }
        self.table.gangs = unassigned_gangs(&mut self.site, &policy.guarantees);
        self.reported_missing = vec![0; policy.guarantees.len()];
        self.policy = policy;
        self.enforce_isolation_limit();
        self.rebind();
        self.refuse_waiting();
        self.scan = Scan::All;
    }

    fn worker_up(&mut self, spec: WorkerSpec) {
        if let Some(w) = self.site.worker_index(&spec.id) {
            let has_changed = self.site.workers[w].has_changed(&spec);
            if has_changed {
                self.change_capacity(w, &spec);
            } else if self.site.workers[w].state == WorkerState::Up {
                return;
            }
        }
        self.site.add(spec);
        self.rebind();
        self.scan = Scan::All;
    }

    /// Gives up what is planned on a worker, whose capacity has changed. What runs there goes on.
    fn change_capacity(&mut self, w: usize, spec: &WorkerSpec) {
        self.unassign_worker(w);
        for key in self.jobs_on(w) {
            if self
                .jobs
                .get(&key)
                .is_some_and(|j| j.phase == Phase::Claiming)
            {
                self.requeue(key);
            }
        }
        self.site.workers[w].set_capacity(spec);
        self.enforce_isolation_limit();
    }

    fn worker_unavailable(&mut self, id: &WorkerId, state: WorkerState) {
        let Some(w) = self.site.worker_index(id) else {
            return;
        };
        if self.site.workers[w].state == WorkerState::Down || self.site.workers[w].state == state {
            return;
        }
        self.site.workers[w].state = state;
        self.unassign_worker(w);
        for key in self.jobs_on(w) {
            self.stop_on_worker(key, state);
        }
        self.rebind();
        self.scan = Scan::All;
    }

    fn stop_on_worker(&mut self, key: JobKey, state: WorkerState) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        match job.phase {
            Phase::Claiming => self.requeue(key),
            Phase::Starting => self.stop(key, StopReason::Worker, false),
            Phase::Running if state == WorkerState::Down => {
                self.stop(key, StopReason::Worker, job.spec.checkpoint);
            }
            Phase::Running if job.spec.checkpoint => self.stop(key, StopReason::Worker, true),
            Phase::Queued | Phase::Running | Phase::Stopping => {}
        }
    }

    fn domain_out(&mut self, id: &DomainId) {
        let d = self.site.ensure_domain(id);
        if self.site.domains[d].out {
            return;
        }
        self.site.domains[d].out = true;
        for gang in 0..self.table.gangs.len() {
            if self.table.gangs[gang].domain == d {
                self.unassign_gang(gang);
            }
        }
        let all: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in all {
            self.stop_in_domain(key, d);
        }
        self.rebind();
        self.release_stranded();
        self.scan = Scan::All;
    }

    /// Stops or requeues a job in a failure domain that is out of service, as
    /// [`Policy::departure`] says.
    pub(crate) fn stop_in_domain(&mut self, key: JobKey, domain: usize) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let Some(place) = job.places.first() else {
            return;
        };
        if self.site.workers[place.worker].domain != domain {
            return;
        }
        let moves = self.policy.departure == Departure::Move && job.spec.is_stoppable();
        match job.phase {
            Phase::Claiming => self.requeue(key),
            Phase::Starting => self.stop(key, StopReason::DomainOut, false),
            Phase::Running if moves => self.stop(key, StopReason::DomainOut, job.spec.checkpoint),
            Phase::Queued | Phase::Running | Phase::Stopping => {}
        }
    }

    fn domain_back(&mut self, id: &DomainId) {
        let Some(d) = self.site.domain_index(id) else {
            return;
        };
        let domain = &mut self.site.domains[d];
        if !domain.out {
            return;
        }
        domain.out = false;
        domain.returned = Some(self.now);
        domain.paced_starts = 0;
        self.rebind();
        self.scan = Scan::All;
    }

    /// Active and claiming jobs with a task on the worker.
    pub(crate) fn jobs_on(&self, w: usize) -> Vec<JobKey> {
        let on_worker = |job: &Job| job.places.iter().any(|p| p.worker == w);
        let jobs = self.jobs.iter().filter(|(_, job)| on_worker(job));
        jobs.map(|(key, _)| *key).collect()
    }
}

/// Longest time between two passes over all waiting jobs.
const MAX_PASS_INTERVAL: Millis = Millis::from_secs(10);
