//! Cost of planner decisions at the expected scale, and how it grows with workers, queued jobs
//! and gang size: `cargo run --release -p gang --example cost`. Prints one JSON line for each
//! case.

use std::time::Instant;

use base::Accels;
use base::Attempt;
use base::Bytes;
use base::Cores;
use base::JobSpec;
use base::Millis;
use base::Shape;
use base::Spread;
use base::WorkerSpec;
use gang::Departure;
use gang::Ended;
use gang::Input;
use gang::OrgPolicy;
use gang::Planner;
use gang::Policy;
use hdrhistogram::Histogram;
use serde_json::json;

/// Samples of each measurement; a third as many of a failure domain's departure.
const SAMPLES: u64 = 200;

/// Longest time that the histogram records; longer ones count as this.
const MAX_TIME_US: u64 = 60_000_000;

/// Numbers of organisations and failure domains.
const ORGS: u32 = 89;
const DOMAINS: u32 = 7;

struct Scale {
    workers: u32,
    accels: u32,
    tasks: u32,
    queued: u32,
    gang: u32,
    /// Half of each failure domain's accelerators are free, and only larger gangs wait.
    half_free: bool,
}

/// The expected scale with one planner for all failure domains, the most expensive arrangement.
const EXPECTED: Scale = Scale {
    workers: 500,
    accels: 560,
    tasks: 3400,
    queued: 10_000,
    gang: 32,
    half_free: false,
};

fn shape(tasks: u32, accels: u32, cores: u32) -> Shape {
    Shape {
        tasks,
        accels: Accels(accels),
        cores: Cores(cores),
        memory: Bytes(0),
        spread: Spread::Domain,
    }
}

fn job(id: String, n: u32, shape: Shape) -> JobSpec {
    JobSpec {
        id: id.parse().expect("valid id"),
        org: format!("org{}", n % ORGS).parse().expect("valid id"),
        kind: format!("k{}", n % 7).parse().expect("valid id"),
        shape,
        length: Millis::from_secs(600 * u64::from(1 + n % 16)),
        domain: None,
        urgent: false,
        idempotent: true,
        checkpoint: true,
        payload: String::new(),
    }
}

fn submit(planner: &mut Planner, spec: JobSpec) -> usize {
    let now = Millis::from_secs(10);
    let input = Input::Submit {
        spec,
        at: now,
        attempt: Attempt(1),
        saved: Millis::ZERO,
    };
    planner.step(now, input).len()
}

/// A planner with running tasks and waiting jobs, whose accelerators are in use.
fn loaded_planner(scale: &Scale) -> Planner {
    let org = |i: u32| {
        (
            format!("org{i}").parse().expect("valid id"),
            OrgPolicy::default(),
        )
    };
    let mut planner = Planner::new(Policy {
        orgs: (0..ORGS).map(org).collect(),
        departure: Departure::Move,
        ..Policy::default()
    });
    let with_accels = scale.accels / 8;
    for i in 0..scale.workers {
        planner.step(Millis(1), Input::WorkerUp(worker(i, i < with_accels)));
    }
    planner.step(Millis(1), Input::AllowStarts(true));
    let running = if scale.half_free {
        scale.accels / 4
    } else {
        scale.accels / 2
    };
    for i in 0..running {
        let mut spec = job(format!("a{i}"), i, shape(1, 2, 2));
        spec.domain = format!("d{}", i % DOMAINS).parse().ok();
        submit(&mut planner, spec);
    }
    for i in 0..(scale.tasks - scale.accels / 2) / 10 {
        submit(&mut planner, job(format!("c{i}"), i, shape(10, 0, 3)));
    }
    for i in 0..scale.queued {
        let waiting = match scale.half_free {
            true => shape(8, 8, 2),
            false => shape(1 + i % 8, [1, 2, 4, 8][i as usize / 8 % 4], 2),
        };
        submit(&mut planner, job(format!("q{i}"), i, waiting));
    }
    planner
}

fn worker(i: u32, with_accels: bool) -> WorkerSpec {
    let domain = i % DOMAINS;
    WorkerSpec {
        id: format!("d{domain}/w{i}").parse().expect("valid id"),
        domain: format!("d{domain}").parse().expect("valid id"),
        rack: format!("d{domain}/r{}", i / DOMAINS / 8)
            .parse()
            .expect("valid id"),
        accels: Accels(if with_accels { 8 } else { 0 }),
        cores: Cores(64),
        memory: Bytes(64 << 30),
    }
}

/// Median and 99th percentile of the time of `run`, in microseconds. Each sample runs on a new
/// clone of the planner.
fn measure(planner: &Planner, samples: u64, run: impl Fn(&mut Planner, u64)) -> (u64, u64) {
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3).expect("valid bounds");
    for i in 0..samples {
        let mut clone = planner.clone();
        let start = Instant::now();
        run(&mut clone, i);
        times.saturating_record(start.elapsed().as_micros() as u64);
    }
    (times.value_at_quantile(0.5), times.value_at_quantile(0.99))
}

fn report(name: &str, scale: &Scale) {
    let planner = loaded_planner(scale);
    let status = planner.status();
    let gang = |clone: &mut Planner, i: u64| {
        submit(
            clone,
            job(format!("g{i}"), i as u32, shape(scale.gang, 1, 1)),
        );
    };
    let gang_without_accels = |clone: &mut Planner, i: u64| {
        submit(
            clone,
            job(format!("p{i}"), i as u32, shape(scale.gang, 0, 1)),
        );
    };
    let finish_job = |clone: &mut Planner, i: u64| {
        let job = format!("a{}", i % 50).parse().expect("valid id");
        let how = Ended::Finished;
        clone.step(Millis::from_secs(900), Input::Ended { job, how });
    };
    let take_domain_out = |clone: &mut Planner, _| {
        let domain = "d0".parse().expect("valid id");
        clone.step(Millis::from_secs(900), Input::DomainOut(domain));
    };
    let line = json!({
        "case": name,
        "workers": scale.workers,
        "queued": scale.queued,
        "gang": scale.gang,
        "jobs": planner.job_count(),
        "free": status.free.0,
        "gang_us": measure(&planner, SAMPLES, gang),
        "gang_without_accels_us": measure(&planner, SAMPLES, gang_without_accels),
        "job_ends_us": measure(&planner, SAMPLES, finish_job),
        "departure_us": measure(&planner, SAMPLES / 3, take_domain_out),
        "state_bytes": planner.state_bytes(),
    });
    println!("{line}");
}

fn main() {
    report("full", &EXPECTED);
    report(
        "half",
        &Scale {
            half_free: true,
            ..EXPECTED
        },
    );
    for workers in [125, 250, 1000] {
        report(
            "workers",
            &Scale {
                workers,
                ..EXPECTED
            },
        );
    }
    for queued in [100, 1000, 20_000] {
        report("queued", &Scale { queued, ..EXPECTED });
    }
    for gang in [1, 8, 64] {
        report("gang", &Scale { gang, ..EXPECTED });
    }
}
