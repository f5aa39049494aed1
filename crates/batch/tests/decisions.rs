//! Each scheduling decision under the load pattern that it is made for, compared with a simpler
//! policy.

mod kit;

use base::Map;
use base::Millis;
use batch::admit;
use batch::place::best_fit;
use batch::place::place_all;
use batch::place::place_gang;
use batch::place::Candidate;
use batch::preempt::choose;
use batch::preempt::Victim;
use batch::preempt::VictimIndex;
use batch::preempt::VictimKind;
use batch::rank::rank;
use batch::rank::RankInput;
use batch::reserve;
use batch::Load;
use batch::PoolLoad;
use batch::PromisedCapacity;
use batch::RateLimit;
use batch::Resources;
use batch::Schedule;
use batch::Verdict;
use batch::Work;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use kit::candidates::empty_workers;
use kit::candidates::limits;
use kit::candidates::WHOLE;
use kit::job;
use kit::pool;
use kit::step;

const SECOND: Millis = Millis(1_000);

fn occupy(candidate: &mut Candidate, accels: u64, left: Millis) {
    let used = Resources {
        cpu: 2_000,
        memory: 1_000,
        accels,
    };
    candidate.free -= used;
    candidate.running.push((left, used));
}

/// Overload: jobs with an objective of 1 s arrive every 100 ms, and the server takes 250 ms for
/// each. In the order of arrival all but the first end late.
#[test]
fn work_that_can_be_in_time_ranks_before_late_work() {
    let served = |ordered: bool| {
        let mut waiting: Vec<u64> = Vec::new();
        let mut in_time = 0;
        for turn in 0..200_u64 {
            let now = turn * 50;
            if turn % 2 == 0 {
                waiting.push(now);
            }
            if turn % 5 != 0 || waiting.is_empty() {
                continue;
            }
            let key = |at: &u64| {
                rank(&RankInput {
                    priority: 1,
                    guaranteed: false,
                    age: Millis(now - at),
                    objective: SECOND,
                    left: Millis(250),
                })
            };
            if ordered {
                waiting.sort_by_key(key);
            }
            let at = waiting.remove(0);
            in_time += u32::from(now + 250 - at <= 1_000);
        }
        in_time
    };
    let before = served(false);
    let after = served(true);
    assert!(
        after >= 4 * before,
        "{after} jobs in time, {before} in the order of arrival"
    );
}

#[test]
fn a_guaranteed_job_ranks_first_and_an_expired_one_last() {
    let wait = |priority, guaranteed, age: u64| RankInput {
        priority,
        guaranteed,
        age: Millis(age),
        objective: SECOND,
        left: Millis(500),
    };
    let late = rank(&wait(0, true, 2_900));
    assert!(late < rank(&wait(0, false, 0)));
    assert!(rank(&wait(0, false, 0)) < rank(&wait(1, false, 0)));
    assert!(rank(&wait(2, false, 0)) < rank(&wait(0, false, 9_000)));
    assert!(rank(&wait(0, false, 9_000)).is_expired());
}

/// Small tasks arrive one by one at a site of 16 workers until it is half full. Spread over the
/// emptiest workers, they leave no worker whole; packed, they leave half of the workers whole.
#[test]
fn small_tasks_leave_whole_workers_free() {
    let small = step(1, 1, SECOND);
    let large = step(1, 8, SECOND);
    let on_worker = [0_u32; 16];
    let on_worker: &'static [u32] = Box::leak(Box::new(on_worker));
    let limits = limits(&pool(), on_worker);
    let candidates = empty_workers(16);
    let whole = |free: &[Resources]| free.iter().filter(|f| f.fits(&large.occupies())).count();
    let mut packed: Vec<Resources> = candidates.iter().map(|r| r.free).collect();
    let mut spread = packed.clone();
    for _ in 0..64 {
        let num =
            best_fit(&candidates, &packed, &small, &limits).expect("a worker with free resources");
        packed[num] -= small.occupies();
        let emptiest = (0..16).max_by_key(|&n| spread[n].accels).expect("a worker");
        spread[emptiest] -= small.occupies();
    }
    assert_eq!(whole(&packed), 8);
    assert_eq!(whole(&spread), 0);
}

#[test]
fn a_gang_starts_on_one_rack_and_a_wider_one_anywhere() {
    let on_worker: &'static [u32] = &[0; 8];
    let limits = limits(&pool(), on_worker);
    let mut all = empty_workers(8);
    all[0].free = Resources::default();
    let mut gang = step(4, 8, SECOND);
    gang.gang = true;
    gang.one_rack = true;
    let mut free: Vec<Resources> = all.iter().map(|r| r.free).collect();
    let chosen = place_gang(&all, &mut free, &gang, &limits, 4).expect("a rack");
    assert!(
        chosen.iter().all(|&n| n >= 4),
        "the gang is not on the second rack: {chosen:?}"
    );
    let mut free: Vec<Resources> = all.iter().map(|r| r.free).collect();
    let wide = place_gang(&all, &mut free, &gang, &limits, 6);
    assert!(
        wide.is_some(),
        "a gang that is larger than every rack may use several"
    );
}

