//! A platform that is slow, hangs or is out of reach of one daemon.

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
use support::tasks::OUT;
use support::tasks::URGENT;
use support::Site;

/// An outage in which calls are accepted and never answered.
const HANG: Duration = Duration::from_secs(10);

fn urgent(id: &str) -> Value {
    let mut spec = job(id, 2, 8, "run:200", None);
    spec["urgent"] = json!(true);
    spec
}

/// Requests and urgent work while each call to the platform takes this many milliseconds.
fn slow(name: &str, millis: u64) {
    let site = Site::start(name, 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    await_coordinator(&site, "d0");
    site.platform.set_fault(Fault::Slow(millis));
    for daemon in &site.daemons {
        let heard = send(daemon.ports.callers, &Request::once());
        assert_eq!(heard.outcome, "ran", "{heard:?}");
    }
    let begun = Instant::now();
    let at = site.daemons[0].ports.callers;
    assert_eq!(post(at, "/v1/jobs", &urgent("slow-1")).0, 201);
    eventually("started", || started(&site, "slow-1") == 2);
    assert!(begun.elapsed() < URGENT, "{:?}", begun.elapsed());
    site.close();
}

#[test]
fn urgent_work_and_requests_go_on_while_the_platform_takes_300_ms() {
    slow("slow-300", 300);
}

#[test]
fn urgent_work_and_requests_go_on_while_the_platform_takes_800_ms() {
    slow("slow-800", 800);
}

#[test]
fn requests_go_on_while_the_platform_hangs_and_jobs_after() {
    let site = Site::start("hang", 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    await_coordinator(&site, "d0");
    let at = site.daemons[0].ports.callers;
    let mut spec = job("through", 2, 4, "run:4000", None);
    spec["idempotent"] = json!(false);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("running", || phase(at, "through") == "running");
    site.platform.set_fault(Fault::Hang);
    let begun = Instant::now();
    while begun.elapsed() < HANG {
        for daemon in &site.daemons {
            let heard = send(daemon.ports.callers, &Request::once());
            assert_eq!(heard.outcome, "ran", "{heard:?}");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    site.platform.set_fault(Fault::Up);
    eventually("finished", || phase(at, "through") == "finished");
    assert_eq!(started(&site, "through"), 2);
    eventually("new jobs", || {
        post(at, "/v1/jobs", &urgent("after")).0 < 300
    });
    eventually("run", || phase(at, "after") == "finished");
    site.close();
}

#[test]
fn a_frozen_coordinator_without_the_platform_starts_nothing_in_a_domain_taken_out() {
    let (site, stores) = Site::stored("cut-out", 3, 2);
    add_org(site.daemons[0].ports.operators);
    let holder = await_coordinator(&site, "d0");
    let other = (holder + 1) % 3;
    let at = site.daemons[other].ports.callers;
    for i in 0..30 {
        let spec = job(&format!("many-{i}"), 2, 4, "run:400", None);
        assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    }
    eventually("begun", || started(&site, "many-0") > 0);
    stores[holder].cut();
    site.daemons[holder].signal(Signal::SIGSTOP);
    let (status, answer) = set_domain(site.daemons[other].ports.operators, "d0", "out");
    assert_eq!(status, 200, "{answer}");
    let accepted = Clock::System.now();
    std::thread::sleep(OUT);
    site.daemons[holder].signal(Signal::SIGCONT);
    std::thread::sleep(OUT);
    none_started_late(&site, accepted);
    site.close();
}

/// Verifies that no task of the jobs `many-*` started later than allowed after a failure domain
/// was taken out.
fn none_started_late(site: &Site, accepted: Millis) {
    let bound = accepted.0 + OUT.as_millis() as u64;
    for i in 0..30 {
        let starts = changes(&site.worker_states(), &format!("many-{i}"));
        let mut starts = starts.iter().filter(|c| c.phase == TaskPhase::Running);
        assert!(starts.all(|c| c.at.0 <= bound), "many-{i}");
    }
}

#[test]
fn nothing_starts_in_a_domain_that_is_cut_off_and_taken_out() {
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
    eventually("begun", || started(&site, "many-0") > 0);
    relays.iter().for_each(Relay::cut);
    let (status, answer) = set_domain(at, "d0", "out");
    assert_eq!(status, 200, "{answer}");
    let accepted = Clock::System.now();
    let heard = send(site.daemons[0].ports.callers, &Request::idempotent());
    assert_eq!(heard.outcome, "ran", "{heard:?}");
    std::thread::sleep(OUT * 2);
    none_started_late(&site, accepted);
    relays.iter().for_each(Relay::mend);
    let (status, answer) = set_domain(at, "d0", "back");
    assert_eq!(status, 200, "{answer}");
    let mut spec = urgent("after");
    spec["domain"] = json!("d0");
    eventually("a job is taken", || post(at, "/v1/jobs", &spec).0 < 300);
    eventually("it runs", || phase(at, "after") == "finished");
    site.close();
}

#[test]
fn urgent_work_starts_after_an_outage_in_which_the_coordinator_was_killed() {
    let mut site = Site::start("down-kill", 1, 3, 2);
    add_org(site.daemons[0].ports.operators);
    let holder = await_coordinator(&site, "d0");
    let at = site.daemons[(holder + 1) % 3].ports.callers;
    let mut spec = job("held", 2, 4, "run:1000", None);
    spec["idempotent"] = json!(false);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("running", || phase(at, "held") == "running");
    site.platform.set_fault(Fault::Refuse);
    site.daemons[holder].kill();
    let heard = send(at, &Request::idempotent());
    assert_eq!(heard.outcome, "ran", "{heard:?}");
    site.platform.set_fault(Fault::Up);
    eventually("a job is taken", || {
        post(at, "/v1/jobs", &urgent("after")).0 < 300
    });
    eventually("it runs", || phase(at, "after") == "finished");
    eventually("the old one ends", || {
        ["finished", "unknown"].contains(&phase(at, "held").as_str())
    });
    assert_eq!(started(&site, "held"), 2);
    site.close();
}
