//! Answers to callers.

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

/// When a caller whose call could not be served is asked to come back.
const COME_BACK: Millis = Millis(1_000);

/// Longest time for a call when the caller does not say how long it waits.
const WAIT: Millis = Millis(3_000);

/// Part of a caller's wait for which the store is tried: one in this many. A caller that gets no
/// definite answer tries again at another daemon, so that its tries together cover the whole
/// wait and none of them uses it up.
const SHARES: u64 = 5;

/// Pause between two attempts at the store.
const PAUSE: Millis = Millis(80);

/// Longest time after which a caller is asked to come back.
const COME_BACK_MAX: Millis = Millis(5_000);

/// Other daemons tried for one call.
const RELAYS: u32 = 2;

/// Longest wait for another daemon's answer, which the store gives within half of it.
const RELAY_WAIT: Millis = Millis(500);

/// Shortest wait for which another daemon is asked.
const RELAY_MIN: Millis = Millis(50);

/// Part of a caller's wait that is kept for the answer's way back: one in this many.
const MARGIN: u64 = 10;

/// Answers calls until the port closes.
pub async fn run(shared: Rc<Shared>, mut calls: UnboundedReceiver<(Call, Sender<Reply>)>) {
    while let Some((call, reply)) = calls.recv().await {
        actix_rt::spawn(serve(shared.clone(), call, reply));
    }
}

