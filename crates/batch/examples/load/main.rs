//! Emulates a large site under its worst load, with the real decisions in simulated time, and
//! reports what callers get and what planning costs.
//!
//! It compares policies by seeded loads within seconds. It does not model networks, stores or
//! processes.

mod args;
mod arrivals;
mod world;

use std::collections::BinaryHeap;

use base::JobId;
use base::Millis;
use batch::admit;
use batch::PromisedCapacity;
use batch::Verdict;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;

use args::Load;
use arrivals::Arrival;
use arrivals::Burst;
use arrivals::GUARANTEE;
use arrivals::HEAVY_KINDS;
use arrivals::KINDS;
use world::World;
use world::HEAVY;
use world::LIGHT;

/// Time in which jobs arrive, and the time after it in which they can still end.
const SPAN: Millis = Millis(26_000);
const TAIL: Millis = Millis(60_000);

/// Length of a window.
const WINDOW: Millis = Millis(2_000);

/// A job that ends later than this multiple of its objective earns nothing.
const USEFUL_FACTOR: u64 = 3;

/// Attempts of a caller after the first.
const RETRIES: u32 = 4;

/// Accelerators that each organisation is guaranteed on a heavy site, for each thousand workers.
const HEAVY_GUARANTEE: u64 = 200;

/// Time in which failure domains are out of service.
const OUT: std::ops::Range<u64> = 1_000..10_000;

/// Number of daemons that admit jobs.
const DAEMONS: u64 = 147;

#[derive(Default, Serialize)]
struct Outcome {
    worth: f64,
    worst_windows: f64,
    by_kind: Vec<f64>,
    in_time: f64,
    late: f64,
    refused: f64,
    /// Share of the jobs that end too late to be of use, or never.
    unserved: f64,
    starts: f64,
    stopped: f64,
    wasted: f64,
    pass_ms: f64,
    pass_max_ms: f64,
    stops_ms: f64,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let flags = Load::from_env_or_exit();
    let first = flags.seed.unwrap_or(1);
    let seeds = flags.seeds.unwrap_or(4);
    let mut all = Vec::new();
    for seed in first..first + seeds {
        let outcome = emulate(&flags, seed);
        println!("{}", serde_json::to_string(&outcome)?);
        all.push(outcome);
    }
    let mean = |get: fn(&Outcome) -> f64| all.iter().map(get).sum::<f64>() / all.len() as f64;
    println!(
        "mean worth {:.3} windows {:.3} urgent {:.3} wide {:.3} small {:.3} refused {:.3} unserved {:.4} stopped {:.0} wasted {:.0} pass {:.2} ms, most {:.1} ms",
        mean(|o| o.worth),
        mean(|o| o.worst_windows),
        mean(|o| o.by_kind[0]),
        mean(|o| o.by_kind[1]),
        mean(|o| o.by_kind[2]),
        mean(|o| o.refused),
        mean(|o| o.unserved),
        mean(|o| o.stopped),
        mean(|o| o.wasted),
        mean(|o| o.pass_ms),
        mean(|o| o.pass_max_ms),
    );
    Ok(())
}

/// A caller's attempt: the time, the index of the arrival, and the number of the attempt.
type Attempt = std::cmp::Reverse<(Millis, usize, u32)>;

