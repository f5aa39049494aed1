//! Best-effort tasks beside serving ones: the target is not exceeded for long, and idle processor
//! time is used.

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

/// Time between two polls of the worker, in milliseconds.
const LOOK: u64 = 250;

const TARGET: u64 = 100;

/// Outcome of a policy: the longest time over the target caused by best-effort tasks, in
/// milliseconds, and their mean share, in percent.
struct Result {
    harm: u64,
    share: u64,
}

/// Simulates a minute in which the load of the serving task rises and falls. Best-effort tasks add
/// to its response time in proportion to its load and their share. The worker reports response
/// times of the last half second.
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

/// Without throttling the target is exceeded for as long as the load lasts; with the best-effort
/// tasks suspended nothing is used. The throttle keeps the limit and uses most of the idle time.
#[test]
fn harm_stays_within_its_bound_and_the_rest_is_used() {
    let mut pace = Pace::default();
    let paced = minute(|tails, now| {
        pace.see(tails, BOUNDS, now);
        pace.share()
    });
    let free = minute(|_, _| 100);
    assert!(free.harm > BOUNDS.harm.0, "the load harms: {}", free.harm);
    // Leaves time for one request that is lost and repeated.
    assert!(paced.harm + 700 < BOUNDS.harm.0, "{}", paced.harm);
    // The largest shares that meet the target if the load is known in advance are 100%, 46% and
    // 17%, in turn.
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

/// A serving task is over its target on a worker that it shares with a best-effort task. The
/// coordinator requests a lower share, and repeats this only until the worker has accepted it. Its
/// successor restores the full share once the response times are low.
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
