//! Placement, guarantees, reclaim, failures and failure domains out of service, one case each.

mod common;

use base::Attempt;
use base::GangPlan;
use base::Millis;
use base::Spread;
use base::TaskPlace;
use common::*;
use gang::Action;
use gang::Ended;
use gang::Input;
use gang::RefuseReason;
use yare::parameterized;

const SAVED_WORK: Millis = Millis::from_secs(60);

#[parameterized(
    whole_worker = { 1, 8, Spread::Domain, true },
    two_workers = { 2, 8, Spread::Rack, true },
    one_worker = { 8, 1, Spread::Worker, true },
    odd_count = { 2, 3, Spread::Worker, true },
    cores_only = { 5, 0, Spread::Worker, true },
    rack_too_small = { 3, 8, Spread::Rack, false },
    across_racks = { 4, 8, Spread::Domain, true },
    domain_too_small = { 5, 8, Spread::Domain, false },
    worker_too_small = { 3, 4, Spread::Worker, false },
    task_too_large = { 1, 9, Spread::Domain, false },
)]
fn fits_or_is_refused(tasks: u32, accels: u32, spread: Spread, fits: bool) {
    let mut fixture = Fixture::new(policy(vec![]), 2, 2);
    let actions = fixture.submit(job("j", "a", shape(tasks, accels, spread)));
    if fits {
        assert_eq!(started(&actions), ids(["j"]));
    } else {
        let job = "j".parse().unwrap();
        let reason = RefuseReason::NoRoom;
        assert_eq!(actions, [Action::Refuse { job, reason }]);
    }
}

#[test]
fn unknown_organisation_is_refused() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 1);
    let actions = fixture.submit(job("j", "zz", shape(1, 1, Spread::Domain)));
    assert!(matches!(
        &actions[..],
        [Action::Refuse {
            reason: RefuseReason::UnknownOrg,
            ..
        }]
    ));
}

#[test]
fn small_jobs_share_a_worker() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 2);
    for i in 0..4 {
        fixture.run(job(&format!("s{i}"), "a", shape(1, 2, Spread::Domain)));
    }
    let actions = fixture.submit(job("big", "a", shape(1, 8, Spread::Domain)));
    assert_eq!(started(&actions), ids(["big"]));
}

#[test]
fn guarantee_is_reclaimed_from_borrowing_jobs() {
    let whole_workers = shape(2, 8, Spread::Rack);
    let mut fixture = Fixture::new(policy(vec![guarantee("a", "x", whole_workers, 1)]), 1, 2);
    fixture.run(job("b1", "b", shape(1, 8, Spread::Domain)));
    fixture.run(job("b2", "b", shape(1, 8, Spread::Domain)));
    let actions = fixture.submit(job("mine", "a", whole_workers));
    assert_eq!(stopped(&actions), ids(["b1", "b2"]));
    assert!(started(&fixture.ended("b1", Ended::Stopped { saved: SAVED_WORK })).is_empty());
    let actions = fixture.ended("b2", Ended::Stopped { saved: SAVED_WORK });
    assert_eq!(started(&actions), ids(["mine"]));
}

#[test]
fn unstoppable_job_does_not_use_other_guarantees() {
    let whole_workers = shape(2, 8, Spread::Rack);
    let mut fixture = Fixture::new(policy(vec![guarantee("a", "x", whole_workers, 1)]), 1, 3);
    let whole_worker = shape(1, 8, Spread::Domain);
    assert_eq!(
        started(&fixture.run(once(job("o1", "b", whole_worker)))),
        ids(["o1"])
    );
    assert!(started(&fixture.submit(once(job("o2", "b", whole_worker)))).is_empty());
    assert_eq!(
        started(&fixture.submit(job("mine", "a", whole_workers))),
        ids(["mine"])
    );
}

#[test]
fn unstoppable_job_uses_own_guarantee() {
    let whole_workers = shape(2, 8, Spread::Rack);
    let mut fixture = Fixture::new(policy(vec![guarantee("a", "x", whole_workers, 1)]), 1, 2);
    assert_eq!(
        started(&fixture.run(once(job("o", "a", whole_workers)))),
        ids(["o"])
    );
}

