//! Room is divided by weight when there is not enough for all: each load is replayed with weights and
//! without, which is the order by deadline alone.

mod kit;

use base::JobId;
use base::Millis;
use batch::org::divide;
use batch::org::Demand;
use batch::org::Rates;
use batch::Resources;
use batch::StepSpec;
use batch::Weight;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use yare::parameterized;

use kit::job_of;
use kit::limits::org;
use kit::limits::weighted;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Accelerators of the replayed site.
const ACCELS: u64 = 64;

/// Length of a replay, and the time at its begin that is not judged.
const SPAN: Millis = Millis(24_000);
const WARM_UP: Millis = Millis(4_000);

/// What an organisation sends.
struct Load {
    name: &'static str,
    weight: f64,
    /// Jobs a second.
    rate: f64,
    /// The step of each job.
    spec: StepSpec,
}

/// What an organisation got in a replay.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    /// Its part of the site's accelerators, on average.
    room: f64,
    /// Part of its jobs that ended within their objective.
    in_time: f64,
}

fn small(accels: u64) -> StepSpec {
    step(4, accels, SECOND)
}

fn wide_gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..step(8, 4, SECOND)
    }
}

/// Replays the loads with random times of arrival, which a seed decides.
fn replay(loads: &[Load], with_weights: bool) -> Vec<Got> {
    let mut rng = Pcg64::seed_from_u64(5);
    let mut site = Site::new(8, 5, Faults::default());
    let weights: Vec<_> = loads
        .iter()
        .map(|l| (l.name, with_weights.then_some(l.weight)))
        .collect();
    site.scheduler.configure(&weighted(2, &weights));
    let start = site.now;
    let mut sums = vec![0; loads.len()];
    let mut sent: Vec<(usize, JobId, Millis)> = Vec::new();
    let mut turns = 0;
    while site.now < start + SPAN {
        for (num, load) in loads.iter().enumerate() {
            if rng.random::<f64>() < load.rate / 100.0 {
                let submitted = job_of(load.name, 1, vec![load.spec.clone()], site.now);
                let end = site.now + submitted.objective;
                let id = site.submit(&format!("j{}", sent.len()), submitted);
                sent.push((num, id, end));
            }
        }
        site.turn();
        if site.now >= start + WARM_UP {
            turns += 1;
            for (num, load) in loads.iter().enumerate() {
                sums[num] += site.running_of(&org(load.name)).accels;
            }
        }
    }
    let ended = |id: &JobId, by: Millis| {
        let mut tasks = site.succeeded.iter().filter(|(task, _)| task.job == *id);
        site.is_done(id) && tasks.all(|(_, at)| *at <= by)
    };
    let judged = |num: usize| {
        let own = sent.iter().filter(|s| s.0 == num && s.2 <= site.now);
        let own: Vec<_> = own.collect();
        let in_time = own.iter().filter(|(_, id, end)| ended(id, *end)).count();
        in_time as f64 / own.len().max(1) as f64
    };
    (0..loads.len())
        .map(|num| Got {
            room: sums[num] as f64 / (turns * ACCELS) as f64,
            in_time: judged(num),
        })
        .collect()
}

/// One organisation sends ten times its usual. The others are served as if it did not.
#[test]
fn one_that_sends_ten_times_its_usual_harms_itself_only() {
    let load = |name, rate| Load {
        name,
        weight: 2.0,
        rate,
        spec: small(2),
    };
    let loads = [
        load("a", 1.0),
        load("b", 1.0),
        load("c", 1.0),
        load("d", 1.0),
        load("hot", 10.0),
    ];
    let (before, after) = (replay(&loads, false), replay(&loads, true));
    println!("before {before:?}\nafter {after:?}");
    let worst = |got: &[Got]| got[..4].iter().map(|g| g.in_time).fold(1.0, f64::min);
    assert!(worst(&before) < 0.6, "{before:?}");
    assert!(worst(&after) > 0.9, "{after:?}");
    // What the others leave is used.
    let used: f64 = after.iter().map(|g| g.room).sum();
    assert!(used > 0.9, "{after:?}");
}

/// Ten organisations of unequal weight want twice the room.
#[test]
fn ten_unequal_organisations_get_room_by_weight() {
    let weights = [1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 4.0, 4.0, 8.0];
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let loads: Vec<Load> = names
        .into_iter()
        .zip(weights)
        .map(|(name, weight)| Load {
            name,
            weight,
            rate: 1.6,
            spec: small(2),
        })
        .collect();
    let (before, after) = (replay(&loads, false), replay(&loads, true));
    println!("before {before:?}\nafter {after:?}");
    let capacity = Resources {
        accels: ACCELS,
        ..Resources::default()
    };
    let demand = |weight: f64| Demand {
        wanted: Resources {
            accels: 13,
            ..Resources::default()
        },
        weight: Weight::try_from(weight).expect("a weight"),
    };
    let demands = weights.map(demand);
    let fair = divide(&demands, &capacity).expect("more than there is");
    let off = |got: &[Got]| {
        let parts = got.iter().zip(&fair);
        parts.map(|(g, fair)| (g.room - fair).abs()).sum::<f64>()
    };
    assert!(
        off(&after) < off(&before) / 2.0,
        "{fair:?} {before:?} {after:?}"
    );
    for (got, fair) in after.iter().zip(&fair) {
        // One that wanted less than its share got all that it wanted.
        assert!(
            got.room > fair * 0.7 || got.in_time > 0.95,
            "{fair} {got:?}"
        );
    }
}

