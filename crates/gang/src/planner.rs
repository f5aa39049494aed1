//! The planner: all decisions on which job runs where, and when.

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
use crate::health::Health;
use crate::hold::Hold;
use crate::job::Job;
use crate::job::Phase;
use crate::policy::Departure;
use crate::policy::Policy;
use crate::queue::Queue;
use crate::site::Key;
use crate::site::Service;
use crate::site::Site;
use crate::witness::units;
use crate::witness::Book;

/// What an organisation uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Accelerators of active and claiming jobs.
    pub used: Accels,
    /// Those of them outside of its guarantees.
    pub borrowed: Accels,
}

/// Which waiting jobs are looked at after an input.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Wake {
    /// All.
    All,
    /// None.
    #[default]
    None,
    /// One that was just submitted.
    One(Key),
}

/// Decides on the jobs of one coordinator. It does no I/O and reads no clock: it is told what
/// happened and answers with what is to be done. The order of its decisions depends only on
/// the inputs.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) policy: Policy,
    pub(crate) site: Site,
    pub(crate) book: Book,
    pub(crate) jobs: BTreeMap<Key, Job>,
    pub(crate) ids: Map<JobId, Key>,
    pub(crate) queue: Queue,
    pub(crate) estimates: Estimates,
    pub(crate) holds: Vec<Hold>,
    pub(crate) health: Health,
    pub(crate) claims: BTreeSet<Key>,
    pub(crate) usage: BTreeMap<OrgId, Usage>,
    pub(crate) permit: bool,
    pub(crate) now: Millis,
    pub(crate) short: Vec<u32>,
    pub(crate) wake: Wake,
    pub(crate) actions: Vec<Action>,
    pub(crate) passed: Millis,
    next: Key,
}

impl Planner {
    /// A planner without workers and jobs. The policy should have passed [`Policy::check`].
    pub fn new(policy: Policy) -> Planner {
        let mut planner = Planner {
            policy: Policy::default(),
            site: Site::default(),
            book: Book::default(),
            jobs: BTreeMap::new(),
            ids: Map::default(),
            queue: Queue::default(),
            estimates: Estimates::default(),
            holds: Vec::new(),
            health: Health::default(),
            claims: BTreeSet::new(),
            usage: BTreeMap::new(),
            permit: false,
            now: Millis::ZERO,
            short: Vec::new(),
            wake: Wake::None,
            actions: Vec::new(),
            passed: Millis::ZERO,
            next: 0,
        };
        planner.set_policy(policy);
        planner
    }

    /// Takes note of an input and decides what is to be done.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        self.handle(input);
        self.start_ready();
        self.pass();
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
            Input::Permit(on) => self.set_permit(on),
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
            Input::WorkerDown(id) => self.worker_gone(&id, Service::Down),
            Input::WorkerLeaving(id) => self.worker_gone(&id, Service::Leaving),
            Input::WorkerUp(spec) => self.worker_up(spec),
        }
    }

    pub(crate) fn next_key(&mut self) -> Key {
        self.next += 1;
        self.next
    }

    /// A job by its id.
    pub(crate) fn key(&self, id: &JobId) -> Option<Key> {
        self.ids.get(id).copied()
    }

    fn tick(&mut self) {
        self.probe_workers();
        self.press_victims();
        if self.now.since(self.passed) >= REPASS {
            self.wake = Wake::All;
        }
    }

    fn set_permit(&mut self, on: bool) {
        if on && !self.permit {
            self.wake = Wake::All;
            self.permit = on;
            self.refuse_waiting();
        }
        self.permit = on;
    }

    fn set_policy(&mut self, policy: Policy) {
        for unit in 0..self.book.units.len() {
            self.clear_unit(unit);
        }
        self.book.units = units(&mut self.site, &policy.guarantees);
        self.short = vec![0; policy.guarantees.len()];
        self.policy = policy;
        self.bound_isolation();
        self.rebind();
        self.refuse_waiting();
        self.wake = Wake::All;
    }

    fn worker_up(&mut self, spec: WorkerSpec) {
        let known = self.site.find(&spec.id);
        if known.is_some_and(|w| self.site.workers[w].service == Service::Up) {
            return;
        }
        self.site.add(spec);
        self.rebind();
        self.wake = Wake::All;
    }

    fn worker_gone(&mut self, id: &WorkerId, service: Service) {
        let Some(w) = self.site.find(id) else { return };
        if self.site.workers[w].service == Service::Down || self.site.workers[w].service == service
        {
            return;
        }
        self.site.workers[w].service = service;
        self.clear_worker(w);
        for key in self.jobs_on(w) {
            self.leave_worker(key, service);
        }
        self.rebind();
        self.wake = Wake::All;
    }

    fn leave_worker(&mut self, key: Key, service: Service) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        match job.phase {
            Phase::Claiming => self.requeue(key),
            Phase::Starting => self.stop(key, StopReason::Worker, false),
            Phase::Running if service == Service::Down => {
                self.stop(key, StopReason::Worker, job.spec.checkpoint);
            }
            Phase::Running if job.spec.checkpoint => self.stop(key, StopReason::Worker, true),
            Phase::Queued | Phase::Running | Phase::Stopping => {}
        }
    }

    fn domain_out(&mut self, id: &DomainId) {
        let d = self.site.domain(id);
        if self.site.domains[d].out {
            return;
        }
        self.site.domains[d].out = true;
        for unit in 0..self.book.units.len() {
            if self.book.units[unit].domain == d {
                self.clear_unit(unit);
            }
        }
        let all: Vec<Key> = self.jobs.keys().copied().collect();
        for key in all {
            self.leave_domain(key, d);
        }
        self.rebind();
        self.release_stranded();
        self.wake = Wake::All;
    }

    /// Takes a job out of a domain that is out of service, as far as settings want that.
    pub(crate) fn leave_domain(&mut self, key: Key, domain: usize) {
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
        let Some(d) = self.site.find_domain(id) else {
            return;
        };
        let domain = &mut self.site.domains[d];
        if !domain.out {
            return;
        }
        domain.out = false;
        domain.back = Some(self.now);
        domain.starts = 0;
        self.rebind();
        self.wake = Wake::All;
    }

    /// The active and claiming jobs on a worker.
    pub(crate) fn jobs_on(&self, w: usize) -> Vec<Key> {
        let on = |job: &Job| job.places.iter().any(|p| p.worker == w);
        let jobs = self.jobs.iter().filter(|(_, job)| on(job));
        jobs.map(|(key, _)| *key).collect()
    }
}

/// Longest time between two looks at all waiting jobs while time passes.
const REPASS: Millis = Millis::from_secs(10);
