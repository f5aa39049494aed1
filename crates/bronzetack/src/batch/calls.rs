//! Serves callers: submissions, cancellations and look-ups.

use std::net::SocketAddr;
use std::rc::Rc;

use base::Millis;
use batch::Catalog;
use obs::Event;
use platform::Call;
use platform::CallAnswer;
use platform::CallError;
use platform::CallKind;
use platform::Reply;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot::Sender;

use crate::batch::local::answer_locally;
use crate::batch::local::reject;
use crate::batch::local::retry_after;
use crate::batch::local::RETRY_AFTER;
use crate::batch::shared::Shared;

/// Deadline of a call that does not carry one.
const DEFAULT_DEADLINE: Millis = Millis(3_000);

/// The store is tried for a caller's deadline divided by this. A caller without a definite answer
/// retries at another daemon, so one attempt must not use up the whole deadline.
const STORE_DIVISOR: u64 = 5;

/// A submission during an outage of the store waits for its end for the caller's deadline divided by
/// this, and checks at this interval.
const OUTAGE_DIVISOR: u64 = 2;
const OUTAGE_CHECK_INTERVAL: Millis = Millis(25);

/// Largest number of other daemons to which one call is relayed.
const RELAY_ATTEMPTS: u32 = 2;

/// Longest wait for another daemon's answer. The store, also while it is slow, answers that daemon
/// within half of this time.
const RELAY_TIMEOUT: Millis = Millis(500);

/// Shortest remaining time of a caller in which its call is still relayed.
const RELAY_TIME_MIN: Millis = Millis(50);

/// A caller's deadline divided by this is reserved for sending the answer back.
const MARGIN_DIVISOR: u64 = 10;

/// Serves calls until the server that receives them closes.
pub async fn run(shared: Rc<Shared>, mut calls: UnboundedReceiver<(Call, Sender<Reply>)>) {
    while let Some((call, reply)) = calls.recv().await {
        actix_rt::spawn(serve(shared.clone(), call, reply));
    }
}

async fn serve(shared: Rc<Shared>, call: Call, reply: Sender<Reply>) {
    let started = shared.now();
    let catalog = shared.documents.borrow().catalog.clone();
    let version = catalog.as_ref().map_or(0, |c| c.version);
    let age = started.since(shared.documents.borrow().confirmed);
    let answer = match &catalog {
        Some(catalog) => answer(&shared, catalog, &call).await,
        None => {
            let until =
                started + Millis(call.deadline.unwrap_or(DEFAULT_DEADLINE).0 / STORE_DIVISOR);
            reject(&shared, &call, CallAnswer::Refused(RETRY_AFTER), until).await
        }
    };
    let (name, detail) = describe(&answer);
    let kind = match call.kind {
        CallKind::Cancel => "cancel",
        CallKind::Query => "look",
        CallKind::Submit => "submit",
    };
    shared.answers.add(&[("kind", kind), ("answer", name)], 1);
    let elapsed = shared.now().since(started);
    shared.call_time.observe(&[("kind", kind)], elapsed);
    shared.config_age.observe(&[], age);
    obs::record(
        &shared.log,
        Event::CallAnswered,
        &[
            ("kind", &kind),
            ("path", &call.path),
            ("version", &version),
            ("age", &age),
            ("answer", &name),
            ("detail", &detail),
            ("took", &elapsed),
        ],
    );
    if reply.send(Reply { answer, version }).is_err() {
        obs::record(
            &shared.log,
            Event::CallerDisconnected,
            &[("path", &call.path)],
        );
    }
}

fn describe(answer: &CallAnswer) -> (&'static str, String) {
    match answer {
        CallAnswer::Accepted => ("accepted", String::new()),
        CallAnswer::Cancelled => ("cancelled", String::new()),
        CallAnswer::Forbidden => ("forbidden", "the key is not known".to_string()),
        CallAnswer::Malformed(why) => ("malformed", why.clone()),
        CallAnswer::NoJob => ("no-job", String::new()),
        CallAnswer::NoQueue => ("no-queue", String::new()),
        CallAnswer::Refused(after) => ("refused", format!("come back after {after}")),
        CallAnswer::Relayed { status, .. } => ("relayed", status.to_string()),
        CallAnswer::State(phase) => ("state", format!("{phase:?}")),
        CallAnswer::TooLarge => ("too-large", String::new()),
        CallAnswer::Unknown(after) => ("unknown", format!("come back after {after}")),
        CallAnswer::Waiting(num) => ("waiting", num.to_string()),
    }
}