fn emulate(flags: &Load, seed: u64) -> Outcome {
    let workers = flags.workers.unwrap_or(1_100);
    let mut rng = Pcg64::seed_from_u64(seed);
    let bursts = [
        burst(0, 5_000, 11_000, flags.burst.unwrap_or(2.6)),
        burst(2, 9_000, 13_000, flags.small.unwrap_or(2.6)),
    ];
    let (kinds, shape, guarantee) = match flags.heavy {
        true => (
            &HEAVY_KINDS,
            HEAVY,
            HEAVY_GUARANTEE * workers as u64 / 1_000,
        ),
        false => (&KINDS, LIGHT, GUARANTEE),
    };
    let scale = workers as f64 / 1_100.0;
    let jobs = arrivals::arrivals(&mut rng, kinds, scale, SPAN, &bursts);
    let mut world = World::new(
        workers,
        flags.slow.unwrap_or(0),
        flags.failing.unwrap_or(0),
        shape,
        arrivals::catalog(kinds, guarantee),
    );
    let start = world.now;
    let mut promises = vec![PromisedCapacity::default(); DAEMONS as usize];
    let mut attempts: BinaryHeap<Attempt> = BinaryHeap::new();
    for (num, job) in jobs.iter().enumerate() {
        attempts.push(std::cmp::Reverse((start + job.at, num, 0)));
    }
    let mut refused = vec![false; jobs.len()];
    while world.now < start + SPAN + TAIL {
        while let Some(std::cmp::Reverse((at, num, tries))) = attempts.peek().copied() {
            if at > world.now {
                break;
            }
            attempts.pop();
            let mut submitted = jobs[num].submitted.clone();
            submitted.at = world.now;
            let age = world.now.since(world.load_at);
            let promised = &mut promises[num % DAEMONS as usize];
            let verdict = admit(&world.load, age, &submitted, promised, DAEMONS, world.now);
            match verdict {
                Verdict::Accept => world.submit(job_id(num), submitted, jobs[num].truth),
                Verdict::Late(after) | Verdict::NoWorker(after) if tries < RETRIES => {
                    attempts.push(std::cmp::Reverse((world.now + after, num, tries + 1)));
                }
                Verdict::Late(_) | Verdict::NoWorker(_) => refused[num] = true,
            }
        }
        let since = world.now.since(start).0;
        if flags.out.is_some() && (since == OUT.start || since == OUT.end) {
            let out = flags.out.filter(|_| since == OUT.start);
            world.exclude(out.unwrap_or_default());
        }
        world.turn();
    }
    if flags.stops {
        println!("{:?}", world.scheduler.stop_totals());
    }
    judge(flags, &jobs, &refused, &world, start)
}

fn burst(kind: usize, from: u64, until: u64, factor: f64) -> Burst {
    Burst {
        kind,
        from: Millis(from),
        until: Millis(until),
        factor,
    }
}

fn job_id(num: usize) -> JobId {
    format!("{num:016x}").parse().expect("a job id")
}

fn judge(
    flags: &Load,
    jobs: &[Arrival],
    refused: &[bool],
    world: &World,
    start: Millis,
) -> Outcome {
    let windows = (SPAN.0 / WINDOW.0) as usize;
    let mut by_window = vec![(0.0, 0.0); windows];
    let mut by_kind = vec![(0.0, 0.0); KINDS.len()];
    let (mut earned, mut owed) = (0.0, 0.0);
    let mut outcome = Outcome::default();
    let share = 1.0 / jobs.len() as f64;
    for (num, job) in jobs.iter().enumerate() {
        if job.truth.hopeless {
            continue;
        }
        let took = world.done.get(&job_id(num));
        let took = took.map(|at| at.since(start + job.at));
        let kind = &KINDS[job.kind];
        let part = match took {
            Some(took) if took <= job.objective => 1.0,
            Some(took) if took.0 <= job.objective.0 * USEFUL_FACTOR => kind.late_worth / kind.worth,
            _ => 0.0,
        };
        outcome.unserved += if part == 0.0 { share } else { 0.0 };
        outcome.in_time += if part == 1.0 { share } else { 0.0 };
        outcome.late += if part > 0.0 && part < 1.0 { share } else { 0.0 };
        outcome.refused += if refused[num] { share } else { 0.0 };
        let window = &mut by_window[((job.at.0 / WINDOW.0) as usize).min(windows - 1)];
        for sums in [window, &mut by_kind[job.kind]] {
            sums.0 += job.worth * part;
            sums.1 += job.worth;
        }
        earned += job.worth * part;
        owed += job.worth;
    }
    let ratios: Vec<f64> = by_window.iter().map(|(e, o)| e / o.max(0.001)).collect();
    if flags.windows {
        for (num, ratio) in ratios.iter().enumerate() {
            println!("{:>3} s {ratio:.3}", num as u64 * WINDOW.0 / 1000);
        }
    }
    let mut sorted = ratios;
    sorted.sort_by(f64::total_cmp);
    let totals = &world.totals;
    let passes = totals.passes as f64;
    Outcome {
        worth: earned / owed,
        worst_windows: (sorted[0] + sorted[1]) / 2.0,
        by_kind: by_kind.iter().map(|(e, o)| e / o).collect(),
        starts: totals.starts as f64,
        stopped: totals.stopped as f64,
        wasted: totals.wasted,
        pass_ms: totals.pass_time.as_secs_f64() * 1000.0 / passes,
        pass_max_ms: totals.pass_max.as_secs_f64() * 1000.0,
        stops_ms: totals.stop_time.as_secs_f64() * 1000.0 / passes,
        ..outcome
    }
}
