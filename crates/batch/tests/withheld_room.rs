//! Room that is withheld from work which could use it: nothing waits for long beside free room because a
//! gang waits for it, or for a place that would suit better.

mod kit;

use base::JobId;
use base::Millis;
use batch::Resources;
use batch::StepSpec;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use yare::parameterized;

use kit::idle::IdleWatch;
use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Longest time for which due work may have nothing running beside free room.
const MAX_IDLE: Millis = Millis(3_000);

/// Time in which the rest of a mixed load ends.
const DRAIN_TIME: Millis = Millis(60_000);

fn gang(count: u32, accels: u64, lasts: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, lasts)
    }
}

/// A job of many small tasks that comes while a gang waits for work that runs.
fn beside_a_gang(site: &mut Site, running: StepSpec, waiting: StepSpec) -> JobId {
    site.submit("a", job(1, vec![running], site.now));
    site.run(SECOND);
    site.submit("b", job(1, vec![waiting], site.now));
    site.run(SECOND);
    site.submit("c", job(2, vec![step(30, 1, Millis(40_000))], site.now))
}

/// One task of a minute on each of these racks.
fn occupy_racks(site: &mut Site, racks: impl Iterator<Item = usize>) {
    for rack in racks {
        let near = StepSpec {
            data_rack: Some(format!("r{rack}")),
            ..step(1, 1, Millis(60_000))
        };
        site.submit(
            &format!("{:016x}", 0xf000 + rack),
            job(2, vec![near], site.now),
        );
    }
    site.run(SECOND);
}

/// Guards against a gang that waits for one rack with room for all of it: one small task on each rack kept
/// it waiting for as long as that ran, beside three of four workers without any.
#[test]
fn a_gang_does_not_wait_for_a_whole_rack_beside_free_workers() {
    let mut site = Site::new(48, 1, Faults::default());
    site.run(SECOND);
    occupy_racks(&mut site, 0..12);
    let tight = StepSpec {
        one_rack: true,
        ..gang(4, 8, Millis(5_000))
    };
    let id = site.submit("a", job(1, vec![tight], site.now));
    let mut watch = IdleWatch::default();
    watch.run(&mut site, &[id], Millis(10_000));
    assert!(watch.worst.0 <= MAX_IDLE, "waited for {}", watch.worst.0);
}

/// A rack that becomes free soon is worth the wait.
#[test]
fn a_gang_takes_a_whole_rack_that_is_free_in_time() {
    let mut site = Site::new(48, 1, Faults::default());
    site.run(SECOND);
    occupy_racks(&mut site, 1..12);
    let short = StepSpec {
        data_rack: Some("r0".to_string()),
        ..step(1, 1, Millis(2_000))
    };
    site.submit("b", job(1, vec![short], site.now));
    site.run(SECOND);
    let tight = StepSpec {
        one_rack: true,
        ..gang(4, 8, Millis(5_000))
    };
    let id = site.submit("a", job(1, vec![tight], site.now));
    site.run(Millis(2_500));
    let on_rack = |w: &&kit::worker::FakeWorker| w.runs.keys().any(|task| task.job == id);
    let racks: Vec<&str> = site
        .workers
        .iter()
        .filter(on_rack)
        .map(|w| w.rack.as_str())
        .collect();
    assert_eq!(racks, ["r0"; 4]);
}

/// Guards against room that is reserved for a gang for as long as that waits: a gang as wide as the site
/// waited for one worker, and kept all others from work that needed one accelerator.
#[test]
fn small_work_does_not_wait_for_room_that_a_gang_waits_for() {
    let mut site = Site::new(24, 2, Faults::default());
    site.run(SECOND);
    let id = beside_a_gang(
        &mut site,
        step(1, 1, Millis(30_000)),
        gang(24, 8, Millis(5_000)),
    );
    let mut watch = IdleWatch::default();
    watch.run(&mut site, &[id], Millis(10_000));
    assert!(watch.worst.0 <= MAX_IDLE, "waited for {}", watch.worst.0);
}

