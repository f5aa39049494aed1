//! Gang jobs, failure domains and settings with real daemon processes.

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
use support::tasks::OUT_MAX;
use support::tasks::SHORT_JOB_MAX;
use support::tasks::URGENT_START_MAX;
use support::Site;

/// Number of calls that outlasts a test.
const ALL_CALLS: u64 = 1_000_000;

#[test]
fn a_gang_runs_all_its_tasks_and_a_resubmission_is_recognised() {
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
    eventually("the job finishes", || phase(at, "gang-1") == "finished");
    assert_eq!(started(&site, "gang-1"), 2);
    site.close();
}

#[test]
fn the_end_of_a_short_job_is_reported_in_time() {
    let site = Site::start("short", 1, 1, 2);
    let at = site.daemons[0].ports.callers;
    let started_at = Instant::now();
    assert_eq!(
        post(at, "/v1/jobs", &job("short", 2, 8, "run:400", None)).0,
        201
    );
    eventually("the job finishes", || phase(at, "short") == "finished");
    assert!(
        started_at.elapsed() < SHORT_JOB_MAX,
        "{:?}",
        started_at.elapsed()
    );
    site.close();
}

#[test]
fn urgent_work_starts_in_time_although_the_coordinator_is_killed() {
    let mut site = Site::start("urgent", 1, 3, 2);
    add_org(site.daemons[0].ports.operators);
    let coordinator = await_coordinator(&site, "d0");
    let other = (coordinator + 1) % site.daemons.len();
    let at = site.daemons[other].ports.callers;
    let mut spec = job("urgent-1", 2, 8, "run:200", None);
    spec["urgent"] = json!(true);
    site.daemons[coordinator].kill();
    let started_at = Instant::now();
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("all tasks start", || started(&site, "urgent-1") == 2);
    assert!(
        started_at.elapsed() < URGENT_START_MAX,
        "{:?}",
        started_at.elapsed()
    );
    site.close();
}