#[test]
fn a_gang_that_does_not_fit_occupies_nothing() {
    let on_worker: &'static [u32] = &[0; 4];
    let limits = limits(&pool(), on_worker);
    let all = empty_workers(4);
    let mut free: Vec<Resources> = all.iter().map(|r| r.free).collect();
    let before = free.clone();
    assert!(place_all(&all, &mut free, &step(5, 8, SECOND), &limits, 5).is_none());
    assert_eq!(free, before);
}

/// The site is full, and the runs differ in the work that a stop would lose. Stopping those on the
/// first workers loses several times as much as the choice does. Resources that are already being
/// freed are used first.
#[test]
fn preemption_for_an_urgent_gang_loses_the_least_work() {
    let mut rng = Pcg64::seed_from_u64(1);
    let on_worker: &'static [u32] = &[0; 16];
    let limits = limits(&pool(), on_worker);
    let mut all = empty_workers(16);
    let mut victims = Vec::new();
    for (num, candidate) in all.iter_mut().enumerate() {
        occupy(candidate, 8, SECOND);
        victims.push(Victim {
            workers: vec![num],
            need: Resources {
                cpu: 2_000,
                memory: 1_000,
                accels: 8,
            },
            loss: rng.random_range(100..10_000),
            kind: VictimKind::Ordinary,
            step: None,
        });
    }
    let mut gang = step(2, 8, SECOND);
    gang.gang = true;
    gang.one_rack = true;
    let index = VictimIndex::new(victims.clone(), Vec::new(), all.len());
    let choice = choose(&all, &index, &gang, &limits, 2).expect("a choice");
    assert_eq!(choice.victims.len(), 2);
    let racks: Vec<_> = choice.workers.iter().map(|&n| n / 4).collect();
    assert_eq!(racks[0], racks[1]);
    let first: u64 = victims[..2].iter().map(|v| v.loss).sum();
    assert!(
        choice.loss * 2 < first,
        "the choice loses {}, the first two victims {first}",
        choice.loss
    );
    let releasing = Resources {
        cpu: 2_000,
        memory: 1_000,
        accels: 8,
    };
    all[4].releasing = releasing;
    all[5].releasing = releasing;
    let again = choose(&all, &index, &gang, &limits, 2).expect("a choice");
    assert_eq!(
        (again.loss, again.victims.len()),
        (0, 0),
        "resources that are being freed are not used"
    );
}

/// Small tasks of 1 s take every accelerator that becomes free, for 20 s, while a gang of two whole
/// workers waits. Without a reservation the gang starts only when the small tasks run out.
#[test]
fn a_large_gang_starts_while_small_tasks_keep_arriving() {
    let starts = |reserved: bool| {
        let on_worker: &'static [u32] = &[0; 4];
        let small = step(1, 1, SECOND);
        let mut gang = step(2, 8, SECOND);
        gang.gang = true;
        let mut running: Vec<Vec<Millis>> = vec![Vec::new(); 4];
        for (num, list) in running.iter_mut().enumerate() {
            *list = (1..=8).map(|n| Millis(n * 120 + num as u64)).collect();
        }
        for turn in 0..400_u64 {
            let now = Millis(turn * 50);
            running
                .iter_mut()
                .for_each(|list| list.retain(|end| *end > now));
            let mut all = empty_workers(4);
            for (candidate, list) in all.iter_mut().zip(&running) {
                list.iter().for_each(|end| occupy(candidate, 1, *end - now));
            }
            let limits = limits(&pool(), on_worker);
            let mut free: Vec<Resources> = all.iter().map(|r| r.free).collect();
            if place_gang(&all, &mut free, &gang, &limits, 2).is_some() {
                return now;
            }
            if reserved {
                reserve::reserve_gang(&mut all, &gang, &limits, 2);
            }
            while let Some(num) = best_fit(&all, &free, &small, &limits) {
                free[num] -= small.occupies();
                running[num].push(now + SECOND);
            }
        }
        Millis(20_000)
    };
    assert_eq!(starts(false), Millis(20_000));
    assert!(
        starts(true) <= Millis(2_000),
        "the gang starts only after {}",
        starts(true)
    );
}

