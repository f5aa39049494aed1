//! Requests through real daemon processes.

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
        let request = Request::once();
        let heard = send(daemon.ports.callers, &request);
        assert_eq!(heard.outcome, "ran", "{heard:?}");
        assert_eq!((heard.id, heard.body), (request.id.clone(), request.body));
        assert_eq!(site.runs(&request.id), 1);
    }
    site.close();
}

#[test]
fn a_resend_elsewhere_gets_the_first_answer() {
    let site = Site::start("resend", 2, 1, 1);
    let request = Request::once();
    let first = send(site.daemons[0].ports.callers, &request);
    let again = send(site.daemons[1].ports.callers, &request.resend(2));
    assert_eq!(first.outcome, "ran", "{first:?}");
    assert_eq!(again, first);
    assert_eq!(site.runs(&request.id), 1);
    site.close();
}

#[test]
fn a_resend_after_the_death_of_the_first_daemon_runs_nothing_twice() {
    let mut site = Site::start("death", 2, 2, 1);
    let requests: Vec<Request> = (0..20).map(|_| Request::once()).collect();
    for request in &requests {
        let heard = send(site.daemons[0].ports.callers, request);
        assert_eq!(heard.outcome, "ran", "{heard:?}");
    }
    site.daemons[0].kill();
    for request in &requests {
        send(site.daemons[1].ports.callers, &request.resend(2));
        send(site.daemons[2].ports.callers, &request.resend(3));
        assert_eq!(site.runs(&request.id), 1);
    }
    eventually("new requests run without the dead daemon", || {
        let heard = send(site.daemons[1].ports.callers, &Request::once());
        heard.outcome == "ran"
    });
    site.close();
}

#[test]
fn a_frozen_daemon_does_no_harm_when_it_wakes() {
    let site = Site::start("freeze", 2, 2, 1);
    let requests: Vec<Request> = (0..20).map(|_| Request::once()).collect();
    site.daemons[0].signal(Signal::SIGSTOP);
    let mut told = Vec::new();
    for request in &requests {
        told.push(send(site.daemons[1].ports.callers, request));
    }
    site.daemons[0].signal(Signal::SIGCONT);
    for (request, first) in requests.iter().zip(&told) {
        send(site.daemons[0].ports.callers, &request.resend(2));
        let runs = site.runs(&request.id);
        assert!(runs <= 1, "{first:?}");
        assert!(first.outcome != "not-run" || first.retry.is_some());
    }
    site.close();
}

#[test]
fn a_planned_stop_cuts_no_request() {
    let mut site = Site::start("stop", 2, 1, 1);
    for worker in &site.workers {
        worker.state().lock().fault = fakes::worker::RequestFault::Late(700);
    }
    let at = site.daemons[0].ports.callers;
    let request = Request::once();
    let sent = request.clone();
    let sender = std::thread::spawn(move || send(at, &sent));
    eventually("the request is in a worker", || {
        site.workers.iter().any(|w| w.state().lock().running > 0)
    });
    let status = site.daemons[0].stop();
    let heard = sender.join().unwrap();
    assert_eq!(heard.outcome, "ran", "{heard:?}");
    assert!(status.success(), "{status}");
    site.close();
}