#[test]
fn a_running_gang_continues_after_its_coordinator_was_killed() {
    let mut site = Site::start("adopt", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    let coordinator = await_coordinator(&site, "d0");
    let at = site.daemons[1 - coordinator].ports.callers;
    let mut spec = job("long-1", 2, 8, "run:5000", None);
    spec["idempotent"] = json!(false);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("the job is running", || phase(at, "long-1") == "running");
    site.daemons[coordinator].kill();
    eventually("the job finishes", || phase(at, "long-1") == "finished");
    assert_eq!(started(&site, "long-1"), 2);
    site.close();
}

#[test]
fn a_coordinator_resumed_after_a_freeze_starts_no_task_twice() {
    let site = Site::start("frozen", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    let coordinator = await_coordinator(&site, "d0");
    let at = site.daemons[1 - coordinator].ports.callers;
    site.daemons[coordinator].signal(Signal::SIGSTOP);
    let mut ids = Vec::new();
    for i in 0..6 {
        let id = format!("once-{i}");
        let mut spec = job(&id, 2, 4, "run:300", None);
        spec["idempotent"] = json!(false);
        assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
        ids.push(id);
    }
    eventually("the first job starts", || started(&site, &ids[0]) > 0);
    site.daemons[coordinator].signal(Signal::SIGCONT);
    for id in &ids {
        eventually("the job finishes", || phase(at, id) == "finished");
        assert_eq!(started(&site, id), 2, "{id}");
    }
    site.close();
}

#[test]
fn no_task_starts_in_a_domain_out_of_service() {
    let site = Site::start("out", 2, 1, 2);
    let at = site.daemons[1].ports.operators;
    add_org(at);
    let (status, answer) = set_domain(at, "d0", "out");
    assert_eq!(status, 200, "{answer}");
    std::thread::sleep(OUT_MAX);
    let spec = job("pinned", 1, 8, "run:100", Some("d0"));
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    assert_eq!(
        post(at, "/v1/jobs", &job("free", 1, 8, "run:100", None)).0,
        201
    );
    eventually("the unpinned job finishes in another domain", || {
        phase(at, "free") == "finished"
    });
    assert_eq!(started(&site, "pinned"), 0);
    let (status, answer) = set_domain(at, "d0", "back");
    assert_eq!(status, 200, "{answer}");
    eventually("the pinned job finishes", || {
        phase(at, "pinned") == "finished"
    });
    site.close();
}

#[test]
fn running_jobs_and_requests_continue_while_the_platform_is_down() {
    let site = Site::start("outage", 1, 2, 2);
    let at = site.daemons[0].ports.callers;
    add_org(site.daemons[0].ports.operators);
    let spec = job("through", 2, 8, "run:6000", None);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("the job is running", || phase(at, "through") == "running");
    site.platform.set_fault(Fault::Refuse);
    let request = support::callers::Request::non_idempotent();
    let reply = support::callers::send(at, &request);
    assert_eq!(reply.outcome, "ran", "{reply:?}");
    let refused = post(at, "/v1/jobs", &job("late", 1, 1, "run:10", None));
    assert_ne!(refused.0, 201, "{}", refused.1);
    std::thread::sleep(Duration::from_secs(7));
    site.platform.set_fault(Fault::Up);
    eventually("the job finishes", || phase(at, "through") == "finished");
    assert_eq!(started(&site, "through"), 2);
    site.close();
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_names_the_conflict() {
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
    let concurrent = std::thread::spawn(move || post(ports[0], "/v1/settings", &first));
    let b = post(site.daemons[1].ports.operators, "/v1/settings", &second);
    let a = concurrent.join().unwrap();
    let mut statuses = [a.0, b.0];
    statuses.sort();
    assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
    let rejected = if a.0 == 409 { a.1 } else { b.1 };
    assert!(
        rejected["conflict"]["records"][0]["op"].is_string(),
        "{rejected}"
    );
    site.close();
}

#[test]
fn a_guarantee_that_exceeds_the_workers_is_refused() {
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

/// Failure: the write of a cancellation got no answer and the store refused the read after it. The
/// caller was told that nothing had been done, although the job was cancelled.
#[test]
fn a_cancellation_whose_answer_was_lost_is_not_reported_as_not_done() {
    let site = Site::start("lost-cancel", 1, 1, 2);
    let at = site.daemons[0].ports.callers;
    let spec = job("lost-1", 1, 8, "run:60000", None);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("the job runs", || started(&site, "lost-1") == 1);
    site.platform
        .set_fault_for_calls(Fault::Lose, "txn", ALL_CALLS);
    let call = json!({ "op": "cancel-1", "who": "test", "jobs": ["lost-1"] });
    let cancel = std::thread::spawn(move || post(at, "/v1/jobs/cancel", &call));
    std::thread::sleep(Duration::from_millis(200));
    site.platform.set_fault(Fault::Reject);
    let (status, answer) = cancel.join().expect("the call failed");
    site.platform.set_fault(Fault::Up);
    assert_ne!(status, 200, "{answer}");
    assert_eq!(answer["outcome"], "unknown", "{status} {answer}");
    site.close();
}

/// Failure: of two jobs one was cancelled and the store refused the write for the other. The caller was
/// told that nothing had been done.
#[test]
fn a_cancellation_of_a_part_of_the_jobs_is_not_reported_as_not_done() {
    let site = Site::start("part-cancel", 1, 1, 2);
    let at = site.daemons[0].ports.callers;
    for id in ["part-1", "part-2"] {
        let spec = job(id, 1, 4, "run:60000", None);
        assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
        eventually("the job runs", || started(&site, id) == 1);
    }
    site.platform
        .set_fault_for_calls(Fault::Slow(300), "txn", ALL_CALLS);
    let call = json!({ "op": "cancel-2", "who": "test", "jobs": ["part-1", "part-2"] });
    let cancel = std::thread::spawn(move || post(at, "/v1/jobs/cancel", &call));
    std::thread::sleep(Duration::from_millis(150));
    site.platform.set_fault(Fault::Reject);
    let (status, answer) = cancel.join().expect("the call failed");
    site.platform.set_fault(Fault::Up);
    assert_ne!(status, 200, "{answer}");
    assert_eq!(answer["outcome"], "unknown", "{status} {answer}");
    site.close();
}