fn load(accel_seconds: u64) -> Load {
    let work = Work {
        cpu: 0,
        accels: accel_seconds * 1_000,
    };
    let backlog: Map<u32, Work> = [(1, work)].into_iter().collect();
    let capacity = Resources {
        cpu: 320_000,
        memory: 640_000,
        accels: 80,
    };
    let pool_load = PoolLoad {
        capacity,
        kinds: vec![WHOLE],
        backlog,
    };
    Load {
        pools: [(pool(), pool_load)].into_iter().collect(),
        ..Load::default()
    }
}

#[test]
fn a_job_that_fits_no_worker_is_refused() {
    let submitted = job(1, vec![step(1, 9, SECOND)], Millis(0));
    let mut promises = PromisedCapacity::default();
    let verdict = admit(&load(0), Millis(0), &submitted, &mut promises, 1, Millis(0));
    assert!(matches!(verdict, Verdict::NoWorker(_)), "{verdict:?}");
}

#[test]
fn an_outdated_load_refuses_nothing() {
    let submitted = job(1, vec![step(1, 9, SECOND)], Millis(0));
    let mut promises = PromisedCapacity::default();
    let verdict = admit(
        &load(0),
        Millis(6_000),
        &submitted,
        &mut promises,
        1,
        Millis(0),
    );
    assert_eq!(verdict, Verdict::Accept);
}

/// A burst of 20 jobs arrives when the backlog is longer than their results are of use. Each is
/// refused with a retry time later than that of the one before.
#[test]
fn refused_callers_get_increasing_retry_times() {
    let submitted = job(1, vec![step(8, 8, SECOND)], Millis(0));
    let mut promises = PromisedCapacity::default();
    let load = load(80 * 20);
    let times: Vec<Millis> = (0..20)
        .map(
            |_| match admit(&load, Millis(0), &submitted, &mut promises, 1, Millis(0)) {
                Verdict::Late(after) => after,
                verdict => panic!("{verdict:?}"),
            },
        )
        .collect();
    assert!(times.windows(2).all(|t| t[0] < t[1]), "{times:?}");
    let urgent = job(0, vec![step(1, 8, SECOND)], Millis(0));
    let verdict = admit(&load, Millis(0), &urgent, &mut promises, 1, Millis(0));
    assert_eq!(
        verdict,
        Verdict::Accept,
        "backlog of a lower priority does not count"
    );
}

/// Guards against counting the waiting time of every occurrence from the acceptance of the job,
/// which made all but the first late from the start.
#[test]
fn an_occurrence_waits_from_its_due_time() {
    let mut submitted = job(1, vec![step(1, 1, SECOND)], Millis(10_000));
    submitted.work.schedule = Some(Schedule {
        start: Millis(9_000),
        interval: Millis(4_000),
        runs: 5,
    });
    assert_eq!(
        submitted.due(0),
        Millis(10_000),
        "an occurrence does not wait before the job is accepted"
    );
    assert_eq!(submitted.due(3), Millis(21_000));
}

#[test]
fn done_steps_do_not_count_as_remaining() {
    let mut second = step(1, 1, Millis(500));
    second.after = vec![0];
    let work = job(1, vec![step(1, 1, SECOND), second], Millis(0)).work;
    assert_eq!(work.critical_path(), Millis(1_500));
    assert_eq!(work.remaining_path(|step| step == 0), Millis(500));
}

/// Callers without a key send a thousand submissions a second, and only a few of them are recorded.
#[test]
fn the_rate_limit_holds_in_every_second() {
    let mut limit = RateLimit::new(20);
    let taken = (0..3_000).filter(|num| limit.allow(Millis(10_000 + num)));
    assert_eq!(taken.count(), 3 * 20);
}

/// Failure: the limit was counted in whole seconds of the clock, so twice as many passed around the
/// end of a second.
#[test]
fn the_rate_limit_holds_in_every_span_of_a_second() {
    let mut limit = RateLimit::new(20);
    let taken: Vec<u64> = (10_900..12_500)
        .filter(|at| limit.allow(Millis(*at)))
        .collect();
    for from in 10_900..11_500 {
        let within = taken.iter().filter(|at| (from..from + 1_000).contains(*at));
        assert!(within.count() <= 20, "from {from}");
    }
}

/// Guards against a large urgent gang missing its time limit: small urgent gangs with a shorter
/// objective kept taking the resources that were being freed for it.
#[test]
fn the_oldest_guaranteed_job_ranks_first() {
    let wait = |age: u64, objective: u64| RankInput {
        priority: 0,
        guaranteed: true,
        age: Millis(age),
        objective: Millis(objective),
        left: Millis(objective / 2),
    };
    assert!(rank(&wait(900, 12_000)) < rank(&wait(200, 2_000)));
}
