//! Requests with real daemon processes that are killed, frozen or stopped.

mod support;

use nix::sys::signal::Signal;

use support::callers::send;
use support::callers::Request;
use support::eventually;
use support::Site;

#[test]
fn a_request_is_answered_by_every_daemon() {
    let site = Site::start("each", 2, 1, 1);
    for daemon in &site.daemons {
        let request = Request::non_idempotent();
        let reply = send(daemon.ports.callers, &request);
        assert_eq!(reply.outcome, "ran", "{reply:?}");
        assert_eq!((reply.id, reply.body), (request.id.clone(), request.body));
        assert_eq!(site.runs(&request.id), 1);
    }
    site.close();
}

#[test]
fn a_resend_to_another_daemon_gets_the_first_answer() {
    let site = Site::start("resend", 2, 1, 1);
    let request = Request::non_idempotent();
    let first = send(site.daemons[0].ports.callers, &request);
    let again = send(site.daemons[1].ports.callers, &request.resend(2));
    assert_eq!(first.outcome, "ran", "{first:?}");
    assert_eq!(again, first);
    assert_eq!(site.runs(&request.id), 1);
    site.close();
}

#[test]
fn resends_after_the_first_daemon_was_killed_run_nothing_twice() {
    let mut site = Site::start("death", 2, 2, 1);
    let requests: Vec<Request> = (0..20).map(|_| Request::non_idempotent()).collect();
    for request in &requests {
        let reply = send(site.daemons[0].ports.callers, request);
        assert_eq!(reply.outcome, "ran", "{reply:?}");
    }
    site.daemons[0].kill();
    for request in &requests {
        send(site.daemons[1].ports.callers, &request.resend(2));
        send(site.daemons[2].ports.callers, &request.resend(3));
        assert_eq!(site.runs(&request.id), 1);
    }
    eventually("new requests run without the killed daemon", || {
        let reply = send(site.daemons[1].ports.callers, &Request::non_idempotent());
        reply.outcome == "ran"
    });
    site.close();
}

#[test]
fn a_daemon_resumed_after_a_freeze_runs_nothing_twice() {
    let site = Site::start("freeze", 2, 2, 1);
    let requests: Vec<Request> = (0..20).map(|_| Request::non_idempotent()).collect();
    site.daemons[0].signal(Signal::SIGSTOP);
    let mut replies = Vec::new();
    for request in &requests {
        replies.push(send(site.daemons[1].ports.callers, request));
    }
    site.daemons[0].signal(Signal::SIGCONT);
    for (request, first) in requests.iter().zip(&replies) {
        send(site.daemons[0].ports.callers, &request.resend(2));
        let runs = site.runs(&request.id);
        assert!(runs <= 1, "{first:?}");
        assert!(first.outcome != "not-run" || first.retry.is_some());
    }
    site.close();
}

#[test]
fn a_planned_stop_completes_requests_in_progress() {
    let mut site = Site::start("stop", 2, 1, 1);
    for worker in &site.workers {
        worker.state().lock().fault = fakes::worker::RequestFault::Late(700);
    }
    let at = site.daemons[0].ports.callers;
    let request = Request::non_idempotent();
    let sent = request.clone();
    let sender = std::thread::spawn(move || send(at, &sent));
    eventually("the request is running in a worker", || {
        site.workers.iter().any(|w| w.state().lock().running > 0)
    });
    let status = site.daemons[0].stop();
    let reply = sender.join().unwrap();
    assert_eq!(reply.outcome, "ran", "{reply:?}");
    assert!(status.success(), "{status}");
    site.close();
}
