//! Which submissions are turned away under a burst of three times what the workers can do, against
//! the policy that also counted work of the job's own priority.

mod kit;

use base::Map;
use base::Millis;
use batch::admit;
use batch::rank::rank;
use batch::rank::RankInput;
use batch::Load;
use batch::PoolLoad;
use batch::PromisedCapacity;
use batch::Resources;
use batch::Verdict;
use batch::Work;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use yare::parameterized;

use kit::candidates::WHOLE;
use kit::job;
use kit::pool;
use kit::step;

const WORKERS: usize = 10;

/// Most attempts of a refused caller.
const ATTEMPTS: u32 = 5;

/// A result is of use up to this multiple of the objective.
const USEFUL_FACTOR: u64 = 3;

/// Time between two publications of the load.
const LOAD_INTERVAL: u64 = 500;

struct Caller {
    first: Millis,
    estimate: Millis,
    work: Millis,
    attempts: u32,
}

/// Jobs of one task that fills a worker, 10 a second can be done and 30 a second come for 10 s. True
/// work differs from the estimate by up to a factor of two.
fn callers() -> Vec<Caller> {
    let mut rng = Pcg64::seed_from_u64(7);
    let caller = |num: u64| {
        let estimate = rng.random_range(500..1_500);
        Caller {
            first: Millis(100_000 + num * 33),
            estimate: Millis(estimate),
            work: Millis((estimate as f64 * 2_f64.powf(rng.random_range(-1.0..1.0))) as u64),
            attempts: 0,
        }
    };
    (0..300).map(caller).collect()
}

fn load(waiting: &[usize], callers: &[Caller], priority: u32) -> Load {
    let mut work = Work::default();
    for num in waiting {
        work.add(
            &step(1, 8, callers[*num].estimate),
            1,
            callers[*num].estimate,
        );
    }
    let pool_load = PoolLoad {
        capacity: Resources {
            cpu: 32_000 * WORKERS as u64,
            memory: 64_000 * WORKERS as u64,
            accels: 8 * WORKERS as u64,
        },
        kinds: vec![WHOLE],
        backlog: [(priority, work)].into_iter().collect::<Map<_, _>>(),
    };
    Load {
        pools: [(pool(), pool_load)].into_iter().collect(),
        ..Load::default()
    }
}

/// Number of callers that get a result that is of use. The waiting work is published under
/// `backlog_priority`; the jobs have priority 1.
fn served(backlog_priority: u32) -> usize {
    let mut callers = callers();
    let mut due: Vec<(Millis, usize)> = callers
        .iter()
        .enumerate()
        .map(|(num, c)| (c.first, num))
        .collect();
    let mut waiting: Vec<usize> = Vec::new();
    let mut free_at = [Millis(0); WORKERS];
    let mut published = (Load::default(), Millis(0));
    let mut promises = PromisedCapacity::default();
    let mut served = 0;
    for now in (100_000..170_000).step_by(10).map(Millis) {
        if now.since(published.1).0 >= LOAD_INTERVAL {
            published = (load(&waiting, &callers, backlog_priority), now);
        }
        let (come, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now);
        due = later;
        for (_, num) in come {
            let submitted = job(1, vec![step(1, 8, callers[num].estimate)], now);
            let age = now.since(published.1);
            match admit(&published.0, age, &submitted, &mut promises, 1, now) {
                Verdict::Accept => waiting.push(num),
                Verdict::Late(after) | Verdict::NoWorker(after) => {
                    callers[num].attempts += 1;
                    if callers[num].attempts < ATTEMPTS {
                        due.push((now + after, num));
                    }
                }
            }
        }
        for free in free_at.iter_mut().filter(|at| **at <= now) {
            let key = |num: &usize| {
                let caller = &callers[*num];
                let objective = Millis(caller.estimate.0 * 3 + 1_000);
                rank(&RankInput {
                    priority: 1,
                    guaranteed: false,
                    age: now.since(caller.first),
                    objective,
                    left: caller.estimate,
                })
            };
            let Some(next) = (0..waiting.len()).min_by_key(|at| key(&waiting[*at])) else {
                break;
            };
            let caller = &callers[waiting.remove(next)];
            *free = now + caller.work;
            let objective = Millis(caller.work.0 * 3 + 1_000);
            let took = free.since(caller.first);
            served += usize::from(took.0 <= objective.0 * USEFUL_FACTOR);
        }
    }
    served
}

/// A job behind work of its own priority is accepted: none but the workers is short, and a caller
/// that is turned away loses its place to one that came later.
#[test]
fn turning_away_for_work_of_the_same_priority_serves_fewer() {
    let before = served(0);
    let after = served(1);
    assert!(
        after * 20 >= before * 21,
        "{after} callers served, {before} by the policy before"
    );
}

/// More urgent work that outlasts a job's use cannot be overtaken, so its caller is told at once.
#[parameterized(
    less = { 100, true },
    more = { 2_000, false },
)]
fn a_job_behind_more_urgent_work_is_refused(accel_seconds: u64, accepted: bool) {
    let callers = callers();
    let mut load = load(&[], &callers, 0);
    let work = Work {
        cpu: 0,
        accels: accel_seconds * 1_000,
    };
    for pool in load.pools.values_mut() {
        pool.backlog = [(0, work)].into_iter().collect();
    }
    let submitted = job(1, vec![step(1, 8, Millis(1_000))], Millis(0));
    let mut promises = PromisedCapacity::default();
    let verdict = admit(&load, Millis(0), &submitted, &mut promises, 1, Millis(0));
    assert_eq!(verdict == Verdict::Accept, accepted, "{verdict:?}");
}