async fn serve(shared: Rc<Shared>, call: Call, reply: Sender<Reply>) {
    let began = shared.now();
    let catalog = shared.facts.borrow().catalog.clone();
    let version = catalog.as_ref().map_or(0, |c| c.version);
    let answer = match &catalog {
        Some(catalog) => answer(&shared, catalog, &call).await,
        None => {
            let until = began + Millis(call.deadline.unwrap_or(WAIT).0 / SHARES);
            turn_away(&shared, &call, CallAnswer::Refused(COME_BACK), until).await
        }
    };
    let (name, detail) = describe(&answer);
    let kind = match call.kind {
        CallKind::Cancel => "cancel",
        CallKind::Query => "look",
        CallKind::Submit => "submit",
    };
    shared.answers.add(&[("kind", kind), ("answer", name)], 1);
    let took = shared.now().since(began);
    shared.took.observe(&[("kind", kind)], took);
    obs::record(
        &shared.log,
        Event::CallAnswered,
        &[
            ("kind", &kind),
            ("path", &call.path),
            ("version", &version),
            ("answer", &name),
            ("detail", &detail),
            ("took", &took),
        ],
    );
    if reply.send(Reply { answer, version }).is_err() {
        obs::record(&shared.log, Event::CallerGone, &[("path", &call.path)]);
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

/// Answers a call from the store, or through another daemon while the store does not answer
/// this one.
async fn answer(shared: &Rc<Shared>, catalog: &Catalog, call: &Call) -> CallAnswer {
    let wait = call.deadline.unwrap_or(WAIT);
    let began = shared.now();
    let until = began + Millis(wait.0 / SHARES);
    let last = began + wait.since(Millis(wait.0 / MARGIN));
    let lost = shared.store_lost() > Millis::ZERO;
    // Callers have been told of a later configuration, by this daemon or the one that asks it.
    let outdated = catalog.version < shared.told.get().max(call.relayed.unwrap_or(0));
    if call.relayed.is_some() && (lost || outdated) {
        return CallAnswer::Unknown(come_back(shared));
    }
    if lost || outdated {
        if let Some(found) = pass_on(shared, catalog, call, last).await {
            return found;
        }
    }
    if catalog.version < shared.told.get() {
        return CallAnswer::Unknown(come_back(shared));
    }
    shared.told.set(catalog.version);
    let left = last.since(shared.now()).duration();
    let own = async {
        let found = answer_here(shared, catalog, call, until).await;
        match found {
            CallAnswer::Forbidden | CallAnswer::NoQueue | CallAnswer::TooLarge => {
                turn_away(shared, call, found, until).await
            }
            found => found,
        }
    };
    let own = actix_rt::time::timeout(left, own).await;
    let own = own.unwrap_or_else(|_| CallAnswer::Unknown(come_back(shared)));
    if lost || call.relayed.is_some() || !matches!(own, CallAnswer::Unknown(_)) {
        return own;
    }
    match pass_on(shared, catalog, call, last).await {
        // What was sent to the store may still take effect: only success settles it.
        Some(CallAnswer::Relayed {
            status,
            after,
            body,
        }) if status < 300 => CallAnswer::Relayed {
            status,
            after,
            body,
        },
        Some(_) | None => own,
    }
}

/// When a caller is asked to come back while the store does not answer: the longer it has been
/// away, the longer it is likely to stay so, and callers do not come back many times.
fn come_back(shared: &Shared) -> Millis {
    shared.store_lost().clamp(COME_BACK, COME_BACK_MAX)
}

/// Another daemon's answer; `None` if none could be reached or it cannot tell either.
async fn pass_on(
    shared: &Shared,
    catalog: &Catalog,
    call: &Call,
    last: Millis,
) -> Option<CallAnswer> {
    let version = catalog.version.max(shared.told.get());
    let mut peers = shared.peers.borrow().clone();
    for _ in 0..RELAYS {
        let left = last.since(shared.now());
        if peers.is_empty() || left < RELAY_MIN {
            return None;
        }
        let num = shared.spread(Millis(peers.len() as u64 - 1)).0 as usize;
        let peer = peers.swap_remove(num);
        match shared
            .relay
            .forward(peer, call, version, RELAY_WAIT.min(left))
            .await
        {
            Ok(Reply {
                answer: CallAnswer::Unknown(_),
                ..
            }) => {}
            Ok(reply) => {
                shared.told.set(reply.version.max(shared.told.get()));
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

async fn answer_here(
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
        .map(|t| t.name.clone());
    if org.is_none() && !queue.public {
        return CallAnswer::Forbidden;
    }
    if found.rest.is_empty() && call.kind == CallKind::Query {
        return waiting(shared, queue).await;
    }
    let Some(id) = platform::parse_job_id(found.rest) else {
        return match call.kind {
            CallKind::Submit => CallAnswer::Malformed("the path names no job id".to_string()),
            CallKind::Cancel | CallKind::Query => CallAnswer::NoJob,
        };
    };
    match call.kind {
        CallKind::Cancel => cancel(shared, &id, until).await,
        CallKind::Query => look(shared, &id, until).await,
        CallKind::Submit if call.body.len() as u64 > catalog.limits.body => CallAnswer::TooLarge,
        CallKind::Submit => match platform::parse_submission(&call.body) {
            Ok(_) if queue.advice.is_some() && shared.adviser.is_none() => {
                let record = JobRecord::Refused(shared.clock.wall());
                let answer = CallAnswer::Refused(COME_BACK_MAX);
                submit(shared, &id, record, answer, until).await
            }
            Ok(work) => {
                let given = Submitted::new(queue, org, shared.clock.wall(), work);
                match load::verdict(shared, &given) {
                    Verdict::Accept => {
                        let record = JobRecord::Accepted(Box::new(given));
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

/// Turns a call away by the configuration. An earlier try of the same submission may have come
/// under another configuration and may still be stored late, so a refusal is recorded first.
async fn turn_away(shared: &Shared, call: &Call, answer: CallAnswer, until: Millis) -> CallAnswer {
    let id = call
        .path
        .rsplit('/')
        .next()
        .and_then(platform::parse_job_id);
    let Some(id) = id.filter(|_| call.kind == CallKind::Submit) else {
        return answer;
    };
    if !shared.refused.borrow_mut().allow(shared.now()) {
        return CallAnswer::Unknown(come_back(shared));
    }
    let record = JobRecord::Refused(shared.clock.wall());
    match submit(shared, &id, record, answer, until).await {
        // It runs, but this caller may not be told so.
        CallAnswer::Accepted => CallAnswer::Unknown(come_back(shared)),
        answer => answer,
    }
}

async fn waiting(shared: &Rc<Shared>, queue: &Queue) -> CallAnswer {
    if let Some(lead) = shared.leading() {
        let counts = lead.book.borrow().waiting();
        return CallAnswer::Waiting(counts.get(&queue.name).copied().unwrap_or(0));
    }
    match load::read(shared).await {
        Ok((load, _)) => CallAnswer::Waiting(load.waiting.get(&queue.name).copied().unwrap_or(0)),
        Err(error) => {
            shared.heard_store(Err(&error));
            CallAnswer::Unknown(come_back(shared))
        }
    }
}

/// Stores a job or its refusal, and answers so once that is certain. Whatever an attempt without
/// an answer may still do is found again under the job's id; a refusal there keeps an earlier
/// attempt from taking effect later.
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
    let mut held = Revision(0);
    while shared.now() < until {
        match store_job(shared, &key, &value, held, refusal).await {
            Ok(TxnOutcome::Done(_)) => {
                shared.heard_store(Ok(()));
                return answer;
            }
            Ok(TxnOutcome::Conflict(items)) => {
                shared.heard_store(Ok(()));
                match items.into_iter().find(|i| i.key == key) {
                    Some(item) if is_accepted(&item) => return CallAnswer::Accepted,
                    Some(_) if refusal => return answer,
                    Some(item) => held = item.revision,
                    None => held = Revision(0),
                }
                continue;
            }
            Ok(TxnOutcome::LeaseEnded) => load::renew_refusals(shared),
            Err(error) => shared.heard_store(Err(&error)),
        }
        shared.sleep(PAUSE).await;
    }
    // An earlier attempt, here or at another daemon, may have been stored.
    CallAnswer::Unknown(come_back(shared))
}

async fn store_job(
    shared: &Shared,
    key: &str,
    value: &[u8],
    held: Revision,
    refusal: bool,
) -> Result<TxnOutcome, StoreError> {
    let lease = match refusal {
        true => load::refusals(shared).await?,
        false => LeaseId::default(),
    };
    let put = Put {
        key: key.to_string(),
        value: value.to_vec(),
        lease,
    };
    let txn = Txn {
        conditions: vec![(key.to_string(), held)],
        puts: vec![put],
        removes: Vec::new(),
    };
    shared.quick.commit(&txn).await
}

fn is_accepted(item: &Item) -> bool {
    let record = item.value.as_deref().map(JobRecord::decode);
    matches!(record, Some(Ok(JobRecord::Accepted(_))))
}

async fn look(shared: &Shared, id: &JobId, until: Millis) -> CallAnswer {
    let read = retry(shared, until, || async {
        let run = shared.quick.get(&keys::run(id)).await?;
        let progress = run.and_then(|i| i.value).map(|v| Progress::decode(&v));
        if let Some(Ok(progress)) = progress {
            return Ok(Some(progress.phase));
        }
        let job = shared.quick.get(&keys::job(id)).await?;
        Ok(job.filter(is_accepted).map(|_| JobPhase::Queued))
    });
    match read.await {
        Some(Some(phase)) => CallAnswer::State(phase),
        Some(None) => CallAnswer::NoJob,
        None => CallAnswer::Unknown(come_back(shared)),
    }
}

async fn cancel(shared: &Shared, id: &JobId, until: Millis) -> CallAnswer {
    let cancelled = retry(shared, until, || async {
        let job = shared.quick.get(&keys::job(id)).await?;
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
        match shared.quick.commit(&txn).await? {
            TxnOutcome::Done(_) => Ok(true),
            TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded => Err(StoreError::Unknown(
                "the job's record has changed".to_string(),
            )),
        }
    });
    match cancelled.await {
        Some(true) => CallAnswer::Cancelled,
        Some(false) => CallAnswer::NoJob,
        None => CallAnswer::Unknown(come_back(shared)),
    }
}

/// Tries until there is a result or the caller's time is over.
async fn retry<T, F, R>(shared: &Shared, until: Millis, attempt: F) -> Option<T>
where
    F: Fn() -> R,
    R: std::future::Future<Output = Result<T, StoreError>>,
{
    while shared.now() < until {
        match attempt().await {
            Ok(found) => {
                shared.heard_store(Ok(()));
                return Some(found);
            }
            Err(error) => {
                shared.heard_store(Err(&error));
                shared.sleep(PAUSE).await;
            }
        }
    }
    None
}
