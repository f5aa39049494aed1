//! Simulated sites and synthetic job tables.

use base::Accels;
use base::Bytes;
use base::Cores;
use base::DomainId;
use base::JobSpec;
use base::Millis;
use base::Shape;
use base::Spread;
use base::WorkerSpec;
use gang::Departure;
use gang::Guarantee;
use gang::OrgPolicy;
use gang::Policy;
use rand::Rng;
use rand::RngExt;

/// A site's size and number of organisations.
#[derive(Clone, Copy)]
pub struct Site {
    pub name: &'static str,
    pub domains: u32,
    /// Number of workers with 8 accelerators and of workers without any.
    pub workers: (u32, u32),
    pub rack_size: u32,
    pub orgs: u32,
}

/// Two small sites and one of the largest expected size.
pub const SITES: [Site; 3] = [
    Site {
        name: "recovery-board",
        domains: 4,
        workers: (48, 0),
        rack_size: 6,
        orgs: 4,
    },
    Site {
        name: "slatko-dvor",
        domains: 3,
        workers: (48, 0),
        rack_size: 8,
        orgs: 4,
    },
    Site {
        name: "letter",
        domains: 7,
        workers: (70, 430),
        rack_size: 5,
        orgs: 89,
    },
];

/// Cases: a burst of small jobs; a burst of large gangs; declared run times wrong by a factor
/// of up to 10; workers on which all jobs fail; a mass cancellation; a failure domain out of
/// service for two hours; guarantees claimed on a full site.
pub const CASES: [&str; 7] = [
    "small",
    "large",
    "wrong",
    "black-hole",
    "cancel",
    "departure",
    "claim",
];

/// Job mix: weight, tasks, accelerators of a task, spread, median run time in minutes. Small
/// jobs are the most frequent, and a few large ones take most of the accelerator time, as on
/// the two small sites.
const MIX: [(u32, u32, u32, Spread, u64); 8] = [
    (40, 1, 1, Spread::Domain, 15),
    (20, 1, 2, Spread::Domain, 20),
    (12, 1, 4, Spread::Domain, 30),
    (10, 1, 8, Spread::Domain, 40),
    (8, 2, 8, Spread::Rack, 60),
    (6, 4, 8, Spread::Domain, 60),
    (2, 8, 8, Spread::Domain, 90),
    (2, 1, 3, Spread::Domain, 20),
];

/// Approximate mean of a job's accelerator-minutes over the mix.
const MEAN_ACCEL_MINUTES: f64 = 430.0;

/// Accelerator time requested while jobs arrive, relative to the site's capacity. Above 1, so
/// that the site is full and jobs queue, as is usual where a fixed fee is paid for it.
const OFFERED_LOAD: f64 = 1.1;

/// Time in which the jobs of the mix arrive.
const ARRIVAL_HOURS: u64 = 4;

/// A job of a table, with its submission time.
#[derive(Clone)]
pub struct Row {
    pub at: Millis,
    pub spec: JobSpec,
    pub actual: Millis,
    /// Whether every attempt fails, whatever the worker.
    pub always_fails: bool,
    /// Whether the job claims a guarantee.
    pub claims_guarantee: bool,
}

impl Site {
    pub fn domain(&self, d: u32) -> DomainId {
        format!("{}-{d}", self.name).parse().expect("valid id")
    }

    pub fn fleet(&self) -> Vec<WorkerSpec> {
        let (with_accels, without_accels) = self.workers;
        let worker = |i: u32| {
            let (d, n) = (i % self.domains, i / self.domains);
            let domain = self.domain(d);
            let kind = if i < with_accels { 'g' } else { 'c' };
            WorkerSpec {
                id: format!("{domain}/{kind}{n}").parse().expect("valid id"),
                rack: format!("{domain}/{}{kind}", n / self.rack_size)
                    .parse()
                    .expect("valid id"),
                domain,
                accels: Accels(if i < with_accels { 8 } else { 0 }),
                cores: Cores(32),
                memory: Bytes(64 << 30),
            }
        };
        (0..with_accels + without_accels).map(worker).collect()
    }

