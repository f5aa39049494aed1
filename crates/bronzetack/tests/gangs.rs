//! Gang jobs while workers, single daemons or all daemons fail.

mod support;

use std::time::Duration;
use std::time::Instant;

use base::Clock;
use fakes::worker::WorkerState;
use sched::Timing;
use serde_json::json;
use serde_json::Value;

use support::callers::add_org;
use support::callers::get_json;
use support::callers::job;
use support::callers::phase;
use support::callers::post;
use support::eventually;
use support::tasks::await_coordinator;
use support::tasks::changes;
use support::tasks::ran_on_after;
use support::tasks::started;
use support::tasks::started_by_attempt;
use support::tasks::URGENT_START_MAX;
use support::within;
use support::Site;

/// Longest wait for the end of a gang that lost a worker: the worker is declared lost, then the
/// leases of the gang's tasks expire.
const LOST_WORKER_TIMEOUT: Duration = Duration::from_secs(45);

/// Jobs cancelled in one call.
const CANCELLED_JOBS: usize = 200;

fn non_idempotent_job(id: &str, payload: &str) -> Value {
    let mut spec = job(id, 2, 8, payload, None);
    spec["idempotent"] = json!(false);
    spec
}

/// Kills a worker of a running gang, waits until `ended` holds, and verifies that the other tasks
/// of the gang did not continue for longer than the scheduler's bound for partial gangs.
fn lose_worker(name: &str, spec: &Value, ended: impl Fn(&Site, &[WorkerState]) -> bool) {
    let mut site = Site::start(name, 1, 2, 3);
    add_org(site.daemons[0].ports.operators);
    let at = site.daemons[0].ports.callers;
    let states = site.worker_states();
    assert_eq!(post(at, "/v1/jobs", spec).0, 201);
    let id = spec["id"].as_str().unwrap();
    eventually("the job is running", || phase(at, id) == "running");
    let lost = states
        .iter()
        .position(|w| !changes(std::slice::from_ref(w), id).is_empty());
    let lost = lost.unwrap();
    site.workers.remove(lost).close();
    let from = Clock::System.now();
    assert!(
        within(LOST_WORKER_TIMEOUT, || ended(&site, &states)),
        "timed out: the gang ends"
    );
    let others: Vec<_> = site.worker_states();
    let partial = ran_on_after(&others, id, from);
    assert!(partial <= Timing::default().max_partial(0), "{partial}");
    site.close();
}

#[test]
fn an_idempotent_gang_that_loses_a_worker_runs_again() {
    let spec = job("again", 2, 8, "run:60000", None);
    lose_worker("lose-again", &spec, |_, workers| {
        let attempts = started_by_attempt(workers, "again");
        attempts.len() == 2 && attempts.values().all(|tasks| *tasks == 2)
    });
}

#[test]
fn a_non_idempotent_gang_that_loses_a_worker_is_not_started_again() {
    let spec = non_idempotent_job("once", "run:60000");
    lose_worker("lose-once", &spec, |site, workers| {
        let at = site.daemons[0].ports.callers;
        let ended = ["failed", "unknown"].contains(&phase(at, "once").as_str());
        ended && started_by_attempt(workers, "once").len() == 1
    });
}

#[test]
fn cancelling_many_jobs_in_one_call_ends_every_job() {
    let site = Site::start("wave", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    let at = site.daemons[0].ports.callers;
    let ids: Vec<String> = (0..CANCELLED_JOBS).map(|i| format!("wave-{i}")).collect();
    for id in &ids {
        let spec = job(id, 2, 8, "run:60000", None);
        assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    }
    let call = json!({ "op": "wave", "who": "test", "jobs": ids });
    let (status, answer) = post(at, "/v1/jobs/cancel", &call);
    assert_eq!(status, 200, "{answer}");
    for id in &ids {
        eventually("the job is cancelled", || phase(at, id) == "cancelled");
    }
    let spec = job("next", 2, 8, "run:100", None);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("the accelerators are free again", || {
        phase(at, "next") == "finished"
    });
    site.close();
}

#[test]
fn jobs_finish_although_one_worker_fails_every_task() {
    let site = Site::start("bad-worker", 1, 2, 3);
    add_org(site.daemons[0].ports.operators);
    site.workers[0].state().lock().tasks.failing = true;
    let at = site.daemons[0].ports.callers;
    for i in 0..6 {
        let spec = job(&format!("f-{i}"), 2, 4, "run:200", None);
        assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    }
    for i in 0..6 {
        let id = format!("f-{i}");
        eventually("the job finishes", || phase(at, &id) == "finished");
    }
    site.close();
}

#[test]
fn a_planned_stop_of_the_coordinator_hands_over_running_and_new_jobs() {
    let mut site = Site::start("hand-over", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    let coordinator = await_coordinator(&site, "d0");
    let at = site.daemons[1 - coordinator].ports.callers;
    assert_eq!(
        post(at, "/v1/jobs", &non_idempotent_job("kept", "run:5000")).0,
        201
    );
    eventually("the job is running", || phase(at, "kept") == "running");
    let status = site.daemons[coordinator].stop();
    assert!(status.success(), "{status}");
    eventually("the job finishes", || phase(at, "kept") == "finished");
    assert_eq!(started(&site, "kept"), 2);
    let started_at = Instant::now();
    let mut spec = job("urgent", 2, 8, "run:100", None);
    spec["urgent"] = json!(true);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("all tasks start", || started(&site, "urgent") == 2);
    assert!(
        started_at.elapsed() < URGENT_START_MAX,
        "{:?}",
        started_at.elapsed()
    );
    site.close();
}

#[test]
fn daemons_killed_all_at_once_recover_from_the_platform_and_the_workers() {
    let mut site = Site::start("all", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    let at = site.daemons[0].ports.callers;
    assert_eq!(
        post(at, "/v1/jobs", &non_idempotent_job("kept", "run:3000")).0,
        201
    );
    let spec = job("queued", 2, 8, "run:200", None);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("the job is running", || phase(at, "kept") == "running");
    let revision = get_json(site.daemons[0].ports.operators, "/v1/settings")["revision"].clone();
    site.kill_all();
    site.restart_all();
    let after = get_json(site.daemons[1].ports.operators, "/v1/settings")["revision"].clone();
    assert_eq!(after, revision);
    eventually("the queued job finishes", || {
        phase(at, "queued") == "finished"
    });
    eventually("the running job ends", || {
        ["finished", "unknown"].contains(&phase(at, "kept").as_str())
    });
    let attempts = started_by_attempt(&site.worker_states(), "kept");
    assert_eq!(attempts.values().sum::<usize>(), 2, "{attempts:?}");
    site.close();
}
