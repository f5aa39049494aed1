//! Workers that leave, stall or give wrong answers, as seen by callers.

mod support;

use std::time::Duration;

use fakes::worker::RequestFault;

use support::callers::send;
use support::callers::Request;
use support::eventually;
use support::relay::Relay;
use support::tasks::OUT_MAX;
use support::Site;

fn total_runs(site: &Site, worker: usize) -> u64 {
    site.workers[worker].state().lock().runs.values().sum()
}

fn send_idempotent(site: &Site, count: usize) {
    for i in 0..count {
        let at = site.daemons[i % site.daemons.len()].ports.callers;
        let reply = send(at, &Request::idempotent());
        assert_eq!(reply.outcome, "ran", "{reply:?}");
    }
}

fn await_all_used(site: &Site) {
    eventually("every worker serves", || {
        send_idempotent(site, 4);
        (0..site.workers.len()).all(|w| total_runs(site, w) > 0)
    });
}

#[test]
fn a_worker_listed_as_leaving_gets_no_new_requests_in_time() {
    let site = Site::start("leaving", 1, 2, 2);
    await_all_used(&site);
    site.publish_with(|row| {
        if row.id == "d0-w0" {
            row.state = "leaving".to_string();
        }
    });
    std::thread::sleep(OUT_MAX);
    let before = total_runs(&site, 0);
    send_idempotent(&site, 40);
    assert_eq!(total_runs(&site, 0), before);
    site.close();
}

#[test]
fn a_worker_that_refuses_as_leaving_fails_no_request() {
    let site = Site::start("refusal", 1, 2, 2);
    await_all_used(&site);
    site.workers[0].state().lock().tasks.leaving = true;
    for _ in 0..20 {
        let reply = send(site.daemons[0].ports.callers, &Request::non_idempotent());
        assert_eq!(reply.outcome, "ran", "{reply:?}");
    }
    site.close();
}

#[test]
fn stalled_connections_to_workers_are_replaced() {
    let mut site = Site::new("silent-up", 1, 1);
    let relay = Relay::start(site.workers[0].address());
    site.add_daemon(0);
    let address = relay.address().to_string();
    site.publish_with(|row| {
        if row.role == "worker" {
            row.address = address.clone();
        }
    });
    site.wait_ready();
    eventually("the request runs", || {
        send(site.daemons[0].ports.callers, &Request::idempotent()).outcome == "ran"
    });
    relay.stall();
    let request = Request::non_idempotent();
    let first = send(site.daemons[0].ports.callers, &request);
    let again = send(site.daemons[0].ports.callers, &request.resend(2));
    assert!(site.runs(&request.id) <= 1, "{first:?} {again:?}");
    eventually("requests run again", || {
        send(site.daemons[0].ports.callers, &Request::non_idempotent()).outcome == "ran"
    });
    site.close();
}

#[test]
fn no_request_runs_twice_when_connections_stall_and_a_daemon_is_killed() {
    let mut site = Site::new("silent-kill", 1, 1);
    let relay = Relay::start(site.workers[0].address());
    for _ in 0..3 {
        site.add_daemon(0);
    }
    let address = relay.address().to_string();
    site.publish_with(|row| {
        if row.role == "worker" {
            row.address = address.clone();
        }
    });
    site.wait_ready();
    let requests: Vec<Request> = (0..10).map(|_| Request::non_idempotent()).collect();
    for request in &requests[..5] {
        assert_eq!(send(site.daemons[0].ports.callers, request).outcome, "ran");
    }
    relay.stall();
    for request in &requests {
        let resend = Request {
            deadline: Duration::from_millis(500),
            ..request.resend(2)
        };
        send(site.daemons[0].ports.callers, &resend);
    }
    site.daemons[0].kill();
    for request in &requests {
        send(site.daemons[1].ports.callers, &request.resend(3));
        send(site.daemons[2].ports.callers, &request.resend(4));
        assert!(site.runs(&request.id) <= 1);
    }
    eventually("requests run again", || {
        send(site.daemons[1].ports.callers, &Request::non_idempotent()).outcome == "ran"
    });
    site.close();
}

/// Sends requests while all workers are faulty. Verifies that each reply has the id of its request,
/// that a success has the complete body, that `not-run` is true, and that no non-idempotent request
/// runs twice.
fn with_faulty_workers(name: &str, fault: RequestFault) {
    let site = Site::start(name, 1, 2, 2);
    await_all_used(&site);
    for worker in site.worker_states() {
        worker.lock().fault = fault;
    }
    let senders: Vec<_> = (0..24)
        .map(|i| {
            let at = site.daemons[i % 2].ports.callers;
            std::thread::spawn(move || {
                let request = Request {
                    idempotent: i % 3 == 0,
                    deadline: Duration::from_millis(1_500),
                    ..Request::non_idempotent()
                };
                (send(at, &request), request)
            })
        })
        .collect();
    for sender in senders {
        let (reply, request) = sender.join().unwrap();
        assert_eq!(reply.id, request.id, "{reply:?}");
        let runs = site.runs(&request.id);
        match reply.outcome.as_str() {
            "ran" if reply.status == 200 => assert_eq!(reply.body, request.body),
            "not-run" => assert_eq!(runs, 0, "{reply:?}"),
            _ => {}
        }
        assert!(request.idempotent || runs <= 1, "{reply:?}");
    }
    for worker in site.worker_states() {
        worker.lock().fault = RequestFault::None;
    }
    eventually("requests run again", || {
        send(site.daemons[0].ports.callers, &Request::non_idempotent()).outcome == "ran"
    });
    site.close();
}

#[test]
fn answers_to_another_request_reach_no_caller() {
    with_faulty_workers("crossed", RequestFault::Mismatched);
}

#[test]
fn truncated_answers_are_not_reported_as_complete() {
    with_faulty_workers("truncated", RequestFault::Truncated);
}

#[test]
fn late_answers_reach_no_other_caller() {
    with_faulty_workers("late", RequestFault::Late(1_800));
}

#[test]
fn requests_without_an_answer_get_a_correct_outcome() {
    with_faulty_workers("never", RequestFault::Silent);
}

#[test]
fn failing_workers_run_nothing_twice() {
    with_faulty_workers("failing", RequestFault::Failing);
}

/// Guards against a repeatable request that crashes one upstream after the other: each time its caller
/// asks again, it was sent to three more.
#[test]
fn a_request_under_which_upstreams_break_off_reaches_few_of_them() {
    let site = Site::start("breaking", 1, 1, 6);
    await_all_used(&site);
    for worker in site.worker_states() {
        worker.lock().fault = RequestFault::Truncated;
    }
    let at = site.daemons[0].ports.callers;
    let request = Request::idempotent();
    for attempt in 1..=4 {
        let reply = send(at, &request.resend(attempt));
        assert_eq!(reply.outcome, "unknown", "{reply:?}");
    }
    let runs = site.runs(&request.id);
    assert!(runs <= 2, "it ran {runs} times");
    for worker in site.worker_states() {
        worker.lock().fault = RequestFault::None;
    }
    eventually("other requests run", || {
        send(at, &Request::idempotent()).outcome == "ran"
    });
    site.close();
}
