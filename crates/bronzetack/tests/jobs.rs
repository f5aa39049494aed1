//! Gang jobs, failure domains and settings through real daemon processes.

mod support;

use std::time::Duration;
use std::time::Instant;

use fakes::fault::Fault;
use nix::sys::signal::Signal;
use serde_json::json;

use support::callers::add_org;
use support::callers::change;
use support::callers::get_json;
use support::callers::job;
use support::callers::phase;
use support::callers::post;
use support::callers::set_domain;
use support::eventually;
use support::tasks::await_coordinator;
use support::tasks::started;
use support::tasks::OUT;
use support::tasks::SHORT;
use support::tasks::URGENT;
use support::Site;

#[test]
fn a_gang_runs_whole_and_a_resubmission_finds_it() {
    let site = Site::start("gang", 1, 2, 2);
    let at = site.daemons[0].ports.callers;
    add_org(site.daemons[0].ports.operators);
    let spec = job("gang-1", 2, 8, "run:200", None);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    assert_eq!(
        post(site.daemons[1].ports.callers, "/v1/jobs", &spec).0,
        200
    );
    let other = job("gang-1", 1, 8, "run:200", None);
    assert_eq!(post(at, "/v1/jobs", &other).0, 409);
    eventually("finished", || phase(at, "gang-1") == "finished");
    assert_eq!(started(&site, "gang-1"), 2);
    site.close();
}

#[test]
fn the_end_of_a_short_job_is_seen_soon() {
    let site = Site::start("short", 1, 1, 2);
    let at = site.daemons[0].ports.callers;
    let begun = Instant::now();
    assert_eq!(
        post(at, "/v1/jobs", &job("short", 2, 8, "run:400", None)).0,
        201
    );
    eventually("finished", || phase(at, "short") == "finished");
    assert!(begun.elapsed() < SHORT, "{:?}", begun.elapsed());
    site.close();
}

#[test]
fn urgent_work_starts_in_time_though_the_coordinator_is_killed() {
    let mut site = Site::start("urgent", 1, 3, 2);
    add_org(site.daemons[0].ports.operators);
    let holder = await_coordinator(&site, "d0");
    let other = (holder + 1) % site.daemons.len();
    let at = site.daemons[other].ports.callers;
    let mut spec = job("urgent-1", 2, 8, "run:200", None);
    spec["urgent"] = json!(true);
    site.daemons[holder].kill();
    let begun = Instant::now();
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("started", || started(&site, "urgent-1") == 2);
    assert!(begun.elapsed() < URGENT, "{:?}", begun.elapsed());
    site.close();
}

#[test]
fn a_running_gang_survives_the_death_of_its_coordinator() {
    let mut site = Site::start("adopt", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    let holder = await_coordinator(&site, "d0");
    let at = site.daemons[1 - holder].ports.callers;
    let mut spec = job("long-1", 2, 8, "run:5000", None);
    spec["idempotent"] = json!(false);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("running", || phase(at, "long-1") == "running");
    site.daemons[holder].kill();
    eventually("finished", || phase(at, "long-1") == "finished");
    assert_eq!(started(&site, "long-1"), 2);
    site.close();
}

#[test]
fn a_frozen_coordinator_starts_nothing_twice() {
    let site = Site::start("frozen", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    let holder = await_coordinator(&site, "d0");
    let at = site.daemons[1 - holder].ports.callers;
    site.daemons[holder].signal(Signal::SIGSTOP);
    let mut ids = Vec::new();
    for i in 0..6 {
        let id = format!("once-{i}");
        let mut spec = job(&id, 2, 4, "run:300", None);
        spec["idempotent"] = json!(false);
        assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
        ids.push(id);
    }
    eventually("one started", || started(&site, &ids[0]) > 0);
    site.daemons[holder].signal(Signal::SIGCONT);
    for id in &ids {
        eventually("finished", || phase(at, id) == "finished");
        assert_eq!(started(&site, id), 2, "{id}");
    }
    site.close();
}

#[test]
fn nothing_starts_in_a_domain_that_was_taken_out() {
    let site = Site::start("out", 2, 1, 2);
    let at = site.daemons[1].ports.operators;
    add_org(at);
    let (status, answer) = set_domain(at, "d0", "out");
    assert_eq!(status, 200, "{answer}");
    std::thread::sleep(OUT);
    let spec = job("pinned", 1, 8, "run:100", Some("d0"));
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    assert_eq!(
        post(at, "/v1/jobs", &job("free", 1, 8, "run:100", None)).0,
        201
    );
    eventually("the free job runs elsewhere", || {
        phase(at, "free") == "finished"
    });
    assert_eq!(started(&site, "pinned"), 0);
    let (status, answer) = set_domain(at, "d0", "back");
    assert_eq!(status, 200, "{answer}");
    eventually("the pinned job runs", || phase(at, "pinned") == "finished");
    site.close();
}

#[test]
fn running_work_and_requests_go_on_while_the_platform_is_down() {
    let site = Site::start("outage", 1, 2, 2);
    let at = site.daemons[0].ports.callers;
    add_org(site.daemons[0].ports.operators);
    let spec = job("through", 2, 8, "run:6000", None);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("running", || phase(at, "through") == "running");
    site.platform.set_fault(Fault::Refuse);
    let request = support::callers::Request::once();
    let heard = support::callers::send(at, &request);
    assert_eq!(heard.outcome, "ran", "{heard:?}");
    let refused = post(at, "/v1/jobs", &job("late", 1, 1, "run:10", None));
    assert_ne!(refused.0, 201, "{}", refused.1);
    std::thread::sleep(Duration::from_secs(7));
    site.platform.set_fault(Fault::Up);
    eventually("finished", || phase(at, "through") == "finished");
    assert_eq!(started(&site, "through"), 2);
    site.close();
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_sees_why() {
    let site = Site::start("race", 1, 2, 1);
    add_org(site.daemons[0].ports.operators);
    let revision = get_json(site.daemons[0].ports.operators, "/v1/settings")["revision"].clone();
    let call = |op: &str, weight: u64| {
        json!({
            "op": op, "who": op, "expect": revision,
            "edits": [{ "edit": "set", "at": "org=board", "key": "weight", "value": weight }],
        })
    };
    let ports: Vec<_> = site.daemons.iter().map(|d| d.ports.operators).collect();
    let (first, second) = (call("first", 2), call("second", 3));
    let racer = std::thread::spawn(move || post(ports[0], "/v1/settings", &first));
    let b = post(site.daemons[1].ports.operators, "/v1/settings", &second);
    let a = racer.join().unwrap();
    let mut statuses = [a.0, b.0];
    statuses.sort();
    assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
    let lost = if a.0 == 409 { a.1 } else { b.1 };
    assert!(lost["conflict"]["records"][0]["op"].is_string(), "{lost}");
    site.close();
}

#[test]
fn a_guarantee_that_the_workers_cannot_hold_is_refused() {
    let site = Site::start("witness", 1, 1, 2);
    let at = site.daemons[0].ports.operators;
    add_org(at);
    let shape = |count: u32| {
        json!([{
            "edit": "add-shape", "org": "board", "domain": "d0",
            "shape": { "tasks": 1, "accels": 8 }, "count": count,
        }])
    };
    let (status, answer) = change(at, shape(3));
    assert_eq!(status, 422, "{answer}");
    assert!(answer["findings"][0]["problem"].is_string(), "{answer}");
    let (status, answer) = change(at, shape(2));
    assert_eq!(status, 200, "{answer}");
    site.close();
}
