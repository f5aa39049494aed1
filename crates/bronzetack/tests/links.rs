//! Failed and stalled links between daemons, and the loss of several daemons at once.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;

use support::callers::send;
use support::callers::Reply;
use support::callers::Request;
use support::eventually;
use support::relay::Relay;
use support::within;
use support::Site;

/// Longest time until idempotent requests are served again after a failure.
const RECOVERY_MAX: Duration = Duration::from_secs(5);

/// Sends non-idempotent requests, each to one daemon and then to another. Verifies that none runs
/// twice and that none has run after the first reply said `not-run`.
fn send_twice(site: &Site, count: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    for i in 0..count {
        let request = Request {
            deadline: Duration::from_secs(2),
            ..Request::non_idempotent()
        };
        let first = send(site.daemons[i % 2].ports.callers, &request);
        if first.outcome == "not-run" {
            assert_eq!(site.runs(&request.id), 0, "{first:?}");
        }
        let again = send(site.daemons[2].ports.callers, &request.resend(2));
        assert!(site.runs(&request.id) <= 1, "{first:?} {again:?}");
        replies.push(first);
    }
    replies
}

/// Verifies that every daemon serves idempotent requests within [`RECOVERY_MAX`].
fn assert_idempotent_served(site: &Site) {
    for daemon in &site.daemons {
        let is_served = || send(daemon.ports.callers, &Request::idempotent()).outcome == "ran";
        assert!(within(RECOVERY_MAX, is_served), "{}", daemon.vm);
    }
}

/// Waits until every daemon serves non-idempotent requests.
fn await_non_idempotent_served(site: &Site) {
    eventually("non-idempotent requests run on every daemon", || {
        let mut daemons = site.daemons.iter();
        daemons.all(|d| send(d.ports.callers, &Request::non_idempotent()).outcome == "ran")
    });
}

#[test]
fn no_request_runs_twice_while_links_are_down() {
    let (site, relays) = Site::with_link_relays("cut", 1, 3);
    await_non_idempotent_served(&site);
    relays.iter().for_each(Relay::cut);
    assert_idempotent_served(&site);
    send_twice(&site, 12);
    relays.iter().for_each(Relay::restore);
    await_non_idempotent_served(&site);
    site.close();
}

#[test]
fn stalled_links_are_replaced_and_no_request_runs_twice() {
    let (site, relays) = Site::with_link_relays("silent", 1, 3);
    await_non_idempotent_served(&site);
    relays.iter().for_each(Relay::stall);
    assert_idempotent_served(&site);
    send_twice(&site, 12);
    await_non_idempotent_served(&site);
    site.close();
}

#[test]
fn resends_do_not_run_while_a_failure_domain_is_down_nor_after_its_restart() {
    let mut site = Site::start("domain", 2, 2, 1);
    let requests: Vec<Request> = (0..10).map(|_| Request::non_idempotent()).collect();
    for request in &requests {
        assert_eq!(send(site.daemons[0].ports.callers, request).outcome, "ran");
    }
    for i in [0, 1] {
        site.daemons[i].kill();
    }
    for request in &requests {
        send(site.daemons[2].ports.callers, &request.resend(2));
        assert_eq!(site.runs(&request.id), 1);
    }
    for i in [0, 1] {
        site.daemons[i].restart();
    }
    site.wait_ready();
    for request in &requests {
        send(site.daemons[0].ports.callers, &request.resend(3));
        assert_eq!(site.runs(&request.id), 1);
    }
    await_non_idempotent_served(&site);
    site.close();
}

#[test]
fn a_resend_while_the_first_daemon_is_frozen_does_not_run_twice() {
    let site = Site::start("freeze-resend", 1, 3, 1);
    await_non_idempotent_served(&site);
    for worker in site.worker_states() {
        worker.lock().fault = fakes::worker::RequestFault::Late(500);
    }
    let at = site.daemons[0].ports.callers;
    let request = Request::non_idempotent();
    let sent = request.clone();
    let sender = std::thread::spawn(move || send(at, &sent));
    eventually("the request is running in a worker", || {
        site.worker_states().iter().any(|w| w.lock().running > 0)
    });
    site.daemons[0].signal(Signal::SIGSTOP);
    send(site.daemons[1].ports.callers, &request.resend(2));
    site.daemons[0].signal(Signal::SIGCONT);
    sender.join().unwrap();
    send(site.daemons[2].ports.callers, &request.resend(3));
    assert!(site.runs(&request.id) <= 1);
    site.close();
}
