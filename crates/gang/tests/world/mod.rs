//! Simulated site that carries out a planner's actions and checks them from outside.
#![allow(
    dead_code,
    reason = "the test and the soak example each use some of these"
)]

mod ops;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Accels;
use base::Attempt;
use base::Bytes;
use base::Cores;
use base::DomainId;
use base::GangPlan;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::Shape;
use base::Spread;
use base::WorkerSpec;
use gang::Action;
use gang::Departure;
use gang::Ended;
use gang::Guarantee;
use gang::Input;
use gang::OrgPolicy;
use gang::Planner;
use gang::Policy;

#[allow(unused_imports, reason = "only the soak example minimises a list")]
pub use ops::minimise;
pub use ops::Op;

/// Number of failure domains, racks in each and workers in each rack.
const SITE_SIZE: (u32, u32, u32) = (2, 2, 3);

const ORGS: [&str; 3] = ["a", "b", "c"];

/// Most jobs that have not ended.
const MAX_JOBS: usize = 40;

/// State of a job in the simulation.
#[derive(Clone, Debug)]
pub struct SimJob {
    pub spec: JobSpec,
    pub attempt: Attempt,
    pub saved: Millis,
    pub plan: Option<GangPlan>,
    pub since: Millis,
    pub running: bool,
    pub stopping: bool,
    /// Attempts that were reported as running.
    pub run_count: u32,
}

pub struct World {
    pub planner: Planner,
    pub now: Millis,
    pub policy: Policy,
    pub workers: Vec<(WorkerSpec, bool)>,
    pub out: BTreeSet<DomainId>,
    pub jobs: BTreeMap<JobId, SimJob>,
    pub starts_allowed: bool,
    pub submitted: u64,
    pub failure: Option<String>,
}

pub fn worker(d: u32, r: u32, i: u32) -> WorkerSpec {
    let accels = if (d + r + i) % 5 == 4 { 4 } else { 8 };
    WorkerSpec {
        id: format!("d{d}/r{r}/w{i}").parse().unwrap(),
        domain: format!("d{d}").parse().unwrap(),
        rack: format!("d{d}/r{r}").parse().unwrap(),
        accels: Accels(accels),
        cores: Cores(32),
        memory: Bytes(64),
    }
}

pub fn shape(n: u32) -> Shape {
    let list = [
        (1, 1, 2, Spread::Domain),
        (1, 2, 4, Spread::Domain),
        (1, 4, 0, Spread::Domain),
        (1, 8, 8, Spread::Worker),
        (2, 8, 0, Spread::Rack),
        (3, 4, 4, Spread::Rack),
        (4, 8, 8, Spread::Domain),
        (2, 3, 1, Spread::Worker),
        (6, 2, 2, Spread::Domain),
        (3, 0, 6, Spread::Domain),
        (1, 5, 0, Spread::Domain),
        (2, 8, 30, Spread::Domain),
    ];
    let (tasks, accels, cores, spread) = list[n as usize % list.len()];
    Shape {
        tasks,
        accels: Accels(accels),
        cores: Cores(cores),
        memory: Bytes(u64::from(cores)),
        spread,
    }
}

pub fn policy(n: u32) -> Policy {
    let guarantee = |org: &str, domain: &str, shape: u32, count: u32| Guarantee {
        org: org.parse().unwrap(),
        domain: domain.parse().unwrap(),
        shape: self::shape(shape),
        count,
    };
    let quota = |i: usize| (n % 3 == 2 && i == 2).then_some(Accels(24));
    let org = |(i, name): (usize, &&str)| {
        let policy = OrgPolicy {
            weight: 1 + i as u32,
            quota: quota(i),
        };
        (name.parse().unwrap(), policy)
    };
    let mut guarantees = vec![
        guarantee("a", "d0", 4, 1),
        guarantee("b", "d0", 3, 1),
        guarantee("b", "d1", 5, 1),
        guarantee("c", "d0", 1, 2),
        guarantee("a", "d1", 9, 2),
    ];
    guarantees.truncate(5 - (n as usize % 4));
    Policy {
        orgs: ORGS.iter().enumerate().map(org).collect(),
        guarantees,
        departure: [Departure::Finish, Departure::Move][n as usize % 2],
        isolation: [20, 0, 10][n as usize % 3],
        ..Policy::default()
    }
}

