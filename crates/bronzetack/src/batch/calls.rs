//! Serves callers: submissions, cancellations and look-ups.

use std::net::SocketAddr;
use std::rc::Rc;

use base::JobId;
use base::Millis;
use base::Revision;
use batch::Catalog;
use batch::JobPhase;
use batch::JobRecord;
use batch::Progress;
use batch::Queue;
use batch::Submitted;
use batch::Verdict;
use obs::Event;
use platform::Call;
use platform::CallAnswer;
use platform::CallError;
use platform::CallKind;
use platform::Item;
use platform::LeaseId;
use platform::Put;
use platform::Reply;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot::Sender;

use crate::batch::keys;
use crate::batch::load;
use crate::batch::shared::Shared;

/// Time after which a caller is asked to retry if its call could not be served.
const RETRY_AFTER: Millis = Millis(1_000);

/// Deadline of a call that does not carry one.
const DEFAULT_DEADLINE: Millis = Millis(3_000);

/// The store is tried for a caller's deadline divided by this. A caller without a definite answer
/// retries at another daemon, so one attempt must not use up the whole deadline.
const STORE_DIVISOR: u64 = 5;

/// A submission during an outage of the store waits for its end for the caller's deadline divided by
/// this, and checks at this interval.
const OUTAGE_DIVISOR: u64 = 2;
const OUTAGE_CHECK_INTERVAL: Millis = Millis(25);

/// Delay between two attempts at the store.
const STORE_RETRY_DELAY: Millis = Millis(80);

/// Longest time after which a caller is asked to retry.
const RETRY_AFTER_MAX: Millis = Millis(5_000);

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

