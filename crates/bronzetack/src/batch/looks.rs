//! Looks at the workers: one long call each, which also renews their leases.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::Millis;
use base::Set;
use base::WorkerId;
use obs::Event;
use platform::PollResponse;

use crate::batch::lead::Lead;
use crate::batch::shared::Shared;

/// Pause after a failed look, doubled up to the longest.
const PAUSE: Millis = Millis(100);

/// Longest pause after failed looks.
const PAUSE_MAX: Millis = Millis(800);

/// Longest wait until ends are stored before the next look.
const STORE_WAIT: Millis = Millis(300);

/// Keeps a look going on at every worker until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Lead>) {
    let watched: Rc<RefCell<Set<WorkerId>>> = Rc::default();
    while !lead.over.get() {
        let all = lead.book.borrow().poll_targets();
        for (id, address) in all {
            if watched.borrow_mut().insert(id.clone()) {
                let watched = watched.clone();
                actix_rt::spawn(follow(shared.clone(), lead.clone(), id, address, watched));
            }
        }
        lead.listed.notified().await;
    }
}

async fn follow(
    shared: Rc<Shared>,
    lead: Rc<Lead>,
    id: WorkerId,
    address: SocketAddr,
    watched: Rc<RefCell<Set<WorkerId>>>,
) {
    let mut pause = PAUSE;
    let mut silent = false;
    while !lead.over.get() {
        let sent = shared.now();
        let renew = sent <= lead.until.get() + shared.times.offline_renewal;
        let order = lead.book.borrow_mut().poll(&id, renew, sent);
        let Some(order) = order else { break };
        let answer = shared.workers.poll(&id, &order).await;
        if lead.over.get() {
            break;
        }
        let error = match answer {
            Ok(PollResponse::Report(report)) => {
                let ends = !report.ended.is_empty();
                lead.book
                    .borrow_mut()
                    .report(&id, report, sent, shared.now());
                lead.wake.notify_one();
                if ends {
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
        if silent != error.is_some() {
            silent = error.is_some();
            if let Some(error) = &error {
                obs::record(
                    &shared.log,
                    Event::WorkerSilent,
                    &[("worker", &id), ("error", error)],
                );
            }
        }
        if error.is_some() {
            lead.book.borrow_mut().poll_failed(&id);
            shared.sleep(pause).await;
            pause = PAUSE_MAX.min(pause + pause);
        } else {
            pause = PAUSE;
        }
    }
    shared.workers.close_idle(address);
    watched.borrow_mut().remove(&id);
}

/// Waits until the ends just seen are stored, so that the next look acknowledges them.
async fn wait_stored(shared: &Shared, lead: &Lead) {
    let stored = lead.stored.notified();
    let waited = actix_rt::time::timeout(STORE_WAIT.duration(), stored).await;
    if waited.is_ok() {
        return;
    }
    if let Some(held) = shared.slow_lines.pass(shared.now()) {
        let fields: &[(&'static str, &dyn std::fmt::Display)] =
            &[("waited", &STORE_WAIT), ("more", &held)];
        obs::record(&shared.log, Event::StoreSlow, fields);
    }
}
