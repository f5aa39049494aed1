//! Tasks that fill beside tasks that serve: harm stays within its bound, and the rest is used.

mod kit;

use base::Millis;
use batch::pace::Pace;
use batch::pace::PaceBounds;
use batch::pace::Tail;
use batch::JobPhase;
use batch::Report;
use batch::RunRow;
use batch::StepSpec;

use kit::job;
use kit::step;

const BOUNDS: PaceBounds = PaceBounds {
    pace: Millis(100),
    harm: Millis(4_000),
};

/// Time between two looks at the worker.
const LOOK: u64 = 250;

const TARGET: u64 = 100;

/// What a policy leads to: the longest time over the target by others' doing, in milliseconds, and
/// the mean share of those that fill, in percent.
struct Result {
    harm: u64,
    share: u64,
}

/// A minute in which the load of the serving task rises and falls. Its response times are its own
/// and what those that fill add to them, which grows with its load; the figure that the worker
/// tells is that of the last half second.
fn minute(mut policy: impl FnMut(&[Tail], Millis) -> u32) -> Result {
    let mut told = vec![0; 2];
    let (mut share, mut harm, mut longest, mut sum) = (100, 0, 0, 0);
    let mut in_force = share;
    for turn in 0..240_u64 {
        let now = Millis(10_000 + turn * LOOK);
        let load = match (turn / 20) % 3 {
            0 => 30,
            1 => 60,
            _ => 80,
        };
        let tail = load + u64::from(in_force) * load / 70;
        told.push(tail);
        let seen = told[told.len() - 3];
        in_force = share;
        share = policy(
            &[Tail {
                seen,
                target: TARGET,
            }],
            now,
        );
        harm = if tail > TARGET && in_force > 0 {
            harm + LOOK
        } else {
            0
        };
        longest = longest.max(harm);
        sum += u64::from(in_force);
    }
    Result {
        harm: longest,
        share: sum / 240,
    }
}

/// Without pacing the target is exceeded for as long as the load lasts; with those that fill held
/// for good nothing is used. The pace keeps the bound and uses most of what is left.
#[test]
fn harm_stays_within_its_bound_and_the_rest_is_used() {
    let mut pace = Pace::default();
    let paced = minute(|tails, now| {
        pace.see(tails, BOUNDS, now);
        pace.share()
    });
    let free = minute(|_, _| 100);
    assert!(free.harm > BOUNDS.harm.0, "the load harms: {}", free.harm);
    // One order may be lost and sent again.
    assert!(paced.harm + 700 < BOUNDS.harm.0, "{}", paced.harm);
    // The most that keeps the target, with the load known ahead: 100%, 46% and 17% by turns.
    let best = (100 + 46 + 17) / 3;
    assert!(paced.share * 3 > best * 2, "{}% of {best}%", paced.share);
}

#[test]
fn those_that_fill_are_held_when_nothing_else_helps() {
    let mut pace = Pace::default();
    let over = [Tail {
        seen: 500,
        target: TARGET,
    }];
    for turn in 0..8 {
        pace.see(&over, BOUNDS, Millis(10_000 + turn * LOOK));
    }
    assert_eq!(pace.share(), 0);
}

fn row(task: &batch::TaskId, load: u64) -> RunRow {
    RunRow {
        task: task.clone(),
        run: batch::RunNumber(1),
        saved: String::new(),
        percent: 50,
        load: Some(load),
    }
}

/// A worker with a serving task over its target and a task that fills: the coordinator orders a
/// lower share, once it is acknowledged no more, and a successor restores it when all is calm.
#[test]
fn a_pace_is_ordered_until_the_worker_has_taken_it() {
    let mut site = kit::site::Site::new(1, 1, kit::site::Faults::default());
    let serving = StepSpec {
        lasting: true,
        tail_target: Some(Millis(TARGET)),
        ..step(1, 1, Millis(60_000))
    };
    let filling = StepSpec {
        fills: true,
        ..step(1, 1, Millis(60_000))
    };
    let serves = site.submit("a", job(1, vec![serving], site.now));
    let fills = site.submit("b", job(2, vec![filling], site.now));
    site.run(Millis(500));
    assert_eq!(site.told(&serves), Some(JobPhase::Running));
    let worker = site.workers[0].id.clone();
    let task = |job: &base::JobId| batch::TaskId {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let report = |site: &kit::site::Site, tail: u64| Report {
        born: Some(site.workers[0].born.0),
        clock: site.now.since(site.workers[0].born).0,
        running: vec![row(&task(&serves), tail), row(&task(&fills), 9)],
        ended: Vec::new(),
    };
    assert_eq!(site.book.paces(site.now), []);
    let (now, high) = (site.now, report(&site, 400));
    site.book.report(&worker, high, now, now);
    let orders = site.book.paces(now);
    assert_eq!((orders.len(), orders[0].percent), (1, 50));
    assert_eq!(orders[0].task, task(&fills));
    assert_eq!(site.book.paces(now), [], "it is under way");
    let later = now + Millis(700);
    assert_eq!(site.book.paces(later).len(), 1, "it got no answer");
    site.book.paced(&orders[0]);
    assert_eq!(site.book.paces(later + Millis(700)), []);
    site.take_over();
    site.run(Millis(300));
    let restored = site.book.paces(site.now);
    assert_eq!((restored.len(), restored[0].percent), (1, 100));
}
