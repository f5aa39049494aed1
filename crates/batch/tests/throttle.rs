//! Best-effort tasks beside serving ones: the target is not exceeded for long, and idle processor
//! time is used.

mod kit;

use base::Millis;
use batch::throttle::Latency;
use batch::throttle::Throttle;
use batch::throttle::ThrottleBounds;
use batch::ActiveRun;
use batch::JobPhase;
use batch::OddRows;
use batch::Report;
use batch::StepSpec;

use kit::job;
use kit::step;

const BOUNDS: ThrottleBounds = ThrottleBounds {
    apply_delay: Millis(100),
    violation_limit: Millis(4_000),
};

/// Time between two polls of the worker, in milliseconds.
const POLL_INTERVAL: u64 = 250;

const TARGET: u64 = 100;

/// Outcome of a policy: the longest time over the target caused by best-effort tasks, in
/// milliseconds, and their mean share, in percent.
struct Outcome {
    violation: u64,
    share: u64,
}

/// Simulates a minute in which the load of the serving task rises and falls. Best-effort tasks add
/// to its response time in proportion to its load and their share. The worker reports response
/// times of the last half second.
fn simulate(mut policy: impl FnMut(&[Latency], Millis) -> u32) -> Outcome {
    let mut reported = vec![0; 2];
    let (mut share, mut violation, mut longest, mut sum) = (100, 0, 0, 0);
    let mut in_force = share;
    for turn in 0..240_u64 {
        let now = Millis(10_000 + turn * POLL_INTERVAL);
        let load = match (turn / 20) % 3 {
            0 => 30,
            1 => 60,
            _ => 80,
        };
        let tail = load + u64::from(in_force) * load / 70;
        reported.push(tail);
        let measured = reported[reported.len() - 3];
        in_force = share;
        share = policy(
            &[Latency {
                measured,
                target: TARGET,
            }],
            now,
        );
        violation = if tail > TARGET && in_force > 0 {
            violation + POLL_INTERVAL
        } else {
            0
        };
        longest = longest.max(violation);
        sum += u64::from(in_force);
    }
    Outcome {
        violation: longest,
        share: sum / 240,
    }
}

/// Without throttling the target is exceeded for as long as the load lasts; with the best-effort
/// tasks suspended nothing is used. The throttle keeps the limit and uses most of the idle time.
#[test]
fn violations_are_short_and_idle_time_is_used() {
    let mut throttle = Throttle::default();
    let throttled = simulate(|latencies, now| {
        throttle.update(latencies, BOUNDS, now);
        throttle.share()
    });
    let unthrottled = simulate(|_, _| 100);
    assert!(
        unthrottled.violation > BOUNDS.violation_limit.0,
        "without a throttle the violation is too short: {} ms",
        unthrottled.violation
    );
    // Leaves time for one request that is lost and repeated.
    assert!(
        throttled.violation + 700 < BOUNDS.violation_limit.0,
        "{}",
        throttled.violation
    );
    // The largest shares that meet the target if the load is known in advance are 100%, 46% and
    // 17%, in turn.
    let best = (100 + 46 + 17) / 3;
    assert!(
        throttled.share * 3 > best * 2,
        "mean share {}%, best possible {best}%",
        throttled.share
    );
}

#[test]
fn best_effort_tasks_are_suspended_if_throttling_does_not_help() {
    let mut throttle = Throttle::default();
    let over = [Latency {
        measured: 500,
        target: TARGET,
    }];
    for turn in 0..8 {
        throttle.update(&over, BOUNDS, Millis(10_000 + turn * POLL_INTERVAL));
    }
    assert_eq!(throttle.share(), 0);
}

fn row(task: &batch::TaskId, load: u64) -> ActiveRun {
    ActiveRun {
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
fn a_share_is_requested_until_the_worker_accepts_it() {
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
    assert_eq!(site.phase_shown(&serves), Some(JobPhase::Running));
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
        odd: OddRows::default(),
    };
    assert_eq!(site.scheduler.throttle_requests(site.now), []);
    let (now, high) = (site.now, report(&site, 400));
    site.scheduler.report(&worker, high, now, now);
    let requests = site.scheduler.throttle_requests(now);
    assert_eq!((requests.len(), requests[0].percent), (1, 50));
    assert_eq!(requests[0].task, task(&fills));
    assert_eq!(
        site.scheduler.throttle_requests(now),
        [],
        "the request is in flight"
    );
    let later = now + Millis(700);
    assert_eq!(
        site.scheduler.throttle_requests(later).len(),
        1,
        "the request was not answered and is repeated"
    );
    site.scheduler.throttle_accepted(&requests[0]);
    assert_eq!(site.scheduler.throttle_requests(later + Millis(700)), []);
    site.take_over();
    site.run(Millis(300));
    let restored = site.scheduler.throttle_requests(site.now);
    assert_eq!((restored.len(), restored[0].percent), (1, 100));
}