    /// Each of up to four organisations has a guaranteed gang of two whole workers in one rack
    /// in every second failure domain, in total about a third of the accelerators.
    pub fn policy(&self) -> Policy {
        let org = |i: u32| (org(i), OrgPolicy::default());
        let org_domains =
            (0..self.orgs.min(4)).flat_map(|o| (0..self.domains).map(move |d| (o, d)));
        let has_guarantee = |(o, d): &(u32, u32)| (o + d) % 2 == 0;
        let guarantee = |(o, d): (u32, u32)| Guarantee {
            org: self::org(o),
            domain: self.domain(d),
            shape: shape(2, 8, Spread::Rack),
            count: 1,
        };
        Policy {
            orgs: (0..self.orgs).map(org).collect(),
            guarantees: org_domains.filter(has_guarantee).map(guarantee).collect(),
            departure: Departure::Move,
            ..Policy::default()
        }
    }
}

fn org(i: u32) -> base::OrgId {
    format!("org{i}").parse().expect("valid id")
}

fn shape(tasks: u32, accels: u32, spread: Spread) -> Shape {
    let cores = Cores(accels.max(1) * 2);
    Shape {
        tasks,
        accels: Accels(accels),
        cores,
        memory: Bytes(0),
        spread,
    }
}

/// Builds the job table of a case, sorted by submission time.
pub fn job_table(site: &Site, case: &str, rng: &mut impl Rng) -> Vec<Row> {
    let accels = f64::from(site.workers.0 * 8);
    let base_count =
        (accels * 60.0 * ARRIVAL_HOURS as f64 / MEAN_ACCEL_MINUTES * OFFERED_LOAD) as u64;
    let window_ms = ARRIVAL_HOURS * 3_600_000;
    let mut list: Vec<Row> = (0..base_count)
        .map(|_| random_row(site, case, None, window_ms, rng))
        .collect();
    let burst = match case {
        "small" => Some((base_count, 0..3)),
        "large" => Some((base_count / 8, 4..7)),
        "cancel" => Some((base_count / 2, 0..7)),
        "claim" => Some((u64::from(site.domains.div_ceil(2)), 4..5)),
        _ => None,
    };
    for i in 0..burst.as_ref().map_or(0, |(n, _)| *n) {
        let kinds = burst.as_ref().map(|(_, kinds)| kinds.clone());
        let mut row = random_row(site, case, kinds, 600_000, rng);
        row.at += Millis(window_ms / 2);
        row.claims_guarantee = case == "claim";
        if row.claims_guarantee {
            row.spec.org = org(0);
            row.spec.domain = Some(site.domain(i as u32 * 2));
        }
        list.push(row);
    }
    list.sort_by_key(|r| r.at);
    for (i, row) in list.iter_mut().enumerate() {
        row.spec.id = format!("job{i}").parse().expect("valid id");
    }
    list
}

fn random_row(
    site: &Site,
    case: &str,
    kinds: Option<std::ops::Range<usize>>,
    window_ms: u64,
    rng: &mut impl Rng,
) -> Row {
    let kind = match kinds {
        Some(kinds) => rng.random_range(kinds),
        None => random_kind(rng),
    };
    let (_, tasks, accels, spread, minutes) = MIX[kind];
    let actual = minutes as f64 * 60_000.0 * 10f64.powf(rng.random_range(-0.5..0.5));
    // The organisation that claims guarantees submits nothing else, so that the wait of a claim
    // is the time to reclaim capacity.
    let org_index = rng.random_range(u32::from(case == "claim")..site.orgs);
    let declared_ratio = match case {
        "wrong" => [0.1, 0.3, 3.0, 10.0][(kind + org_index as usize) % 4],
        _ => rng.random_range(0.5..2.0),
    };
    let not_restartable = rng.random_range(0..10) == 0;
    Row {
        at: Millis(rng.random_range(0..window_ms)),
        spec: JobSpec {
            id: "job".parse().expect("valid id"),
            org: org(org_index),
            kind: format!("kind{kind}").parse().expect("valid id"),
            shape: shape(tasks, accels, spread),
            length: Millis((actual * declared_ratio) as u64),
            domain: None,
            urgent: rng.random_range(0..50) == 0,
            idempotent: !not_restartable,
            checkpoint: !not_restartable && rng.random_range(0..4) != 0,
            payload: String::new(),
        },
        actual: Millis(actual as u64),
        always_fails: rng.random_range(0..100) == 0,
        claims_guarantee: false,
    }
}

fn random_kind(rng: &mut impl Rng) -> usize {
    let sum: u32 = MIX.iter().map(|m| m.0).sum();
    let mut left = rng.random_range(0..sum);
    let found = MIX.iter().position(|m| {
        let chosen = left < m.0;
        left = left.saturating_sub(m.0);
        chosen
    });
    found.unwrap_or(0)
}
