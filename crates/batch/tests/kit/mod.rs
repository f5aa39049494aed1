//! Simulated site for the tests: workers, a store and callers in memory, with injected faults and
//! checks.

#![allow(dead_code)]

pub mod candidates;
pub mod crashing;
pub mod idle;
pub mod limits;
pub mod shown;
pub mod site;
pub mod transit;
pub mod worker;

use base::Millis;
use base::ServiceId;
use batch::Bounds;
use batch::Catalog;
use batch::CatalogLimits;
use batch::Org;
use batch::OrgLimit;
use batch::Pool;
use batch::Queue;
use batch::Resources;
use batch::StepSpec;
use batch::Submission;
use batch::Submitted;

/// Time that a member of a gang waits for the others to start.
pub const GANG_TIMEOUT: Millis = Millis(3_000);

pub const BOUNDS: Bounds = Bounds {
    max_hold: Millis(6_000),
    stop_grace: Millis(400),
    reclaim: Millis(2_900),
    config_apply: Millis(2_000),
    drain: Millis(2_000),
    evacuate: Millis(5_000),
    cancel: Millis(3_000),
    heartbeat: Millis(1_500),
    contact: Millis(3_000),
    status: Millis(120_000),
    remote_factor: 3,
    pace: Millis(100),
    harm: Millis(4_000),
    min_ttl: Millis(1_000),
};

/// When entries were written that never age.
pub const FRESH: Millis = Millis(u64::MAX);

/// The queue of this priority, named `q` and the priority.
pub fn queue(priority: u32) -> Queue {
    Queue {
        name: format!("q{priority}"),
        host: "jobs.example".to_string(),
        prefix: format!("/q{priority}/"),
        pool: pool(),
        priority,
        attempts: 3,
        stretch: 3.0,
        latency: Millis(1_000),
        public: false,
        advice: None,
    }
}

pub fn pool() -> ServiceId {
    "pool".parse().expect("a service id")
}

/// Queues of the priorities 0 to 2, one pool, and two organisations with a guarantee.
pub fn catalog() -> Catalog {
    Catalog::new(
        1,
        (0..3).map(queue).collect(),
        vec![Pool {
            name: pool(),
            checks_capacity: false,
        }],
        ["board", "clinic"].map(org).to_vec(),
        CatalogLimits { body: 1 << 18 },
    )
}

fn org(name: &str) -> Org {
    Org {
        name: name.parse().expect("an organisation"),
        keys: vec![format!("key-{name}")],
        guarantee: 16,
        limit: OrgLimit::default(),
        weight: None,
    }
}

/// A step of `count` tasks with `accels` accelerators each and an estimate of `lasts`.
pub fn step(count: u32, accels: u64, lasts: Millis) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu: 2_000,
            memory: 1_000,
            accels,
        },
        estimate: lasts,
        ..StepSpec::default()
    }
}

/// A job of these steps, accepted at `at` on the queue of this priority.
pub fn job(priority: u32, steps: Vec<StepSpec>, at: Millis) -> Submitted {
    job_of("board", priority, steps, at)
}

/// As [`job`], of this organisation.
pub fn job_of(org: &str, priority: u32, steps: Vec<StepSpec>, at: Millis) -> Submitted {
    let work = Submission {
        spec: "spec".to_string(),
        steps,
        schedule: None,
    };
    let org = org.parse().expect("an organisation");
    Submitted::new(&queue(priority), Some(org), at, work)
}
