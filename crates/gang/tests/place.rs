//! Placement, guarantees, reclaim, failure and departure, one case each.

mod kit;

use base::Attempt;
use base::GangPlan;
use base::Millis;
use base::Spread;
use base::TaskPlace;
use gang::Action;
use gang::Ended;
use gang::Input;
use gang::RefuseReason;
use kit::*;
use yare::parameterized;

const SAVED: Millis = Millis::from_secs(60);

#[parameterized(
    whole_worker = { 1, 8, Spread::Domain, true },
    two_workers = { 2, 8, Spread::Rack, true },
    one_worker = { 8, 1, Spread::Worker, true },
    odd = { 2, 3, Spread::Worker, true },
    cores_only = { 5, 0, Spread::Worker, true },
    rack_too_small = { 3, 8, Spread::Rack, false },
    across_racks = { 4, 8, Spread::Domain, true },
    domain_too_small = { 5, 8, Spread::Domain, false },
    worker_too_small = { 3, 4, Spread::Worker, false },
    task_too_large = { 1, 9, Spread::Domain, false },
)]
fn fits_or_is_refused(tasks: u32, accels: u32, spread: Spread, fits: bool) {
    let mut bench = Bench::new(policy(vec![]), 2, 2);
    let actions = bench.submit(job("j", "a", shape(tasks, accels, spread)));
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
    let mut bench = Bench::new(policy(vec![]), 1, 1);
    let actions = bench.submit(job("j", "zz", shape(1, 1, Spread::Domain)));
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
    let mut bench = Bench::new(policy(vec![]), 1, 2);
    for i in 0..4 {
        bench.run(job(&format!("s{i}"), "a", shape(1, 2, Spread::Domain)));
    }
    let actions = bench.submit(job("big", "a", shape(1, 8, Spread::Domain)));
    assert_eq!(started(&actions), ids(["big"]));
}

#[test]
fn guarantee_is_reclaimed_from_borrower() {
    let whole = shape(2, 8, Spread::Rack);
    let mut bench = Bench::new(policy(vec![guarantee("a", "x", whole, 1)]), 1, 2);
    bench.run(job("b1", "b", shape(1, 8, Spread::Domain)));
    bench.run(job("b2", "b", shape(1, 8, Spread::Domain)));
    let actions = bench.submit(job("mine", "a", whole));
    assert_eq!(stopped(&actions), ids(["b1", "b2"]));
    assert!(started(&bench.ended("b1", Ended::Stopped { saved: SAVED })).is_empty());
    let actions = bench.ended("b2", Ended::Stopped { saved: SAVED });
    assert_eq!(started(&actions), ids(["mine"]));
}

#[test]
fn unstoppable_work_stays_off_guarantees() {
    let whole = shape(2, 8, Spread::Rack);
    let mut bench = Bench::new(policy(vec![guarantee("a", "x", whole, 1)]), 1, 3);
    let one = shape(1, 8, Spread::Domain);
    assert_eq!(started(&bench.run(once(job("o1", "b", one)))), ids(["o1"]));
    assert!(started(&bench.submit(once(job("o2", "b", one)))).is_empty());
    assert_eq!(
        started(&bench.submit(job("mine", "a", whole))),
        ids(["mine"])
    );
}

#[test]
fn own_guarantee_takes_unstoppable_work() {
    let whole = shape(2, 8, Spread::Rack);
    let mut bench = Bench::new(policy(vec![guarantee("a", "x", whole, 1)]), 1, 2);
    assert_eq!(started(&bench.run(once(job("o", "a", whole)))), ids(["o"]));
}

#[test]
fn adopted_unstoppable_job_keeps_its_guarantee() {
    let whole = shape(2, 8, Spread::Rack);
    let mut bench = Bench::new(policy(vec![guarantee("a", "x", whole, 1)]), 2, 2);
    let place = |task, worker: &str| TaskPlace {
        task,
        worker: worker.parse().unwrap(),
        first: 0,
        count: whole.accels,
    };
    let plan = GangPlan {
        job: "o".parse().unwrap(),
        attempt: Attempt(1),
        places: vec![place(0, "x/1/0"), place(1, "x/1/1")],
    };
    let actions = bench.step(Input::Adopt {
        spec: once(job("o", "a", whole)),
        plan,
        since: bench.now,
        saved: Millis::ZERO,
    });
    assert!(actions.is_empty());
    let other = shape(2, 8, Spread::Rack);
    assert_eq!(
        started(&bench.submit(once(job("p", "b", other)))),
        ids(["p"])
    );
}