impl World {
    pub fn new() -> World {
        let mut world = World {
            planner: Planner::new(policy(0)),
            now: Millis::from_secs(1),
            policy: policy(0),
            workers: Vec::new(),
            out: BTreeSet::new(),
            jobs: BTreeMap::new(),
            starts_allowed: true,
            submitted: 0,
            failure: None,
        };
        for i in 0..SITE_SIZE.0 * SITE_SIZE.1 * SITE_SIZE.2 {
            let spec = worker(
                i / (SITE_SIZE.1 * SITE_SIZE.2),
                i / SITE_SIZE.2 % SITE_SIZE.1,
                i % SITE_SIZE.2,
            );
            world.workers.push((spec.clone(), true));
            world.step(Input::WorkerUp(spec));
        }
        world.step(Input::AllowStarts(true));
        world
    }

    /// Passes an input to the planner, carries out the actions and checks the invariants.
    pub fn step(&mut self, input: Input) {
        let actions = self.planner.step(self.now, input);
        for action in actions {
            self.apply(action);
        }
        if let Err(violation) = self.planner.check() {
            self.fail(violation.to_string());
        }
        if self.planner.job_count() != self.jobs.len() {
            self.fail("the planner and the simulation hold different numbers of jobs".to_string());
        }
    }

    pub fn fail(&mut self, failure: String) {
        self.failure.get_or_insert(failure);
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Start(plan) => self.start(plan),
            Action::Stop { job, .. } => match self.jobs.get_mut(&job) {
                Some(sim_job) if sim_job.plan.is_some() => sim_job.stopping = true,
                _ => self.fail(format!("stop of {job}, which is not active")),
            },
            Action::Refuse { job, .. } => match self.jobs.remove(&job) {
                Some(sim_job) if sim_job.run_count == 0 && sim_job.plan.is_none() => {}
                _ => self.fail(format!("refusal of {job}, which has run")),
            },
            Action::Cancelled { job } | Action::Fail { job, .. } => self.remove_job(&job),
            Action::Release { job, .. } => self.remove_job(&job),
            Action::GuaranteeMet { .. }
            | Action::Isolate(_)
            | Action::Probe(_)
            | Action::Restore(_)
            | Action::GuaranteeShort { .. } => {}
        }
    }

    fn remove_job(&mut self, job: &JobId) {
        match self.jobs.remove(job) {
            Some(sim_job) if sim_job.plan.is_none() => {}
            _ => self.fail(format!("outcome of {job}, which is active or unknown")),
        }
    }

    fn start(&mut self, plan: GangPlan) {
        if let Some(failure) = self.start_failure(&plan) {
            self.fail(failure);
            return;
        }
        let now = self.now;
        if let Some(sim_job) = self.jobs.get_mut(&plan.job) {
            sim_job.attempt = plan.attempt;
            sim_job.plan = Some(plan);
            sim_job.since = now;
            sim_job.running = false;
            sim_job.stopping = false;
        }
    }

    /// Why a start order is wrong, judged by the simulated site alone.
    fn start_failure(&self, plan: &GangPlan) -> Option<String> {
        let job = &plan.job;
        let sim_job = match self.jobs.get(job) {
            Some(sim_job) if sim_job.plan.is_none() => sim_job,
            _ => return Some(format!("start of {job}, which is active or unknown")),
        };
        if plan.attempt < sim_job.attempt {
            return Some(format!("{job} started with an earlier attempt number"));
        }
        if sim_job.run_count > 0 && !sim_job.spec.is_stoppable() {
            return Some(format!("{job} started twice"));
        }
        if !self.starts_allowed {
            return Some(format!("{job} started while starts are forbidden"));
        }
        for place in &plan.places {
            let up = self
                .workers
                .iter()
                .find(|(w, up)| *up && w.id == place.worker);
            if up.is_none_or(|(w, _)| self.out.contains(&w.domain)) {
                return Some(format!(
                    "{job} started on a worker or in a failure domain out of service"
                ));
            }
            let mut taken = self.jobs.values().filter_map(|j| j.plan.as_ref());
            let hits = |p: &base::TaskPlace| {
                p.worker == place.worker
                    && p.first < place.first + place.count.0
                    && place.first < p.first + p.count.0
            };
            if taken.any(|p| p.places.iter().any(hits)) {
                return Some(format!("{job} started on accelerators in use"));
            }
        }
        None
    }

    /// Checks that each organisation without jobs can start all its guaranteed gangs, except
    /// those reported as short. Runs on a copy of the planner.
    pub fn check_guarantees(&mut self) {
        if !self.starts_allowed {
            return;
        }
        let mut planner = self.planner.clone();
        let status = planner.status();
        let short: Vec<usize> = status.shortfalls.iter().map(|s| s.guarantee).collect();
        let mut unstarted = BTreeSet::new();
        let mut actions = Vec::new();
        for (i, guarantee) in self.policy.guarantees.iter().enumerate() {
            let org = status.orgs.get(&guarantee.org).copied().unwrap_or_default();
            if short.contains(&i) || org.queued + org.active > 0 {
                continue;
            }
            for n in 0..guarantee.count {
                let id: JobId = format!("claim-{i}-{n}").parse().unwrap();
                unstarted.insert(id.clone());
                let mut spec = self.spec(id, guarantee.shape, 0);
                spec.org = guarantee.org.clone();
                spec.domain = Some(guarantee.domain.clone());
                actions.extend(planner.step(self.now, submit(spec, self.now)));
            }
        }
        self.run_until_idle(&mut planner, actions, &mut unstarted);
        if !unstarted.is_empty() {
            self.fail(format!("guaranteed gangs did not start: {unstarted:?}"));
        }
    }

    /// Reports each stopping job as ended until no more actions follow.
    fn run_until_idle(
        &self,
        planner: &mut Planner,
        first: Vec<Action>,
        unstarted: &mut BTreeSet<JobId>,
    ) {
        let mut pending = first;
        for (id, _) in self.jobs.iter().filter(|(_, j)| j.stopping) {
            let how = Ended::Unknown;
            let job = id.clone();
            pending.extend(planner.step(self.now, Input::Ended { job, how }));
        }
        while let Some(action) = pending.pop() {
            match action {
                Action::Start(plan) => {
                    unstarted.remove(&plan.job);
                }
                Action::Stop { job, .. } => {
                    let saved = Millis::ZERO;
                    let how = Ended::Stopped { saved };
                    pending.extend(planner.step(self.now, Input::Ended { job, how }));
                }
                _ => {}
            }
        }
    }

    pub fn spec(&self, id: JobId, shape: Shape, flags: u32) -> JobSpec {
        let domain = match flags >> 4 & 7 {
            0 => Some("d0".parse().unwrap()),
            1 => Some("d1".parse().unwrap()),
            _ => None,
        };
        JobSpec {
            id,
            org: ORGS[flags as usize % ORGS.len()].parse().unwrap(),
            kind: "k".parse().unwrap(),
            shape,
            length: Millis::from_secs(u64::from(1 + (flags >> 8) % 900)),
            domain,
            urgent: flags >> 2 & 7 == 0,
            idempotent: flags >> 7 & 3 != 0,
            checkpoint: flags >> 6 & 1 == 0,
            payload: String::new(),
        }
    }
}

pub fn submit(spec: JobSpec, at: Millis) -> Input {
    Input::Submit {
        spec,
        at,
        attempt: Attempt(1),
        saved: Millis::ZERO,
    }
}