/// Answers a call from the store, or relays it to another daemon while the store does not answer
/// this one or this daemon's configuration is outdated.
async fn answer(shared: &Rc<Shared>, catalog: &Catalog, call: &Call) -> CallAnswer {
    let wait = call.deadline.unwrap_or(DEFAULT_DEADLINE);
    let started = shared.now();
    let until = started + Millis(wait.0 / STORE_DIVISOR);
    let answer_by = started + wait.since(Millis(wait.0 / MARGIN_DIVISOR));
    let store_down = shared.store_outage() > Millis::ZERO;
    // A caller has had an answer by a later configuration, from this daemon or the relaying one.
    let outdated = catalog.version < shared.seen_version.get().max(call.relayed.unwrap_or(0));
    if call.relayed.is_some() && (store_down || outdated) {
        return CallAnswer::Unknown(retry_after(shared));
    }
    if store_down || outdated {
        if let Some(found) = relay(shared, catalog, call, answer_by).await {
            return found;
        }
    }
    let mut until = until;
    if store_down && call.relayed.is_none() && call.kind == CallKind::Submit {
        // The other daemons do not reach the store either. A caller that is sent away would use its
        // attempts up before the store is back.
        wait_for_store(shared, started + Millis(wait.0 / OUTAGE_DIVISOR)).await;
        until = shared.now() + Millis(wait.0 / STORE_DIVISOR);
    }
    if catalog.version < shared.seen_version.get() {
        return CallAnswer::Unknown(retry_after(shared));
    }
    shared.seen_version.set(catalog.version);
    let left = answer_by.since(shared.now()).duration();
    let local = async {
        let found = answer_locally(shared, catalog, call, until).await;
        match found {
            CallAnswer::Forbidden | CallAnswer::NoQueue | CallAnswer::TooLarge => {
                reject(shared, call, found, until).await
            }
            found => found,
        }
    };
    let local = actix_rt::time::timeout(left, local).await;
    let local = local.unwrap_or_else(|_| CallAnswer::Unknown(retry_after(shared)));
    if store_down || call.relayed.is_some() || !matches!(local, CallAnswer::Unknown(_)) {
        return local;
    }
    match relay(shared, catalog, call, answer_by).await {
        // The write sent to the store may still take effect, so only a success is conclusive.
        Some(CallAnswer::Relayed {
            status,
            after,
            body,
        }) if status < 300 => CallAnswer::Relayed {
            status,
            after,
            body,
        },
        Some(_) | None => local,
    }
}

/// Waits until the store answers this daemon again, at most until `until`.
async fn wait_for_store(shared: &Shared, until: Millis) {
    while shared.store_outage() > Millis::ZERO && shared.now() < until {
        shared.sleep(OUTAGE_CHECK_INTERVAL).await;
    }
}

/// Relays a call. Returns `None` if no other daemon gave a definite answer.
async fn relay(
    shared: &Shared,
    catalog: &Catalog,
    call: &Call,
    answer_by: Millis,
) -> Option<CallAnswer> {
    let version = catalog.version.max(shared.seen_version.get());
    let mut peers: Vec<SocketAddr> = shared.peers.borrow().iter().map(|p| p.callers).collect();
    for _ in 0..RELAY_ATTEMPTS {
        let left = answer_by.since(shared.now());
        if peers.is_empty() || left < RELAY_TIME_MIN {
            return None;
        }
        let index = shared.random_up_to(Millis(peers.len() as u64 - 1)).0 as usize;
        let peer = peers.swap_remove(index);
        match shared
            .relay
            .forward(peer, call, version, RELAY_TIMEOUT.min(left))
            .await
        {
            Ok(Reply {
                answer: CallAnswer::Unknown(_),
                ..
            }) => {}
            Ok(reply) => {
                shared
                    .seen_version
                    .set(reply.version.max(shared.seen_version.get()));
                return Some(reply.answer);
            }
            Err(error) => {
                let fields: &[(&'static str, &dyn std::fmt::Display)] =
                    &[("path", &call.path), ("peer", &peer), ("error", &error)];
                obs::record(&shared.log, Event::RelayFailed, fields);
                if !matches!(error, CallError::NotSent(_)) {
                    return None;
                }
            }
        }
    }
    None
}
