//! Workers that leave, go silent, or answer badly, as seen by callers.

mod support;

use std::time::Duration;

use fakes::worker::RequestFault;

use support::callers::send;
use support::callers::Request;
use support::eventually;
use support::relay::Relay;
use support::tasks::OUT;
use support::Site;

fn total(site: &Site, worker: usize) -> u64 {
    site.workers[worker].state().lock().runs.values().sum()
}

fn serve(site: &Site, count: usize) {
    for i in 0..count {
        let at = site.daemons[i % site.daemons.len()].ports.callers;
        let heard = send(at, &Request::idempotent());
        assert_eq!(heard.outcome, "ran", "{heard:?}");
    }
}

fn use_all(site: &Site) {
    eventually("every worker serves", || {
        serve(site, 4);
        (0..site.workers.len()).all(|w| total(site, w) > 0)
    });
}

#[test]
fn a_worker_listed_as_leaving_gets_no_new_work_in_time() {
    let site = Site::start("leaving", 1, 2, 2);
    use_all(&site);
    site.publish_with(|row| {
        if row.id == "d0-w0" {
            row.state = "leaving".to_string();
        }
    });
    std::thread::sleep(OUT);
    let before = total(&site, 0);
    serve(&site, 40);
    assert_eq!(total(&site, 0), before);
    site.close();
}

#[test]
fn a_worker_that_says_it_is_leaving_fails_no_request() {
    let site = Site::start("refusal", 1, 2, 2);
    use_all(&site);
    site.workers[0].state().lock().tasks.leaving = true;
    for _ in 0..20 {
        let heard = send(site.daemons[0].ports.callers, &Request::once());
        assert_eq!(heard.outcome, "ran", "{heard:?}");
    }
    site.close();
}

#[test]
fn silent_connections_to_workers_are_replaced() {
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
    eventually("served", || {
        send(site.daemons[0].ports.callers, &Request::idempotent()).outcome == "ran"
    });
    relay.silence();
    let request = Request::once();
    let first = send(site.daemons[0].ports.callers, &request);
    let again = send(site.daemons[0].ports.callers, &request.resend(2));
    assert!(site.runs(&request.id) <= 1, "{first:?} {again:?}");
    eventually("served again", || {
        send(site.daemons[0].ports.callers, &Request::once()).outcome == "ran"
    });
    site.close();
}

#[test]
fn nothing_runs_twice_when_connections_go_silent_and_a_daemon_is_killed() {
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
    let requests: Vec<Request> = (0..10).map(|_| Request::once()).collect();
    for request in &requests[..5] {
        assert_eq!(send(site.daemons[0].ports.callers, request).outcome, "ran");
    }
    relay.silence();
    for request in &requests {
        let short = Request {
            deadline: Duration::from_millis(500),
            ..request.resend(2)
        };
        send(site.daemons[0].ports.callers, &short);
    }
    site.daemons[0].kill();
    for request in &requests {
        send(site.daemons[1].ports.callers, &request.resend(3));
        send(site.daemons[2].ports.callers, &request.resend(4));
        assert!(site.runs(&request.id) <= 1);
    }
    eventually("served again", || {
        send(site.daemons[1].ports.callers, &Request::once()).outcome == "ran"
    });
    site.close();
}

/// Sends requests while all workers misbehave: what is told as run is whole and the caller's
/// own, and what may run once does so at most.
fn bad_answers(name: &str, fault: RequestFault) {
    let site = Site::start(name, 1, 2, 2);
    use_all(&site);
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
                    ..Request::once()
                };
                (send(at, &request), request)
            })
        })
        .collect();
    for sender in senders {
        let (heard, request) = sender.join().unwrap();
        assert_eq!(heard.id, request.id, "{heard:?}");
        let runs = site.runs(&request.id);
        match heard.outcome.as_str() {
            "ran" if heard.status == 200 => assert_eq!(heard.body, request.body),
            "not-run" => assert_eq!(runs, 0, "{heard:?}"),
            _ => {}
        }
        assert!(request.idempotent || runs <= 1, "{heard:?}");
    }
    for worker in site.worker_states() {
        worker.lock().fault = RequestFault::None;
    }
    eventually("served again", || {
        send(site.daemons[0].ports.callers, &Request::once()).outcome == "ran"
    });
    site.close();
}

#[test]
fn crossed_answers_reach_no_caller() {
    bad_answers("crossed", RequestFault::Mismatched);
}

#[test]
fn truncated_answers_reach_no_caller_as_whole() {
    bad_answers("truncated", RequestFault::Truncated);
}

#[test]
fn late_answers_reach_no_other_caller() {
    bad_answers("late", RequestFault::Late(1_800));
}

#[test]
fn answers_that_never_come_leave_callers_with_a_true_outcome() {
    bad_answers("never", RequestFault::Silent);
}

#[test]
fn failing_workers_run_nothing_twice() {
    bad_answers("failing", RequestFault::Failing);
}
