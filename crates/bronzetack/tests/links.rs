//! Links between daemons that are cut or go silent, and the loss of whole groups of daemons.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;

use support::callers::send;
use support::callers::Heard;
use support::callers::Request;
use support::eventually;
use support::relay::Relay;
use support::within;
use support::Site;

/// Time in which idempotent requests are served again after any one failure.
const SERVED: Duration = Duration::from_secs(5);

/// Sends each request to one daemon, and again to another; nothing may run twice, and nothing
/// that was refused as not run and not sent again may have run.
fn send_twice(site: &Site, count: usize) -> Vec<Heard> {
    let mut told = Vec::new();
    for i in 0..count {
        let request = Request {
            deadline: Duration::from_secs(2),
            ..Request::once()
        };
        let first = send(site.daemons[i % 2].ports.callers, &request);
        if first.outcome == "not-run" {
            assert_eq!(site.runs(&request.id), 0, "{first:?}");
        }
        let again = send(site.daemons[2].ports.callers, &request.resend(2));
        assert!(site.runs(&request.id) <= 1, "{first:?} {again:?}");
        told.push(first);
    }
    told
}

fn idempotent_is_served(site: &Site) {
    for daemon in &site.daemons {
        let served = || send(daemon.ports.callers, &Request::idempotent()).outcome == "ran";
        assert!(within(SERVED, served), "{}", daemon.vm);
    }
}

fn once_is_served(site: &Site) {
    eventually("requests that may run once are served", || {
        let mut daemons = site.daemons.iter();
        daemons.all(|d| send(d.ports.callers, &Request::once()).outcome == "ran")
    });
}

#[test]
fn nothing_runs_twice_while_links_are_cut() {
    let (site, relays) = Site::linked("cut", 1, 3);
    once_is_served(&site);
    relays.iter().for_each(Relay::cut);
    idempotent_is_served(&site);
    send_twice(&site, 12);
    relays.iter().for_each(Relay::mend);
    once_is_served(&site);
    site.close();
}

#[test]
fn silent_links_are_replaced_and_nothing_runs_twice() {
    let (site, relays) = Site::linked("silent", 1, 3);
    once_is_served(&site);
    relays.iter().for_each(Relay::silence);
    idempotent_is_served(&site);
    send_twice(&site, 12);
    once_is_served(&site);
    site.close();
}

#[test]
fn a_killed_failure_domain_is_served_by_the_other_and_comes_back() {
    let mut site = Site::start("domain", 2, 2, 1);
    let requests: Vec<Request> = (0..10).map(|_| Request::once()).collect();
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
    once_is_served(&site);
    site.close();
}

#[test]
fn a_resend_while_its_first_daemon_is_frozen_runs_nothing_twice() {
    let site = Site::start("freeze-resend", 1, 3, 1);
    once_is_served(&site);
    for worker in site.worker_states() {
        worker.lock().fault = fakes::worker::RequestFault::Late(500);
    }
    let at = site.daemons[0].ports.callers;
    let request = Request::once();
    let sent = request.clone();
    let sender = std::thread::spawn(move || send(at, &sent));
    eventually("in a worker", || {
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