/// Guards against a pool that counts as busy because many of its workers do not answer: room that nobody
/// uses is room, and what is withheld on the workers that answer was kept from other work.
#[test]
fn a_pool_is_not_busy_because_half_of_it_is_silent() {
    let mut site = Site::new(48, 4, Faults::default());
    site.run(SECOND);
    site.workers[24..]
        .iter_mut()
        .for_each(|w| w.reachable = false);
    site.run(SECOND);
    let id = beside_a_gang(
        &mut site,
        step(15, 8, Millis(30_000)),
        gang(24, 8, Millis(5_000)),
    );
    let mut watch = IdleWatch::default();
    watch.run(&mut site, &[id], Millis(10_000));
    assert!(watch.worst.0 <= MAX_IDLE, "waited for {}", watch.worst.0);
}

/// Guards against work that waits for a gang after the load has ended: on a busy pool, one gang that waited
/// for its room kept hundreds of free accelerators from single tasks.
#[test]
fn nothing_waits_for_a_gang_once_no_new_work_comes() {
    let mut site = Site::new(48, 6, Faults::default());
    site.run(SECOND);
    let id = beside_a_gang(
        &mut site,
        step(36, 8, Millis(30_000)),
        gang(13, 8, Millis(5_000)),
    );
    let submitted = site.now;
    let starts = |w: &kit::worker::FakeWorker| {
        let runs = w.runs.iter().filter(|(task, _)| task.job == id);
        runs.map(|(_, run)| run.started).min()
    };
    site.run(Millis(10_000));
    let started = site.workers.iter().filter_map(starts).min();
    let waited = started.map(|at| at.since(submitted));
    assert!(
        waited.is_some_and(|w| w <= MAX_IDLE),
        "waited for {waited:?}"
    );
}

/// Guards against a patience that begins anew with each start that is refused: work that had failed once
/// went from one worker that refuses all starts to the next, and waited for a proven worker each time.
#[test]
fn refused_starts_do_not_renew_the_patience_of_a_step() {
    let mut site = Site::new(8, 5, Faults::default());
    site.run(SECOND);
    site.workers[..4].iter_mut().for_each(|w| w.fails = true);
    site.workers[4..].iter_mut().for_each(|w| w.refuses = true);
    let mut ids = Vec::new();
    for num in 0..40 {
        let spec = step(1, 1, Millis(100));
        ids.push(site.submit(&format!("{num:016x}"), job(1, vec![spec], site.now)));
        site.run(Millis(100));
    }
    site.workers[..4].iter_mut().for_each(|w| w.fails = false);
    let mut watch = IdleWatch::default();
    watch.run(&mut site, &ids, Millis(10_000));
    assert!(watch.worst.0 <= MAX_IDLE, "waited for {}", watch.worst.0);
}

/// Guards against logs that say `room` of work that waits beside room: they name what keeps it from there.
#[test]
fn a_wait_beside_free_room_tells_what_keeps_the_room() {
    let mut site = Site::new(24, 2, Faults::default());
    site.run(SECOND);
    let id = beside_a_gang(
        &mut site,
        step(1, 1, Millis(30_000)),
        gang(24, 8, Millis(5_000)),
    );
    site.run(Millis(1_900));
    let overview = site.scheduler.job_overview(&id, site.now, site.now);
    let steps = overview.expect("the job is known").steps;
    assert_eq!(steps[0].waits_for, Some("room"));
    let first = steps[0].withheld.first().expect("an obstacle");
    assert_eq!(first, &("reserved", 191));
}

/// All jobs with nothing running are counted, by organisation and pool, also those without a log line.
#[test]
fn jobs_with_nothing_running_are_counted_by_organisation() {
    let mut site = Site::new(1, 3, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(1, 8, Millis(30_000))], site.now));
    site.run(SECOND);
    for num in 0..5 {
        let org = if num < 3 { "board" } else { "clinic" };
        let waits = kit::job_of(org, 1, vec![step(1, 8, SECOND)], site.now);
        site.submit(&format!("{:016x}", num), waits);
        site.run(Millis(100));
    }
    assert!(site.scheduler.wait_summaries(site.now).is_empty());
    site.run(Millis(3_000));
    let summaries = site.scheduler.wait_summaries(site.now);
    let counts: Vec<(String, usize)> = summaries
        .iter()
        .map(|s| (s.org.as_ref().expect("an organisation").to_string(), s.jobs))
        .collect();
    assert_eq!(
        counts,
        [("board".to_string(), 3), ("clinic".to_string(), 2)]
    );
    assert_eq!(summaries[0].longest[0].1.to_string(), "0000000000000000");
    assert_eq!(summaries[0].reasons.get("room"), Some(&3));
}

