//! Isolation of workers on which all jobs fail, and failure of jobs that fail on all workers.

mod common;

use base::Millis;
use base::Spread;
use base::WorkerId;
use common::*;
use gang::Action;
use gang::Ended;

/// Worker on which the actions start a job of one task.
fn start_worker(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Start(plan) => Some(plan.places[0].worker.clone()),
        _ => None,
    })
}

/// Runs `count` jobs at the same time. Those on `failing` fail, the others succeed.
fn run_jobs(fixture: &mut Fixture, count: u32, failing: Option<&WorkerId>) -> Vec<Action> {
    let name = |i| format!("j{i}");
    let one = shape(1, 8, Spread::Domain);
    let starts: Vec<_> = (0..count)
        .map(|i| start_worker(&fixture.run(job(&name(i), "a", one))))
        .collect();
    let mut all = Vec::new();
    for (i, at) in (0..count).zip(starts) {
        let how = match at {
            Some(worker) if Some(&worker) == failing => Ended::Failed { worker },
            _ => Ended::Finished,
        };
        all.extend(fixture.ended(&name(i), how));
    }
    fixture.step(gang::Input::Cancel(
        (0..count).map(|i| name(i).parse().unwrap()).collect(),
    ));
    for i in 0..count {
        fixture.ended(&name(i), Ended::Unknown);
    }
    all
}

#[test]
fn failing_worker_is_isolated_and_restored_after_probe() {
    let mut fixture = Fixture::new(policy(vec![]), 3, 4);
    let failing: WorkerId = "x/0/0".parse().unwrap();
    let mut all = Vec::new();
    for _ in 0..3 {
        all.extend(run_jobs(&mut fixture, 12, Some(&failing)));
    }
    assert!(all.contains(&Action::Isolate(failing.clone())));
    let probe = fixture.tick(Millis::from_secs(301));
    assert_eq!(probe, [Action::Probe(failing.clone())]);
    assert!(run_jobs(&mut fixture, 12, None).contains(&Action::Restore(failing)));
}

#[test]
fn job_that_fails_on_all_workers_is_given_up() {
    let mut fixture = Fixture::new(policy(vec![]), 3, 4);
    let mut actions = fixture.run(job("j", "a", shape(1, 8, Spread::Domain)));
    let mut failures = 0;
    while let Some(worker) = start_worker(&actions) {
        failures += 1;
        actions = fixture.ended("j", Ended::Failed { worker });
    }
    let [Action::Fail { evidence, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((failures, evidence.workers.len()), (3, 3));
    assert!(fixture.planner.status().isolated.is_empty());
}
