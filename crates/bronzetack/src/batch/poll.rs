//! Polls the workers: one long poll at a time for each, which also renews the worker's lease.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::Millis;
use base::Set;
use base::WorkerId;
use batch::OddRows;
use obs::Event;
use platform::PollResponse;

use crate::batch::delegates;
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Delay after the first failed poll; it doubles with each further failure.
const RETRY_DELAY: Millis = Millis(100);

/// Upper bound of the delay after failed polls.
const RETRY_DELAY_MAX: Millis = Millis(800);

/// Longest time for which the next poll waits until ended runs are stored.
const STORED_TIMEOUT: Millis = Millis(300);

/// Delay after a report with an unreadable end, which the worker lists until it can be acknowledged.
const ODD_END_DELAY: Millis = Millis(100);

/// Shortest time between two log lines about unreadable rows of one worker.
const ODD_LOG_INTERVAL: Millis = Millis(60_000);

/// Polls every worker until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Leadership>) {
    let polled: Rc<RefCell<Set<WorkerId>>> = Rc::default();
    while !lead.ended.get() {
        let targets = lead.scheduler.borrow().poll_targets();
        for (id, address) in targets {
            if polled.borrow_mut().insert(id.clone()) {
                let polled = polled.clone();
                actix_rt::spawn(poll_worker(
                    shared.clone(),
                    lead.clone(),
                    id,
                    address,
                    polled,
                ));
            }
        }
        lead.workers_changed.notified().await;
    }
}

async fn poll_worker(
    shared: Rc<Shared>,
    lead: Rc<Leadership>,
    id: WorkerId,
    address: SocketAddr,
    polled: Rc<RefCell<Set<WorkerId>>>,
) {
    let mut delay = RETRY_DELAY;
    let mut failing = false;
    let mut odd_noted: Option<Millis> = None;
    while !lead.ended.get() {
        let sent = shared.now();
        let renew = sent <= lead.lease_status.valid_until() + shared.times.offline_renewal;
        let request = lead.scheduler.borrow_mut().poll(&id, renew, sent);
        let Some(request) = request else { break };
        let response = delegates::poll(&shared, &lead, &id, &request).await;
        if lead.ended.get() {
            break;
        }
        let error = match response {
            Ok(PollResponse::Report(report)) => {
                let any_ended = !report.ended.is_empty();
                let any_odd = !report.odd.ended.is_empty();
                note_odd(&shared, &id, &report.odd, &mut odd_noted);
                lead.scheduler
                    .borrow_mut()
                    .report(&id, report, sent, shared.now());
                lead.wake.notify_one();
                if any_odd {
                    // The worker answers at once while it lists an end that is not acknowledged.
                    shared.sleep(ODD_END_DELAY).await;
                } else if any_ended {
                    wait_stored(&shared, &lead).await;
                }
                None
            }
            Ok(PollResponse::Fenced) => {
                lead.end();
                break;
            }
            Ok(PollResponse::Refused(status)) => Some(format!("status {status}")),
            Err(error) => Some(error.to_string()),
        };
        if failing != error.is_some() {
            failing = error.is_some();
            if let Some(error) = &error {
                obs::record(
                    &shared.log,
                    Event::WorkerSilent,
                    &[("worker", &id), ("error", error)],
                );
            }
        }
        if error.is_some() {
            lead.scheduler.borrow_mut().poll_failed(&id);
            shared.sleep(delay).await;
            delay = RETRY_DELAY_MAX.min(delay + delay);
        } else {
            delay = RETRY_DELAY;
        }
    }
    shared.workers.close_idle(address);
    polled.borrow_mut().remove(&id);
}

/// Logs what is wrong with the first row of a report that cannot be read.
fn note_odd(shared: &Shared, id: &WorkerId, odd: &OddRows, noted: &mut Option<Millis>) {
    let Some(why) = odd.first() else { return };
    let now = shared.now();
    if noted.is_some_and(|at| now.since(at) < ODD_LOG_INTERVAL) {
        return;
    }
    *noted = Some(now);
    let fields: &[(&'static str, &dyn std::fmt::Display)] =
        &[("worker", id), ("rows", &odd.count()), ("error", &why)];
    obs::record(&shared.log, Event::InputRefused, fields);
}

/// Waits until the ends of runs in the last report are stored, so that the next poll can
/// acknowledge them.
async fn wait_stored(shared: &Shared, lead: &Leadership) {
    let stored = lead.stored.notified();
    let waited = actix_rt::time::timeout(STORED_TIMEOUT.duration(), stored).await;
    if waited.is_ok() {
        return;
    }
    if let Some(suppressed) = shared.slow_log.admit(shared.now()) {
        let fields: &[(&'static str, &dyn std::fmt::Display)] =
            &[("waited", &STORED_TIMEOUT), ("more", &suppressed)];
        obs::record(&shared.log, Event::StoreSlow, fields);
    }
}
