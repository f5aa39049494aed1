//! Workers whose capacity changes while they run.

mod common;

use base::Accels;
use base::Attempt;
use base::Cores;
use base::GangPlan;
use base::Millis;
use base::Spread;
use base::TaskPlace;
use common::*;
use gang::Action;
use gang::Ended;
use gang::Input;

fn starts(actions: &[Action]) -> usize {
    let started = |a: &&Action| matches!(a, Action::Start(_));
    actions.iter().filter(started).count()
}

/// Reports the first worker with this many accelerators.
fn resize(fixture: &mut Fixture, accels: u32) -> Vec<Action> {
    let mut spec = worker("x", 0, 0);
    spec.accels = Accels(accels);
    spec.cores = Cores(4 * accels);
    fixture.step(Input::WorkerUp(spec))
}

/// Guards against a capacity that is read once: a changed row of the platform's list was ignored while the
/// worker was up.
#[test]
fn nothing_is_placed_beyond_a_capacity_that_shrank() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 1);
    resize(&mut fixture, 4);
    let large = shape(1, 8, Spread::Domain);
    assert_eq!(starts(&fixture.submit(job("large", "a", large))), 0);
    let small = shape(1, 4, Spread::Domain);
    assert_eq!(starts(&fixture.run(job("small", "a", small))), 1);
    assert_eq!(starts(&fixture.submit(job("second", "a", small))), 0);
    assert_eq!(starts(&resize(&mut fixture, 8)), 1, "it grew again");
}

#[test]
fn what_runs_beyond_a_capacity_that_shrank_goes_on() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 1);
    let whole = shape(1, 8, Spread::Domain);
    assert_eq!(starts(&fixture.run(job("whole", "a", whole))), 1);
    let actions = resize(&mut fixture, 2);
    assert_eq!(actions, [], "nothing is stopped");
    let two = shape(1, 2, Spread::Domain);
    assert_eq!(starts(&fixture.submit(job("two", "a", two))), 0);
    assert_eq!(starts(&fixture.ended("whole", Ended::Finished)), 1);
}

/// A guarantee that does not fit any more is short, and is met again once the worker has grown.
#[test]
fn guarantees_follow_the_capacity() {
    let whole = shape(1, 8, Spread::Domain);
    let guarantees = vec![guarantee("a", "x", whole, 1)];
    let mut fixture = Fixture::new(policy(guarantees), 1, 1);
    let actions = resize(&mut fixture, 4);
    let short = |a: &Action| matches!(a, Action::GuaranteeShort { .. });
    assert!(actions.iter().any(short), "{actions:?}");
    let actions = resize(&mut fixture, 8);
    let met = |a: &Action| matches!(a, Action::GuaranteeMet { .. });
    assert!(actions.iter().any(met), "{actions:?}");
}

/// Guards against a job that a new coordinator stops only because its worker has shrunk since its start.
#[test]
fn a_job_beyond_a_capacity_that_shrank_is_adopted() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 1);
    resize(&mut fixture, 2);
    let whole = shape(1, 8, Spread::Domain);
    let plan = GangPlan {
        job: "whole".parse().unwrap(),
        attempt: Attempt(1),
        places: vec![TaskPlace {
            task: 0,
            worker: "x/0/0".parse().unwrap(),
            first: 0,
            count: whole.accels,
        }],
    };
    let actions = fixture.step(Input::Adopt {
        spec: job("whole", "a", whole),
        plan,
        since: fixture.now,
        saved: Millis::ZERO,
    });
    assert_eq!(actions, [], "it is not stopped");
    resize(&mut fixture, 8);
    let two = shape(1, 2, Spread::Domain);
    assert_eq!(starts(&fixture.submit(job("two", "a", two))), 0);
}
