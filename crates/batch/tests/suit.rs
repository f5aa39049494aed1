//! Placement by the speed of workers. Guards against urgent gangs with a slow member while faster
//! workers are free, against fast workers that are taken by work with time to spare, and against
//! workers that nobody tries.

mod kit;

use base::Millis;
use batch::place::best_fit;
use batch::place::place_gang;
use batch::place::Candidate;
use batch::place::Limits;
use batch::speed::Speed;
use batch::suit::SpeedNeed;
use batch::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use kit::candidates::empty_workers;
use kit::candidates::limits;
use kit::step;

const COUNT: usize = 96;

/// Speeds of a pool in which one worker is nearly three times as fast as another.
const SPEEDS: [u32; 3] = [60, 100, 160];

fn pool(seed: u64) -> Vec<Candidate> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut workers = empty_workers(COUNT);
    for worker in &mut workers {
        worker.speed = Speed(SPEEDS[rng.random_range(0..SPEEDS.len())]);
    }
    workers
}

fn free(workers: &[Candidate]) -> Vec<Resources> {
    workers.iter().map(|w| w.free).collect()
}

fn limits_for(speed: SpeedNeed) -> Limits<'static> {
    Limits {
        speed,
        ..limits(&kit::pool(), &[0; COUNT])
    }
}

/// An urgent step with an objective of one and a half times its work, of which half is uncertain.
fn urgent(work: u64) -> SpeedNeed {
    SpeedNeed::new(Millis(work), 1.5, Millis(work * 3 / 2), true, Speed(60))
}

/// A step with an objective of three times its work.
fn relaxed(work: u64) -> SpeedNeed {
    SpeedNeed::new(Millis(work), 1.5, Millis(work * 3), false, Speed(60))
}

/// The load that placement by speed answers: urgent gangs of five whole workers arrive one after the
/// other on a pool that is half taken. On workers chosen by room alone most are late.
#[test]
fn urgent_gangs_end_in_time_where_room_alone_makes_most_late() {
    let mut late = [0, 0];
    let gang = batch::StepSpec {
        gang: true,
        ..step(5, 8, Millis(2_000))
    };
    for seed in 0..50 {
        for (policy, need) in [SpeedNeed::default(), urgent(2_000)]
            .into_iter()
            .enumerate()
        {
            let workers = pool(seed);
            let mut free = free(&workers);
            let mut rng = Pcg64::seed_from_u64(seed + 1_000);
            for left in &mut free {
                if rng.random_range(0..2) == 0 {
                    left.accels = 4;
                }
            }
            let chosen = place_gang(&workers, &mut free, &gang, &limits_for(need), 5);
            let chosen = chosen.expect("half of the workers are free");
            let slowest = chosen.iter().map(|&num| workers[num].speed.0).min();
            late[policy] += usize::from(2_000 * 100 / u64::from(slowest.unwrap_or(1)) > 3_000);
        }
    }
    assert!(
        late[0] >= 35,
        "only {} of 50 are late by room alone",
        late[0]
    );
    assert_eq!(late[1], 0, "late on workers chosen by speed");
}

/// Work with time to spare goes to workers that are not the fastest, which stay free.
#[test]
fn relaxed_tasks_leave_the_fast_workers_free() {
    let workers = pool(1);
    let mut free = free(&workers);
    let task = step(1, 1, Millis(5_000));
    for _ in 0..200 {
        let num = best_fit(&workers, &free, &task, &limits_for(relaxed(5_000)));
        let num = num.expect("there is room");
        free[num] -= task.need;
        assert!(workers[num].speed < Speed(160), "a fast worker was taken");
    }
}

/// Slow workers are used once nothing else is free.
#[test]
fn no_worker_is_left_idle_while_work_waits() {
    let workers = pool(2);
    for need in [relaxed(5_000), urgent(5_000)] {
        let mut free = free(&workers);
        let task = step(1, 8, Millis(5_000));
        for _ in 0..COUNT {
            let num = best_fit(&workers, &free, &task, &limits_for(need));
            free[num.expect("a worker is idle")] -= task.need;
        }
    }
}

/// A gang gets members of like speed also where too few are fast enough: the slowest decides.
#[test]
fn the_slowest_member_is_as_fast_as_possible() {
    let mut workers = empty_workers(6);
    for (worker, speed) in workers.iter_mut().zip([60, 110, 160, 105, 60, 160]) {
        worker.speed = Speed(speed);
    }
    let gang = batch::StepSpec {
        gang: true,
        ..step(4, 8, Millis(2_000))
    };
    let mut free = free(&workers);
    let chosen = place_gang(&workers, &mut free, &gang, &limits_for(urgent(2_000)), 4);
    let mut chosen = chosen.expect("the gang fits");
    chosen.sort_unstable();
    assert_eq!(chosen, [1, 2, 3, 5]);
}

/// Workers of which nothing is known are tried with what has time to spare, not with urgent gangs.
#[test]
fn unknown_workers_are_tried_with_relaxed_work_only() {
    let mut workers = empty_workers(8);
    for (num, worker) in workers.iter_mut().enumerate() {
        worker.known = num < 4;
        worker.speed = if num < 4 { Speed(100) } else { Speed(60) };
    }
    let gang = batch::StepSpec {
        gang: true,
        ..step(2, 8, Millis(2_000))
    };
    let chosen = |need: SpeedNeed| {
        let mut free = free(&workers);
        place_gang(&workers, &mut free, &gang, &limits_for(need), 2).expect("the gang fits")
    };
    assert!(chosen(urgent(2_000)).iter().all(|&num| num < 4));
    assert!(chosen(relaxed(2_000)).iter().all(|&num| num >= 4));
}

/// Where workers are alike, every placement is the one by room.
#[test]
fn placement_on_alike_workers_is_by_room_alone() {
    let mut rng = Pcg64::seed_from_u64(4);
    let workers = empty_workers(COUNT);
    for _ in 0..500 {
        let free: Vec<Resources> = workers
            .iter()
            .map(|w| Resources {
                accels: rng.random_range(0..9),
                cpu: rng.random_range(0..32_000),
                ..w.free
            })
            .collect();
        let gang = batch::StepSpec {
            gang: true,
            one_rack: rng.random_range(0..2) == 0,
            ..step(
                rng.random_range(1..8),
                rng.random_range(1..9),
                Millis(2_000),
            )
        };
        let place = |need: SpeedNeed| {
            let mut free = free.clone();
            let count = gang.count as usize;
            place_gang(&workers, &mut free, &gang, &limits_for(need), count)
        };
        let by_room = place(SpeedNeed::default());
        assert_eq!(place(urgent(2_000)), by_room);
        assert_eq!(place(relaxed(2_000)), by_room);
    }
}