#[test]
fn adopted_unstoppable_job_keeps_its_guarantee() {
    let whole_workers = shape(2, 8, Spread::Rack);
    let mut fixture = Fixture::new(policy(vec![guarantee("a", "x", whole_workers, 1)]), 2, 2);
    let place = |task, worker: &str| TaskPlace {
        task,
        worker: worker.parse().unwrap(),
        first: 0,
        count: whole_workers.accels,
    };
    let plan = GangPlan {
        job: "o".parse().unwrap(),
        attempt: Attempt(1),
        places: vec![place(0, "x/1/0"), place(1, "x/1/1")],
    };
    let actions = fixture.step(Input::Adopt {
        spec: once(job("o", "a", whole_workers)),
        plan,
        since: fixture.now,
        saved: Millis::ZERO,
    });
    assert!(actions.is_empty());
    let other = shape(2, 8, Spread::Rack);
    assert_eq!(
        started(&fixture.submit(once(job("p", "b", other)))),
        ids(["p"])
    );
}

#[test]
fn lost_worker_is_reported_as_shortfall_until_back() {
    let whole_workers = shape(2, 8, Spread::Rack);
    let mut fixture = Fixture::new(policy(vec![guarantee("a", "x", whole_workers, 1)]), 1, 2);
    let worker = "x/0/0".parse().unwrap();
    let org: base::OrgId = "a".parse().unwrap();
    let short = Action::GuaranteeShort {
        guarantee: 0,
        org: org.clone(),
        missing: 1,
    };
    assert_eq!(fixture.step(Input::WorkerDown(worker)), [short]);
    let back = fixture.step(Input::WorkerUp(common::worker("x", 0, 0)));
    assert_eq!(back, [Action::GuaranteeMet { guarantee: 0, org }]);
}

#[test]
fn domain_out_releases_waiting_jobs() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 1);
    let whole_worker = shape(1, 8, Spread::Domain);
    fixture.run(job("run", "a", whole_worker));
    fixture.submit(job("wait", "a", whole_worker));
    let actions = fixture.step(Input::DomainOut("x".parse().unwrap()));
    assert!(matches!(&actions[..], [Action::Release { .. }]));
    assert!(fixture.ended("run", Ended::Finished).is_empty());
    let late = fixture.submit(job("late", "a", whole_worker));
    assert!(matches!(&late[..], [Action::Release { .. }]));
}

#[test]
fn jobs_are_cancelled_in_one_step() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 1);
    let whole_worker = shape(1, 8, Spread::Domain);
    fixture.run(job("run", "a", whole_worker));
    for name in ["w1", "w2", "w3"] {
        fixture.submit(job(name, "a", whole_worker));
    }
    let actions = fixture.step(Input::Cancel(ids(["run", "w1", "w2", "w3"])));
    let refused = actions
        .iter()
        .filter(|a| matches!(a, Action::Refuse { .. }));
    assert_eq!((refused.count(), stopped(&actions)), (3, ids(["run"])));
    let actions = fixture.ended("run", Ended::Stopped { saved: SAVED_WORK });
    assert!(matches!(&actions[..], [Action::Cancelled { .. }]));
}

#[test]
fn unstoppable_job_is_not_restarted() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 2);
    fixture.run(once(job("o", "a", shape(1, 8, Spread::Domain))));
    let actions = fixture.ended("o", Ended::Unknown);
    assert!(matches!(&actions[..], [Action::Fail { evidence, .. }] if evidence.unknown));
}

#[test]
fn urgent_job_stops_borrowing_job() {
    let mut fixture = Fixture::new(policy(vec![]), 1, 1);
    fixture.run(job("slow", "a", shape(1, 8, Spread::Domain)));
    let mut urgent = job("fast", "b", shape(1, 2, Spread::Domain));
    urgent.urgent = true;
    assert_eq!(stopped(&fixture.submit(urgent)), ids(["slow"]));
    let actions = fixture.ended("slow", Ended::Stopped { saved: SAVED_WORK });
    assert_eq!(started(&actions), ids(["fast"]));
}

#[test]
fn late_checkpoint_is_followed_by_stop_without_one() {
    let whole_workers = shape(1, 8, Spread::Rack);
    let mut fixture = Fixture::new(policy(vec![guarantee("a", "x", whole_workers, 1)]), 1, 1);
    fixture.run(job("b1", "b", whole_workers));
    fixture.submit(job("mine", "a", whole_workers));
    assert!(fixture.tick(Millis::from_secs(29)).is_empty());
    let actions = fixture.tick(Millis::from_secs(2));
    assert!(matches!(
        &actions[..],
        [Action::Stop {
            checkpoint: false,
            ..
        }]
    ));
}
