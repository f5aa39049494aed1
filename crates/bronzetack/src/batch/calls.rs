//! Serves callers: submissions, cancellations and look-ups.

use std::net::SocketAddr;
use std::rc::Rc;

use base::Millis;
use batch::stall::BEAT_INTERVAL;
use batch::Catalog;
use obs::Event;
use platform::Call;
use platform::CallAnswer;
use platform::CallError;
use platform::CallKind;
use platform::Reply;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot::Sender;

use crate::batch::documents;
use crate::batch::local::answer_locally;
use crate::batch::local::reject;
use crate::batch::local::retry_after;
use crate::batch::local::RETRY_AFTER;
use crate::batch::peers::Peer;
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

async fn serve(shared: Rc<Shared>, mut call: Call, reply: Sender<Reply>) {
    let started = shared.now();
    let age = started.since(shared.documents.borrow().confirmed);
    call.late |= shared.stalls.borrow_mut().beat(started);
    // The daemon that passed it on may have given up on it, and its caller has come again since.
    call.late |= call.relayed.is_some();
    let (answer, version) = answer(&shared, &mut call).await;
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

/// Tells the detector of stalls that the daemon runs, until the daemon ends.
pub async fn watch_stalls(shared: Rc<Shared>) {
    loop {
        shared.sleep(BEAT_INTERVAL).await;
        shared.stalls.borrow_mut().beat(shared.now());
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
        CallAnswer::OverLimit(why, _) => ("over-limit", why.clone()),
        CallAnswer::Refused(after) => ("refused", format!("come back after {after}")),
        CallAnswer::Relayed { status, .. } => ("relayed", status.to_string()),
        CallAnswer::State(phase) => ("state", format!("{phase:?}")),
        CallAnswer::TooLarge => ("too-large", String::new()),
        CallAnswer::Unknown(after) => ("unknown", format!("come back after {after}")),
        CallAnswer::Waiting(num) => ("waiting", num.to_string()),
    }
}

/// Answers a call from the store, or relays it to another daemon while the store does not answer
/// this one or its configuration may be outdated. Returns the answer and the version of the
/// configuration that decided it, or that this daemon holds if it decided nothing.
async fn answer(shared: &Rc<Shared>, call: &mut Call) -> (CallAnswer, u64) {
    let wait = call.deadline.unwrap_or(DEFAULT_DEADLINE);
    let started = shared.now();
    let until = started + Millis(wait.0 / STORE_DIVISOR);
    let answer_by = started + wait.since(Millis(wait.0 / MARGIN_DIVISOR));
    let held = shared
        .documents
        .borrow()
        .catalog
        .as_ref()
        .map(|c| c.version);
    let Some(held) = held else {
        let refused = CallAnswer::Refused(RETRY_AFTER);
        return (reject(shared, call, refused, until).await, 0);
    };
    // A caller has had an answer by this version, from this daemon or the relaying one.
    let relayed = call.relayed.unwrap_or(0);
    let least = || shared.seen_version.get().max(relayed);
    let store_down = shared.store_outage() > Millis::ZERO;
    let mut catalog = documents::current_catalog(shared, started, least());
    let mut until = until;
    if store_down || catalog.is_none() {
        if call.relayed.is_some() {
            return (CallAnswer::Unknown(retry_after(shared)), held);
        }
        if let Some(found) = relay(shared, held, call, answer_by).await {
            return (found, held);
        }
        // The other daemons do not know more. A caller that is sent away would use its attempts up
        // before the store is back.
        let patience = match call.kind {
            CallKind::Submit => OUTAGE_DIVISOR,
            CallKind::Cancel | CallKind::Query => STORE_DIVISOR,
        };
        let submits = call.kind == CallKind::Submit;
        let end = started + Millis(wait.0 / patience);
        call.late = true;
        catalog = wait_until_current(shared, submits, started, end, least).await;
        if submits || !store_down {
            until = shared.now() + Millis(wait.0 / STORE_DIVISOR);
        }
    }
    let Some(catalog) = catalog else {
        return (CallAnswer::Unknown(retry_after(shared)), held);
    };
    let version = catalog.version;
    shared
        .seen_version
        .set(version.max(shared.seen_version.get()));
    let left = answer_by.since(shared.now()).duration();
    let local = async {
        let found = answer_locally(shared, &catalog, call, until).await;
        match found {
            CallAnswer::Forbidden
            | CallAnswer::Malformed(_)
            | CallAnswer::NoQueue
            | CallAnswer::TooLarge => reject(shared, call, found, until).await,
            found => found,
        }
    };
    let local = actix_rt::time::timeout(left, local).await;
    let local = local.unwrap_or_else(|_| CallAnswer::Unknown(retry_after(shared)));
    // Without an outage, the limit on refusals has held the cancellation up. All daemons share it.
    let is_limited = call.kind == CallKind::Cancel && shared.store_outage() == Millis::ZERO;
    let is_known = !matches!(local, CallAnswer::Unknown(_));
    if store_down || call.relayed.is_some() || is_limited || is_known {
        return (local, version);
    }
    call.late = true;
    match relay(shared, version, call, answer_by).await {
        // The write sent to the store may still take effect, so only a success is conclusive.
        Some(CallAnswer::Relayed {
            status,
            after,
            body,
        }) if status < 300 => {
            let relayed = CallAnswer::Relayed {
                status,
                after,
                body,
            };
            (relayed, version)
        }
        Some(_) | None => (local, version),
    }
}

/// Waits, at most until `end`, for a configuration by which a call received at `started` may be
/// decided, and for the store to answer this daemon if `store` is set.
async fn wait_until_current(
    shared: &Shared,
    store: bool,
    started: Millis,
    end: Millis,
    least: impl Fn() -> u64,
) -> Option<Rc<Catalog>> {
    loop {
        let found = documents::current_catalog(shared, started, least());
        let reached = !store || shared.store_outage() == Millis::ZERO;
        if found.is_some() && reached || shared.now() >= end {
            return found;
        }
        shared.sleep(OUTAGE_CHECK_INTERVAL).await;
    }
}

/// Relays a call. Returns `None` if no other daemon gave a definite answer.
async fn relay(
    shared: &Shared,
    version: u64,
    call: &mut Call,
    answer_by: Millis,
) -> Option<CallAnswer> {
    let version = version.max(shared.seen_version.get());
    let (mut faster, mut others) = peers_by_bandwidth(shared);
    for attempt in 0..RELAY_ATTEMPTS {
        let left = answer_by.since(shared.now());
        let group = match attempt == 0 && !faster.is_empty() {
            true => &mut faster,
            false => {
                others.append(&mut faster);
                &mut others
            }
        };
        if group.is_empty() || left < RELAY_TIME_MIN {
            return None;
        }
        let index = shared.random_up_to(Millis(group.len() as u64 - 1)).0 as usize;
        let peer = group.swap_remove(index);
        let timeout = RELAY_TIMEOUT.min(left);
        let sent = shared.relay.forward(peer, call, version, timeout).await;
        call.late = true;
        match sent {
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

/// Addresses of the other daemons: those with a faster link than this one, which are the first to
/// have read a large document, and the others.
fn peers_by_bandwidth(shared: &Shared) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let own = shared.capacity.bandwidth;
    let peers = shared.peers.borrow();
    let (faster, others): (Vec<&Peer>, Vec<&Peer>) =
        peers.iter().partition(|p| p.capacity.bandwidth > own);
    let addresses = |peers: Vec<&Peer>| peers.iter().map(|p| p.callers).collect();
    (addresses(faster), addresses(others))
}