/// Kinds of jobs, each with its priority and weight in the mix: wide gangs of long tasks that use most of
/// a worker, urgent gangs of short ones, and many small tasks.
fn mixed_job(rng: &mut Pcg64, at: Millis) -> batch::Submitted {
    let accels = [1, 2, 4, 8, 8][rng.random_range(0..5)];
    let width = |rng: &mut Pcg64, mean: u32| rng.random_range(mean / 3..=mean * 2).max(1);
    let with = |spec: StepSpec, cpu: u64| StepSpec {
        need: Resources { cpu, ..spec.need },
        ..spec
    };
    let tight = rng.random_bool(0.6);
    let tight = |spec: StepSpec| StepSpec {
        one_rack: tight,
        ..spec
    };
    match rng.random_range(0..100) {
        0..13 => {
            let count = width(rng, 5);
            job(
                1,
                vec![tight(with(gang(count, accels, Millis(11_000)), 13_000))],
                at,
            )
        }
        13..84 => {
            let count = width(rng, 3);
            job(
                0,
                vec![tight(with(gang(count, accels, Millis(2_500)), 3_700))],
                at,
            )
        }
        _ => {
            let count = width(rng, 16);
            let first = with(step(count, 1, Millis(7_600)), 2_800);
            let second = StepSpec {
                after: vec![0],
                ..first.clone()
            };
            let steps = if rng.random_bool(0.3) {
                vec![first, second]
            } else {
                vec![first]
            };
            job(2, steps, at)
        }
    }
}

/// Load pattern: gangs of very different width share a site with many small tasks, for a while at more than
/// its capacity, while workers fail, crash and fall silent.
#[parameterized(
    calm = { 1, 0, 60 },
    busy = { 2, 0, 30 },
    overload = { 3, 0, 18 },
    failing = { 4, 20, 30 },
    failing_overload = { 5, 20, 18 },
    slow_workers = { 6, 10, 24 },
)]
fn mixed_work_does_not_wait_beside_free_room(seed: u64, troubles: u32, pause: u64) {
    let faults = Faults {
        fail: troubles,
        unanswered: troubles / 4,
        lost: troubles / 4,
        ..Faults::default()
    };
    let mut site = Site::new(48, seed, faults);
    let mut rng = Pcg64::seed_from_u64(seed);
    for worker in &mut site.workers {
        worker.speed = [100, 100, 70][rng.random_range(0..3)];
    }
    site.run(SECOND);
    let mut ids: Vec<JobId> = Vec::new();
    let mut watch = IdleWatch::default();
    let end = site.now + Millis(30_000);
    while site.now < end {
        let submitted = mixed_job(&mut rng, site.now);
        ids.push(site.submit(&format!("{:016x}", ids.len()), submitted));
        if troubles > 0 && rng.random_bool(0.05) {
            let num = rng.random_range(0..48);
            site.workers[num].reachable ^= true;
        }
        if troubles > 0 && rng.random_bool(0.02) {
            let num = rng.random_range(0..48);
            let now = site.now;
            site.workers[num].restart(now);
        }
        let span = Millis(rng.random_range(1..pause * 10));
        watch.run(&mut site, &ids, span);
    }
    site.faults = Faults::default();
    site.workers.iter_mut().for_each(|w| w.reachable = true);
    site.run(MAX_IDLE);
    let mut rest = IdleWatch::default();
    rest.run(&mut site, &ids, DRAIN_TIME);
    println!(
        "seed {seed}: {:?} during, {:?} after the load",
        watch.worst, rest.worst
    );
    assert!(rest.worst.0 <= MAX_IDLE, "{:?} after the load", rest.worst);
    if troubles == 0 {
        assert!(watch.worst.0 <= MAX_IDLE, "{:?}", watch.worst);
    }
}
