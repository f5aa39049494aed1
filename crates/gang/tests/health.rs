//! Workers that fail everything, and jobs that fail everywhere.

mod kit;

use base::Millis;
use base::Spread;
use base::WorkerId;
use gang::Action;
use gang::Ended;
use kit::*;

/// Where the actions start a job of one task.
fn home(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Start(plan) => Some(plan.places[0].worker.clone()),
        _ => None,
    })
}

/// Runs `count` jobs at once; those on `bad` fail, the others succeed.
fn round(bench: &mut Bench, count: u32, bad: Option<&WorkerId>) -> Vec<Action> {
    let name = |i| format!("j{i}");
    let one = shape(1, 8, Spread::Domain);
    let starts: Vec<_> = (0..count)
        .map(|i| home(&bench.run(job(&name(i), "a", one))))
        .collect();
    let mut all = Vec::new();
    for (i, at) in (0..count).zip(starts) {
        let how = match at {
            Some(worker) if Some(&worker) == bad => Ended::Failed { worker },
            _ => Ended::Finished,
        };
        all.extend(bench.ended(&name(i), how));
    }
    bench.step(gang::Input::Cancel(
        (0..count).map(|i| name(i).parse().unwrap()).collect(),
    ));
    for i in 0..count {
        bench.ended(&name(i), Ended::Unknown);
    }
    all
}

#[test]
fn black_hole_is_isolated_and_probed_back() {
    let mut bench = Bench::new(policy(vec![]), 3, 4);
    let bad: WorkerId = "x/0/0".parse().unwrap();
    let mut all = Vec::new();
    for _ in 0..3 {
        all.extend(round(&mut bench, 12, Some(&bad)));
    }
    assert!(all.contains(&Action::Isolate(bad.clone())));
    let probe = bench.tick(Millis::from_secs(301));
    assert_eq!(probe, [Action::Probe(bad.clone())]);
    assert!(round(&mut bench, 12, None).contains(&Action::Restore(bad)));
}

#[test]
fn job_that_fails_everywhere_is_given_up() {
    let mut bench = Bench::new(policy(vec![]), 3, 4);
    let mut actions = bench.run(job("j", "a", shape(1, 8, Spread::Domain)));
    let mut failures = 0;
    while let Some(worker) = home(&actions) {
        failures += 1;
        actions = bench.ended("j", Ended::Failed { worker });
    }
    let [Action::Fail { evidence, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((failures, evidence.workers.len()), (3, 3));
    assert!(bench.planner.status().isolated.is_empty());
}