#[test]
fn shortfall_is_named_and_covered() {
    let whole = shape(2, 8, Spread::Rack);
    let mut bench = Bench::new(policy(vec![guarantee("a", "x", whole, 1)]), 1, 2);
    let worker = "x/0/0".parse().unwrap();
    let org: base::OrgId = "a".parse().unwrap();
    let short = Action::Short {
        guarantee: 0,
        org: org.clone(),
        missing: 1,
    };
    assert_eq!(bench.step(Input::WorkerDown(worker)), [short]);
    let back = bench.step(Input::WorkerUp(kit::worker("x", 0, 0)));
    assert_eq!(back, [Action::Covered { guarantee: 0, org }]);
}

#[test]
fn domain_out_releases_and_starts_nothing() {
    let mut bench = Bench::new(policy(vec![]), 1, 1);
    let one = shape(1, 8, Spread::Domain);
    bench.run(job("run", "a", one));
    bench.submit(job("wait", "a", one));
    let actions = bench.step(Input::DomainOut("x".parse().unwrap()));
    assert!(matches!(&actions[..], [Action::Release { .. }]));
    assert!(bench.ended("run", Ended::Finished).is_empty());
    let late = bench.submit(job("late", "a", one));
    assert!(matches!(&late[..], [Action::Release { .. }]));
}

#[test]
fn cancel_wave_is_one_pass() {
    let mut bench = Bench::new(policy(vec![]), 1, 1);
    let one = shape(1, 8, Spread::Domain);
    bench.run(job("run", "a", one));
    for name in ["w1", "w2", "w3"] {
        bench.submit(job(name, "a", one));
    }
    let actions = bench.step(Input::Cancel(ids(["run", "w1", "w2", "w3"])));
    let refused = actions
        .iter()
        .filter(|a| matches!(a, Action::Refuse { .. }));
    assert_eq!((refused.count(), stopped(&actions)), (3, ids(["run"])));
    let actions = bench.ended("run", Ended::Stopped { saved: SAVED });
    assert!(matches!(&actions[..], [Action::Cancelled { .. }]));
}

#[test]
fn unstoppable_job_is_not_restarted() {
    let mut bench = Bench::new(policy(vec![]), 1, 2);
    bench.run(once(job("o", "a", shape(1, 8, Spread::Domain))));
    let actions = bench.ended("o", Ended::Unknown);
    assert!(matches!(&actions[..], [Action::Fail { evidence, .. }] if evidence.unknown));
}

#[test]
fn urgent_work_stops_borrowers() {
    let mut bench = Bench::new(policy(vec![]), 1, 1);
    bench.run(job("slow", "a", shape(1, 8, Spread::Domain)));
    let mut urgent = job("fast", "b", shape(1, 2, Spread::Domain));
    urgent.urgent = true;
    assert_eq!(stopped(&bench.submit(urgent)), ids(["slow"]));
    let actions = bench.ended("slow", Ended::Stopped { saved: SAVED });
    assert_eq!(started(&actions), ids(["fast"]));
}

#[test]
fn late_checkpoint_is_followed_by_a_stop() {
    let whole = shape(1, 8, Spread::Rack);
    let mut bench = Bench::new(policy(vec![guarantee("a", "x", whole, 1)]), 1, 1);
    bench.run(job("b1", "b", whole));
    bench.submit(job("mine", "a", whole));
    assert!(bench.tick(Millis::from_secs(29)).is_empty());
    let actions = bench.tick(Millis::from_secs(2));
    assert!(matches!(
        &actions[..],
        [Action::Stop {
            checkpoint: false,
            ..
        }]
    ));
}
