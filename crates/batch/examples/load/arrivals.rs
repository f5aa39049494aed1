//! The load: jobs of several kinds that arrive at random, with bursts.

use base::Millis;
use batch::Catalog;
use batch::CatalogLimits;
use batch::Org;
use batch::Pool;
use batch::Queue;
use batch::Resources;
use batch::StepSpec;
use batch::Submission;
use batch::Submitted;
use rand::RngExt;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;
use rand_pcg::Pcg64;

use crate::world::Truth;

/// A kind of job. Amounts are means of log-normal distributions with the spreads given.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u32,
    /// Jobs a second on a site of 1,100 workers.
    pub rate: f64,
    pub width: (f64, f64, f64),
    pub work: (f64, f64, f64),
    pub accels: &'static [u64],
    pub cpu: u64,
    pub memory: u64,
    pub gang: bool,
    /// Share of gangs that ask for one rack.
    pub one_rack: f64,
    /// Share of jobs that save their progress.
    pub saves: f64,
    /// Spread of the estimate around the work.
    pub off: f64,
    pub stretch: f64,
    pub latency: Millis,
    pub worth: f64,
    pub late_worth: f64,
    pub hopeless: f64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        name: "urgent",
        priority: 0,
        rate: 16.7,
        width: (7.6, 0.8, 46.0),
        work: (2_500.0, 0.5, 8_000.0),
        accels: &[1, 2, 4, 8, 8],
        cpu: 3_700,
        memory: 15_000,
        gang: true,
        one_rack: 0.8,
        saves: 0.0,
        off: 0.5,
        stretch: 1.5,
        latency: Millis(250),
        worth: 4.0,
        late_worth: 0.8,
        hopeless: 0.0,
    },
    Kind {
        name: "wide",
        priority: 1,
        rate: 2.34,
        width: (26.0, 0.8, 160.0),
        work: (11_000.0, 0.3, 11_000.0),
        accels: &[1, 2, 4, 8, 8],
        cpu: 13_000,
        memory: 38_000,
        gang: true,
        one_rack: 0.6,
        saves: 0.45,
        off: 0.2,
        stretch: 3.0,
        latency: Millis(1_000),
        worth: 3.0,
        late_worth: 0.9,
        hopeless: 0.01,
    },
    Kind {
        name: "small",
        priority: 2,
        rate: 2.3,
        width: (101.0, 0.8, 470.0),
        work: (9_500.0, 0.3, 11_000.0),
        accels: &[1],
        cpu: 2_800,
        memory: 11_000,
        gang: false,
        one_rack: 0.0,
        saves: 0.45,
        off: 0.2,
        stretch: 3.0,
        latency: Millis(3_000),
        worth: 1.0,
        late_worth: 0.3,
        hopeless: 0.0,
    },
];

/// Kinds that need much of a worker's processors, so that its accelerators can not all be used.
pub const HEAVY_KINDS: [Kind; 3] = [
    Kind {
        rate: 31.0,
        width: (5.4, 0.8, 32.0),
        cpu: 15_000,
        memory: 44_000,
        ..KINDS[0]
    },
    Kind {
        rate: 4.6,
        width: (13.0, 0.8, 78.0),
        cpu: 52_000,
        memory: 150_000,
        off: 0.5,
        ..KINDS[1]
    },
    Kind {
        rate: 4.6,
        width: (50.0, 0.8, 230.0),
        cpu: 11_000,
        memory: 46_000,
        off: 0.5,
        ..KINDS[2]
    },
];

/// A time in which a kind arrives more often.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub kind: usize,
    pub from: Millis,
    pub until: Millis,
    pub factor: f64,
}

/// A job and the time at which its caller first submits it, from the start of the load.
pub struct Arrival {
    pub at: Millis,
    pub kind: usize,
    pub submitted: Submitted,
    pub truth: Truth,
    pub worth: f64,
    /// Time in which it must end to earn its full worth.
    pub objective: Millis,
}

