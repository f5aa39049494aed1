//! A platform that is slow, hangs, or is unreachable for some of the daemons.

mod support;

use std::time::Duration;
use std::time::Instant;

use base::Clock;
use base::Millis;
use fakes::fault::Fault;
use nix::sys::signal::Signal;
use serde_json::json;
use serde_json::Value;
use work::wire::TaskPhase;

use support::callers::add_org;
use support::callers::job;
use support::callers::phase;
use support::callers::post;
use support::callers::send;
use support::callers::set_domain;
use support::callers::Request;
use support::eventually;
use support::relay::Relay;
use support::tasks::await_coordinator;
use support::tasks::changes;
use support::tasks::started;
use support::tasks::OUT_MAX;
use support::tasks::URGENT_START_MAX;
use support::Site;

/// Duration of an outage in which calls are accepted and never answered.
const HANG_TIME: Duration = Duration::from_secs(10);

fn urgent_job(id: &str) -> Value {
    let mut spec = job(id, 2, 8, "run:200", None);
    spec["urgent"] = json!(true);
    spec
}

/// Verifies that requests run and urgent work starts in time while each call to the platform takes
/// `millis` milliseconds.
fn with_slow_platform(name: &str, millis: u64) {
    let site = Site::start(name, 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    await_coordinator(&site, "d0");
    site.platform.set_fault(Fault::Slow(millis));
    for daemon in &site.daemons {
        let reply = send(daemon.ports.callers, &Request::non_idempotent());
        assert_eq!(reply.outcome, "ran", "{reply:?}");
    }
    let started_at = Instant::now();
    let at = site.daemons[0].ports.callers;
    assert_eq!(post(at, "/v1/jobs", &urgent_job("slow-1")).0, 201);
    eventually("all tasks start", || started(&site, "slow-1") == 2);
    assert!(
        started_at.elapsed() < URGENT_START_MAX,
        "{:?}",
        started_at.elapsed()
    );
    site.close();
}

#[test]
fn urgent_work_and_requests_continue_with_platform_calls_of_300_ms() {
    with_slow_platform("slow-300", 300);
}

#[test]
fn urgent_work_and_requests_continue_with_platform_calls_of_800_ms() {
    with_slow_platform("slow-800", 800);
}

#[test]
fn requests_continue_while_the_platform_hangs_and_new_jobs_run_afterwards() {
    let site = Site::start("hang", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    await_coordinator(&site, "d0");
    let at = site.daemons[0].ports.callers;
    let mut spec = job("through", 2, 4, "run:4000", None);
    spec["idempotent"] = json!(false);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("the job is running", || phase(at, "through") == "running");
    site.platform.set_fault(Fault::Hang);
    let started_at = Instant::now();
    while started_at.elapsed() < HANG_TIME {
        for daemon in &site.daemons {
            let reply = send(daemon.ports.callers, &Request::non_idempotent());
            assert_eq!(reply.outcome, "ran", "{reply:?}");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    site.platform.set_fault(Fault::Up);
    eventually("the job finishes", || phase(at, "through") == "finished");
    assert_eq!(started(&site, "through"), 2);
    eventually("a new job is accepted", || {
        post(at, "/v1/jobs", &urgent_job("after")).0 < 300
    });
    eventually("the new job finishes", || phase(at, "after") == "finished");
    site.close();
}

#[test]
fn a_frozen_coordinator_cut_off_from_the_store_starts_no_task_in_a_domain_out_of_service() {
    let (site, stores) = Site::with_store_relays("cut-out", 3, 2);
    add_org(site.daemons[0].ports.operators);
    let coordinator = await_coordinator(&site, "d0");
    let other = (coordinator + 1) % 3;
    let at = site.daemons[other].ports.callers;
    for i in 0..30 {
        let spec = job(&format!("many-{i}"), 2, 4, "run:400", None);
        assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    }
    eventually("the first job starts", || started(&site, "many-0") > 0);
    stores[coordinator].cut();
    site.daemons[coordinator].signal(Signal::SIGSTOP);
    let (status, answer) = set_domain(site.daemons[other].ports.operators, "d0", "out");
    assert_eq!(status, 200, "{answer}");
    let accepted = Clock::System.now();
    std::thread::sleep(OUT_MAX);
    site.daemons[coordinator].signal(Signal::SIGCONT);
    std::thread::sleep(OUT_MAX);
    assert_none_started_late(&site, accepted);
    site.close();
}

/// Verifies that no task of the jobs `many-*` started later than [`OUT_MAX`] after `accepted`, the
/// time at which the change that takes their failure domain out of service was accepted.
fn assert_none_started_late(site: &Site, accepted: Millis) {
    let bound = accepted.0 + OUT_MAX.as_millis() as u64;
    for i in 0..30 {
        let starts = changes(&site.worker_states(), &format!("many-{i}"));
        let mut running = starts.iter().filter(|c| c.phase == TaskPhase::Running);
        assert!(running.all(|c| c.at.0 <= bound), "many-{i}");
    }
}

#[test]
fn no_task_starts_in_a_domain_that_is_partitioned_and_taken_out_of_service() {
    let mut site = Site::new("cut-domain", 2, 2);
    let store = Relay::start(site.platform.addr());
    site.store = store.address();
    site.add_daemon(0);
    site.add_daemon(0);
    site.store = site.platform.addr();
    site.add_daemon(1);
    let mut relays = site.relay_links();
    relays.push(store);
    site.publish();
    site.wait_ready();
    let at = site.daemons[2].ports.operators;
    add_org(at);
    for i in 0..30 {
        let spec = job(&format!("many-{i}"), 2, 4, "run:400", Some("d0"));
        assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    }
    eventually("the first job starts", || started(&site, "many-0") > 0);
    relays.iter().for_each(Relay::cut);
    let (status, answer) = set_domain(at, "d0", "out");
    assert_eq!(status, 200, "{answer}");
    let accepted = Clock::System.now();
    let reply = send(site.daemons[0].ports.callers, &Request::idempotent());
    assert_eq!(reply.outcome, "ran", "{reply:?}");
    std::thread::sleep(OUT_MAX * 2);
    assert_none_started_late(&site, accepted);
    relays.iter().for_each(Relay::restore);
    let (status, answer) = set_domain(at, "d0", "back");
    assert_eq!(status, 200, "{answer}");
    let mut spec = urgent_job("after");
    spec["domain"] = json!("d0");
    eventually("a new job is accepted", || {
        post(at, "/v1/jobs", &spec).0 < 300
    });
    eventually("the new job finishes", || phase(at, "after") == "finished");
    site.close();
}

#[test]
fn urgent_work_starts_after_an_outage_in_which_the_coordinator_was_killed() {
    let mut site = Site::start("down-kill", 1, 3, 2);
    add_org(site.daemons[0].ports.operators);
    let coordinator = await_coordinator(&site, "d0");
    let at = site.daemons[(coordinator + 1) % 3].ports.callers;
    let mut spec = job("held", 2, 4, "run:1000", None);
    spec["idempotent"] = json!(false);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("the job is running", || phase(at, "held") == "running");
    site.platform.set_fault(Fault::Refuse);
    site.daemons[coordinator].kill();
    let reply = send(at, &Request::idempotent());
    assert_eq!(reply.outcome, "ran", "{reply:?}");
    site.platform.set_fault(Fault::Up);
    eventually("a new job is accepted", || {
        post(at, "/v1/jobs", &urgent_job("after")).0 < 300
    });
    eventually("the new job finishes", || phase(at, "after") == "finished");
    eventually("the job from before the outage ends", || {
        ["finished", "unknown"].contains(&phase(at, "held").as_str())
    });
    assert_eq!(started(&site, "held"), 2);
    site.close();
}
