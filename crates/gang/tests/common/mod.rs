//! Builders for workers, jobs and policies, and a planner to test.
#![allow(dead_code, reason = "no test file uses all of these")]

use base::Accels;
use base::Attempt;
use base::Bytes;
use base::Cores;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::Shape;
use base::Spread;
use base::WorkerSpec;
use gang::Action;
use gang::Guarantee;
use gang::Input;
use gang::OrgPolicy;
use gang::Planner;
use gang::Policy;

/// A worker with 8 accelerators, named `domain/rack/worker`.
pub fn worker(domain: &str, rack: u32, index: u32) -> WorkerSpec {
    WorkerSpec {
        id: format!("{domain}/{rack}/{index}").parse().unwrap(),
        domain: domain.parse().unwrap(),
        rack: format!("{domain}/{rack}").parse().unwrap(),
        accels: Accels(8),
        cores: Cores(32),
        memory: Bytes(64),
    }
}

/// A shape that asks for no cores and no memory.
pub fn shape(tasks: u32, accels: u32, spread: Spread) -> Shape {
    Shape {
        tasks,
        accels: Accels(accels),
        cores: Cores(0),
        memory: Bytes(0),
        spread,
    }
}

/// A checkpointable job with a declared run time of ten minutes.
pub fn job(id: &str, org: &str, shape: Shape) -> JobSpec {
    JobSpec {
        id: id.parse().unwrap(),
        org: org.parse().unwrap(),
        kind: "k".parse().unwrap(),
        shape,
        length: Millis::from_secs(600),
        domain: None,
        urgent: false,
        idempotent: true,
        checkpoint: true,
        payload: String::new(),
    }
}

/// The job, changed to be neither idempotent nor checkpointable.
pub fn once(mut spec: JobSpec) -> JobSpec {
    spec.idempotent = false;
    spec.checkpoint = false;
    spec
}

pub fn guarantee(org: &str, domain: &str, shape: Shape, count: u32) -> Guarantee {
    Guarantee {
        org: org.parse().unwrap(),
        domain: domain.parse().unwrap(),
        shape,
        count,
    }
}

/// A policy with the organisations `a` to `d`.
pub fn policy(guarantees: Vec<Guarantee>) -> Policy {
    let org = |name: &str| (name.parse().unwrap(), OrgPolicy::default());
    Policy {
        orgs: ["a", "b", "c", "d"].map(org).into(),
        guarantees,
        ..Policy::default()
    }
}

/// A planner with its own clock. All invariants are checked after each step.
pub struct Fixture {
    pub planner: Planner,
    pub now: Millis,
}

impl Fixture {
    /// One failure domain `x` with `racks` racks of `per_rack` workers. Starts are allowed.
    pub fn new(policy: Policy, racks: u32, per_rack: u32) -> Fixture {
        let mut fixture = Fixture {
            planner: Planner::new(policy),
            now: Millis(1000),
        };
        for i in 0..racks * per_rack {
            fixture.step(Input::WorkerUp(worker("x", i / per_rack, i % per_rack)));
        }
        fixture.step(Input::AllowStarts(true));
        fixture
    }

    pub fn step(&mut self, input: Input) -> Vec<Action> {
        let actions = self.planner.step(self.now, input);
        assert_eq!(self.planner.check(), Ok(()));
        actions
    }

    pub fn submit(&mut self, spec: JobSpec) -> Vec<Action> {
        let at = self.now;
        self.step(Input::Submit {
            spec,
            at,
            attempt: Attempt(1),
            saved: Millis::ZERO,
        })
    }

    /// Submits a job and reports it as running.
    pub fn run(&mut self, spec: JobSpec) -> Vec<Action> {
        let job = spec.id.clone();
        let actions = self.submit(spec);
        self.step(Input::Running { job });
        actions
    }

    pub fn ended(&mut self, job: &str, how: gang::Ended) -> Vec<Action> {
        let job = job.parse().unwrap();
        self.step(Input::Ended { job, how })
    }

    pub fn tick(&mut self, span: Millis) -> Vec<Action> {
        self.now += span;
        self.step(Input::Tick)
    }
}

/// Jobs that the actions start.
pub fn started(actions: &[Action]) -> Vec<JobId> {
    let plan = |a: &Action| match a {
        Action::Start(plan) => Some(plan.job.clone()),
        _ => None,
    };
    actions.iter().filter_map(plan).collect()
}

/// Jobs that the actions stop.
pub fn stopped(actions: &[Action]) -> Vec<JobId> {
    let stop = |a: &Action| match a {
        Action::Stop { job, .. } => Some(job.clone()),
        _ => None,
    };
    actions.iter().filter_map(stop).collect()
}

pub fn ids<const N: usize>(names: [&str; N]) -> Vec<JobId> {
    names.map(|n| n.parse().unwrap()).to_vec()
}