/// Two organisations with large gangs only and one with small tasks, which alone could use all.
#[test]
fn organisations_with_large_gangs_get_their_turns() {
    let load = |name, rate, spec| Load {
        name,
        weight: 10.0,
        rate,
        spec,
    };
    let loads = [
        load("wide", 2.0, wide_gang()),
        load("wider", 2.0, wide_gang()),
        load("small", 10.0, small(2)),
    ];
    let (before, after) = (replay(&loads, false), replay(&loads, true));
    println!("before {before:?}\nafter {after:?}");
    let least = |got: &[Got]| got.iter().map(|g| g.room).fold(1.0, f64::min);
    assert!(least(&after) > 0.22, "{before:?} {after:?}");
    assert!(least(&after) > least(&before), "{before:?} {after:?}");
}

/// Guards against weights that change anything while there is room for all.
#[test]
fn weights_change_nothing_while_there_is_room() {
    let runs = |weights: &[(&str, Option<f64>)]| {
        let mut site = Site::new(8, 9, Faults::default());
        site.scheduler.configure(&weighted(2, weights));
        let mut seen = Vec::new();
        for turn in 0..1_000 {
            if turn % 25 == 0 {
                let name = ["board", "clinic"][turn / 25 % 2];
                let submitted = job_of(name, (turn / 50 % 3) as u32, vec![small(1)], site.now);
                site.submit(&format!("j{turn}"), submitted);
            }
            site.turn();
            seen.push(site.all_runs());
        }
        seen
    };
    let (plain, unequal) = (
        [("board", None), ("clinic", None)],
        [("board", Some(100.0)), ("clinic", Some(4.0))],
    );
    assert!(runs(&plain) == runs(&unequal));
}

fn demand(accels: u64, weight: f64) -> Demand {
    Demand {
        wanted: Resources {
            accels,
            ..Resources::default()
        },
        weight: Weight::try_from(weight).expect("a weight"),
    }
}

#[parameterized(
    room_for_all = { &[(30, 1.0), (30, 9.0)], &[] },
    equal = { &[(100, 1.0), (100, 1.0)], &[0.5, 0.5] },
    by_weight = { &[(100, 3.0), (100, 1.0)], &[0.75, 0.25] },
    unused_part_goes_on = { &[(8, 1.0), (100, 1.0), (100, 1.0)], &[0.125, 0.4375, 0.4375] },
    idle = { &[(0, 9.0), (128, 1.0)], &[0.0, 1.0] },
)]
fn room_is_divided_by_weight(wants: &[(u64, f64)], shares: &[f64]) {
    let capacity = Resources {
        accels: ACCELS,
        ..Resources::default()
    };
    let demands: Vec<Demand> = wants.iter().map(|(a, w)| demand(*a, *w)).collect();
    let found = divide(&demands, &capacity);
    assert_eq!(found.is_none(), shares.is_empty());
    for (found, share) in found.iter().flatten().zip(shares) {
        assert!((found - share).abs() < 0.01, "{found} {share}");
    }
}

/// Weights of zero only, or none that wants anything: no search without end.
#[test]
fn weights_of_zero_leave_no_share() {
    let capacity = Resources {
        accels: ACCELS,
        ..Resources::default()
    };
    let found = divide(&[demand(100, 0.0)], &capacity);
    assert!(found.is_none_or(|shares| shares == [0.0]));
}

/// Each coordinator finds the same jobs beyond the rate, in whatever order it reads them.
#[test]
fn jobs_beyond_the_rate_follow_from_their_times() {
    let weight = Weight::try_from(4.0).ok();
    let times: Vec<u64> = (0..20).map(|num| 1_000_000 + num * 100).collect();
    let id = |num: usize| -> JobId { format!("j{num:02}").parse().expect("a job id") };
    let excess = |order: &[usize]| {
        let mut rates = Rates::default();
        let mut found: Vec<(JobId, bool)> = Vec::new();
        for &num in order {
            let is_excess = rates.add(&org("board"), Millis(times[num]), &id(num), weight);
            found.push((id(num), is_excess));
        }
        for (id, is_excess) in rates.settle(|_| weight) {
            found.retain(|(known, _)| *known != id);
            found.push((id, is_excess));
        }
        found.sort();
        found
    };
    let in_order: Vec<usize> = (0..times.len()).collect();
    let mut reversed = in_order.clone();
    reversed.reverse();
    let found = excess(&in_order);
    assert_eq!(found, excess(&reversed));
    // In 1.9 s four jobs may come at once and seven more at the rate.
    assert_eq!(found.iter().filter(|(_, excess)| !excess).count(), 11);
}