/// Time after which a caller is asked to retry while the store does not answer. It grows with the
/// outage, since a long outage is likely to last and callers retry only a few times.
fn retry_after(shared: &Shared) -> Millis {
    shared.store_outage().clamp(RETRY_AFTER, RETRY_AFTER_MAX)
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

async fn answer_locally(
    shared: &Rc<Shared>,
    catalog: &Catalog,
    call: &Call,
    until: Millis,
) -> CallAnswer {
    let Some(found) = catalog.find_queue(&call.host, &call.path) else {
        return CallAnswer::NoQueue;
    };
    let queue = found.queue;
    let org = call
        .key
        .as_deref()
        .and_then(|key| catalog.org_of_key(key))
        .map(|o| o.name.clone());
    if org.is_none() && !queue.public {
        return CallAnswer::Forbidden;
    }
    if found.rest.is_empty() && call.kind == CallKind::Query {
        return queue_length(shared, queue).await;
    }
    let Some(id) = platform::parse_job_id(found.rest) else {
        return match call.kind {
            CallKind::Submit => CallAnswer::Malformed("the path names no job id".to_string()),
            CallKind::Cancel | CallKind::Query => CallAnswer::NoJob,
        };
    };
    match call.kind {
        CallKind::Cancel => cancel(shared, &id, until).await,
        CallKind::Query => find_phase(shared, &id, until).await,
        CallKind::Submit if call.body.len() as u64 > catalog.limits.body => CallAnswer::TooLarge,
        CallKind::Submit => match platform::parse_submission(&call.body) {
            Ok(_) if queue.advice.is_some() && shared.adviser.is_none() => {
                let record = JobRecord::Refused(shared.clock.wall());
                let answer = CallAnswer::Refused(RETRY_AFTER_MAX);
                submit(shared, &id, record, answer, until).await
            }
            Ok(work) => {
                let submitted = Submitted::new(queue, org, shared.clock.wall(), work);
                match load::verdict(shared, &submitted) {
                    Verdict::Accept => {
                        let record = JobRecord::Accepted(Box::new(submitted));
                        submit(shared, &id, record, CallAnswer::Accepted, until).await
                    }
                    Verdict::Late(after) | Verdict::NoWorker(after) => {
                        let record = JobRecord::Refused(shared.clock.wall());
                        submit(shared, &id, record, CallAnswer::Refused(after), until).await
                    }
                }
            }
            Err(why) => CallAnswer::Malformed(why),
        },
    }
}

/// Rejects a call that the configuration does not allow. An earlier attempt at the same submission
/// may have been valid under another configuration and may still be stored late, so a refusal is
/// recorded before the answer.
async fn reject(shared: &Shared, call: &Call, answer: CallAnswer, until: Millis) -> CallAnswer {
    let id = call
        .path
        .rsplit('/')
        .next()
        .and_then(platform::parse_job_id);
    let Some(id) = id.filter(|_| call.kind == CallKind::Submit) else {
        return answer;
    };
    if !shared.refusal_limit.borrow_mut().allow(shared.now()) {
        return CallAnswer::Unknown(retry_after(shared));
    }
    let record = JobRecord::Refused(shared.clock.wall());
    match submit(shared, &id, record, answer, until).await {
        // An earlier attempt was accepted, but this caller is not authorised to see that.
        CallAnswer::Accepted => CallAnswer::Unknown(retry_after(shared)),
        answer => answer,
    }
}

async fn queue_length(shared: &Rc<Shared>, queue: &Queue) -> CallAnswer {
    if let Some(lead) = shared.current_leadership() {
        let counts = lead.scheduler.borrow().waiting();
        return CallAnswer::Waiting(counts.get(&queue.name).copied().unwrap_or(0));
    }
    match load::read(shared).await {
        Ok((load, _)) => CallAnswer::Waiting(load.waiting.get(&queue.name).copied().unwrap_or(0)),
        Err(error) => {
            shared.record_store_result(Err(&error));
            CallAnswer::Unknown(retry_after(shared))
        }
    }
}

/// Stores a job or its refusal, and returns `answer` once the record is known to be stored. A write
/// without a response may still take effect, but it uses the same key, so a later attempt finds it
/// by the job's id. A stored refusal keeps an earlier attempt from taking effect later.
async fn submit(
    shared: &Shared,
    id: &JobId,
    record: JobRecord,
    answer: CallAnswer,
    until: Millis,
) -> CallAnswer {
    let key = keys::job(id);
    let value = match record.encode() {
        Ok(value) => value,
        Err(error) => return CallAnswer::Malformed(error.to_string()),
    };
    let refusal = matches!(record, JobRecord::Refused(_));
    let mut expected = Revision(0);
    while shared.now() < until {
        match store_job(shared, &key, &value, expected, refusal).await {
            Ok(TxnOutcome::Done(_)) => {
                shared.record_store_result(Ok(()));
                return answer;
            }
            Ok(TxnOutcome::Conflict(items)) => {
                shared.record_store_result(Ok(()));
                match items.into_iter().find(|i| i.key == key) {
                    Some(item) if is_accepted(&item) => return CallAnswer::Accepted,
                    Some(_) if refusal => return answer,
                    Some(item) => expected = item.revision,
                    None => expected = Revision(0),
                }
                continue;
            }
            Ok(TxnOutcome::LeaseEnded) => load::reset_refusal_lease(shared),
            Err(error) => shared.record_store_result(Err(&error)),
        }
        shared.sleep(STORE_RETRY_DELAY).await;
    }
    // A write by this daemon or by another one may have taken effect.
    CallAnswer::Unknown(retry_after(shared))
}

async fn store_job(
    shared: &Shared,
    key: &str,
    value: &[u8],
    expected: Revision,
    refusal: bool,
) -> Result<TxnOutcome, StoreError> {
    let lease = match refusal {
        true => load::refusal_lease(shared).await?,
        false => LeaseId::default(),
    };
    let put = Put {
        key: key.to_string(),
        value: value.to_vec(),
        lease,
    };
    let txn = Txn {
        conditions: vec![(key.to_string(), expected)],
        puts: vec![put],
        removes: Vec::new(),
    };
    shared.caller_store.commit(&txn).await
}

fn is_accepted(item: &Item) -> bool {
    let record = item.value.as_deref().map(JobRecord::decode);
    matches!(record, Some(Ok(JobRecord::Accepted(_))))
}

async fn find_phase(shared: &Shared, id: &JobId, until: Millis) -> CallAnswer {
    let read = retry(shared, until, || async {
        let run = shared.caller_store.get(&keys::run(id)).await?;
        let progress = run.and_then(|i| i.value).map(|v| Progress::decode(&v));
        if let Some(Ok(progress)) = progress {
            return Ok(Some(progress.phase));
        }
        let job = shared.caller_store.get(&keys::job(id)).await?;
        Ok(job.filter(is_accepted).map(|_| JobPhase::Queued))
    });
    match read.await {
        Some(Some(phase)) => CallAnswer::State(phase),
        Some(None) => CallAnswer::NoJob,
        None => CallAnswer::Unknown(retry_after(shared)),
    }
}

async fn cancel(shared: &Shared, id: &JobId, until: Millis) -> CallAnswer {
    let cancelled = retry(shared, until, || async {
        let job = shared.caller_store.get(&keys::job(id)).await?;
        let Some(job) = job.filter(is_accepted) else {
            return Ok(false);
        };
        let key = keys::cancel(id);
        let txn = Txn {
            conditions: vec![(job.key, job.revision)],
            puts: vec![Put {
                key,
                value: Vec::new(),
                lease: Default::default(),
            }],
            removes: Vec::new(),
        };
        match shared.caller_store.commit(&txn).await? {
            TxnOutcome::Done(_) => Ok(true),
            TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded => Err(StoreError::Unknown(
                "the job's record has changed".to_string(),
            )),
        }
    });
    match cancelled.await {
        Some(true) => CallAnswer::Cancelled,
        Some(false) => CallAnswer::NoJob,
        None => CallAnswer::Unknown(retry_after(shared)),
    }
}

/// Repeats an attempt until it succeeds; `None` if it has not by `until`.
async fn retry<T, F, R>(shared: &Shared, until: Millis, attempt: F) -> Option<T>
where
    F: Fn() -> R,
    R: std::future::Future<Output = Result<T, StoreError>>,
{
    while shared.now() < until {
        match attempt().await {
            Ok(found) => {
                shared.record_store_result(Ok(()));
                return Some(found);
            }
            Err(error) => {
                shared.record_store_result(Err(&error));
                shared.sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
    None
}