/// The queues, one pool, and the organisations with their guarantees.
pub fn catalog(kinds: &[Kind], guarantee: u64) -> Catalog {
    let pool = Pool {
        name: "pool".parse().expect("a pool"),
        checks_capacity: false,
    };
    let org = |num: usize| Org {
        name: format!("org{num}").parse().expect("an organisation"),
        keys: vec![format!("key{num}")],
        guarantee,
    };
    Catalog::new(
        1,
        kinds.iter().map(queue).collect(),
        vec![pool],
        (0..ORGS).map(org).collect(),
        CatalogLimits { body: 1 << 18 },
    )
}

const ORGS: usize = 24;

/// Accelerators that each of them is guaranteed.
pub const GUARANTEE: u64 = 60;

fn queue(kind: &Kind) -> Queue {
    Queue {
        name: kind.name.to_string(),
        host: "jobs.example".to_string(),
        prefix: format!("/{}/", kind.name),
        pool: "pool".parse().expect("a pool"),
        priority: kind.priority,
        attempts: 3,
        stretch: kind.stretch,
        latency: kind.latency,
        public: false,
        advice: None,
    }
}

/// All arrivals within `span`, in the order of their times.
pub fn arrivals(
    rng: &mut Pcg64,
    kinds: &[Kind],
    scale: f64,
    span: Millis,
    bursts: &[Burst],
) -> Vec<Arrival> {
    let mut found = Vec::new();
    for (num, kind) in kinds.iter().enumerate() {
        let peak = bursts.iter().filter(|b| b.kind == num);
        let peak = peak.map(|b| b.factor).fold(1.0, f64::max);
        let gaps = Exp::new(kind.rate * scale * peak / 1000.0).expect("a positive rate");
        let mut at = 0.0;
        loop {
            at += gaps.sample(rng);
            if at >= span.0 as f64 {
                break;
            }
            let now = Millis(at as u64);
            let factor = bursts
                .iter()
                .filter(|b| b.kind == num && (b.from..b.until).contains(&now))
                .map(|b| b.factor)
                .fold(1.0, f64::max);
            if rng.random::<f64>() < factor / peak {
                found.push(arrival(rng, kind, num, now));
            }
        }
    }
    found.sort_by_key(|a| a.at);
    found
}

fn arrival(rng: &mut Pcg64, kind: &Kind, num: usize, at: Millis) -> Arrival {
    let width = draw(rng, kind.width).round().max(1.0);
    let work = draw(rng, kind.work).max(200.0);
    let estimate = work * draw(rng, (1.0, kind.off, 5.0));
    let accels = kind.accels[rng.random_range(0..kind.accels.len())];
    let step = StepSpec {
        count: width as u32,
        need: Resources {
            cpu: kind.cpu,
            memory: kind.memory,
            accels,
        },
        estimate: Millis(estimate as u64),
        gang: kind.gang,
        one_rack: rng.random::<f64>() < kind.one_rack,
        checkpoints: rng.random::<f64>() < kind.saves,
        ..StepSpec::default()
    };
    let submission = Submission {
        spec: "spec".to_string(),
        steps: vec![step],
        schedule: None,
    };
    let org = format!("org{}", rng.random_range(0..ORGS));
    let org = org.parse().expect("an organisation");
    let size = width * work * (kind.cpu as f64 / 1000.0 + 8.0 * accels as f64);
    let mean_accels = kind.accels.iter().sum::<u64>() as f64 / kind.accels.len() as f64;
    let mean = kind.width.0 * kind.work.0 * (kind.cpu as f64 / 1000.0 + 8.0 * mean_accels);
    Arrival {
        at,
        kind: num,
        submitted: Submitted::new(&queue(kind), Some(org), at, submission),
        truth: Truth {
            work: Millis(work as u64),
            hopeless: rng.random::<f64>() < kind.hopeless,
        },
        worth: kind.worth * (0.3 + 0.7 * size / mean).min(4.0),
        objective: Millis((work * kind.stretch) as u64) + kind.latency,
    }
}

/// Draws from a log-normal distribution with this mean, spread of the logarithm and maximum.
fn draw(rng: &mut Pcg64, (mean, spread, most): (f64, f64, f64)) -> f64 {
    let center = mean.ln() - spread * spread / 2.0;
    let distribution = LogNormal::new(center, spread).expect("a positive spread");
    distribution.sample(rng).min(most)
}
