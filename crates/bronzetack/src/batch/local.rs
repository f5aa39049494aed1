//! Answers calls from the records in the platform's store.

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
use platform::Call;
use platform::CallAnswer;
use platform::CallKind;
use platform::Item;
use platform::LeaseId;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::keys;
use crate::batch::load;
use crate::batch::shared::Shared;

/// Time after which a caller is asked to retry if its call could not be served.
pub const RETRY_AFTER: Millis = Millis(1_000);

/// Delay between two attempts at the store.
const STORE_RETRY_DELAY: Millis = Millis(80);

/// Longest time after which a caller is asked to retry.
const RETRY_AFTER_MAX: Millis = Millis(5_000);

/// When an attempt was received, and until when the store is tried for it.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time at which this daemon received the attempt.
    pub received: Millis,
    /// Time until which the store is tried.
    pub until: Millis,
}

/// Time after which a caller is asked to retry while the store does not answer. It grows with the
/// outage, since a long outage is likely to last and callers retry only a few times.
pub fn retry_after(shared: &Shared) -> Millis {
    shared.store_outage().clamp(RETRY_AFTER, RETRY_AFTER_MAX)
}

/// Answers a call from the store by this configuration.
pub async fn answer_locally(
    shared: &Rc<Shared>,
    catalog: &Catalog,
    call: &Call,
    times: Times,
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
        CallKind::Cancel => cancel(shared, &id, times.until).await,
        CallKind::Query => find_phase(shared, &id, times.until).await,
        CallKind::Submit if call.body.len() as u64 > catalog.limits.body => CallAnswer::TooLarge,
        CallKind::Submit => match platform::parse_submission(&call.body) {
            Ok(_) if queue.advice.is_some() && shared.adviser.is_none() => {
                let record = JobRecord::Refused(shared.clock.wall());
                let answer = CallAnswer::Refused(RETRY_AFTER_MAX);
                submit(shared, &id, record, answer, times).await
            }
            Ok(work) => {
                let submitted = Submitted::new(queue, org, shared.clock.wall(), work);
                match load::verdict(shared, &submitted) {
                    Verdict::Accept => {
                        let record = JobRecord::Accepted(Box::new(submitted));
                        submit(shared, &id, record, CallAnswer::Accepted, times).await
                    }
                    Verdict::Late(after) | Verdict::NoWorker(after) => {
                        let record = JobRecord::Refused(shared.clock.wall());
                        submit(shared, &id, record, CallAnswer::Refused(after), times).await
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
pub async fn reject(shared: &Shared, call: &Call, answer: CallAnswer, times: Times) -> CallAnswer {
    let Some(id) = submitted_id(call) else {
        return answer;
    };
    if !shared.refusal_limit.borrow_mut().allow(shared.now()) {
        return CallAnswer::Unknown(retry_after(shared));
    }
    let record = JobRecord::Refused(shared.clock.wall());
    match submit(shared, &id, record, answer, times).await {
        // An earlier attempt was accepted, but this caller is not authorised to see that.
        CallAnswer::Accepted => CallAnswer::Unknown(retry_after(shared)),
        answer => answer,
    }
}

/// Id of the job that a call submits; `None` if it submits none.
pub fn submitted_id(call: &Call) -> Option<JobId> {
    let last = call.path.rsplit('/').next();
    let id = last.and_then(platform::parse_job_id);
    id.filter(|_| call.kind == CallKind::Submit)
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
    times: Times,
) -> CallAnswer {
    let key = keys::job(id);
    let value = match record.encode() {
        Ok(value) => value,
        Err(error) => return CallAnswer::Malformed(error.to_string()),
    };
    let refusal = matches!(record, JobRecord::Refused(_));
    let mut expected = Revision(0);
    while shared.now() < times.until {
        let stored = match refusal {
            true => store_refusal(shared, &key, &value, expected).await,
            false => {
                let now = shared.now();
                let entry = shared.standing.borrow_mut().begin(id, times.received, now);
                let Some(entry) = entry else {
                    return CallAnswer::Unknown(retry_after(shared));
                };
                store_job(shared, id, &value, expected, entry).await
            }
        };
        match stored {
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

async fn store_refusal(
    shared: &Shared,
    key: &str,
    value: &[u8],
    expected: Revision,
) -> Result<TxnOutcome, StoreError> {
    let put = Put {
        key: key.to_string(),
        value: value.to_vec(),
        lease: load::refusal_lease(shared).await?,
    };
    let txn = Txn {
        conditions: vec![(key.to_string(), expected)],
        puts: vec![put],
        removes: Vec::new(),
    };
    shared.caller_store.commit(&txn).await
}

/// Stores an accepted job. The write is conditional on this daemon's own entry, so that none of a
/// daemon that is no longer listed takes effect.
async fn store_job(
    shared: &Shared,
    id: &JobId,
    value: &[u8],
    expected: Revision,
    entry: Revision,
) -> Result<TxnOutcome, StoreError> {
    let key = keys::job(id);
    let own = keys::peer(&shared.instance);
    let put = Put {
        key: key.clone(),
        value: value.to_vec(),
        lease: LeaseId::default(),
    };
    let txn = Txn {
        conditions: vec![(key, expected), (own.clone(), entry)],
        puts: vec![put],
        removes: Vec::new(),
    };
    let stored = shared.caller_store.commit(&txn).await;
    let mut standing = shared.standing.borrow_mut();
    match &stored {
        Ok(TxnOutcome::Done(_)) => {}
        Ok(TxnOutcome::Conflict(items)) => {
            let accepted = |i: &Item| i.key != own && is_accepted(i);
            if !items.iter().any(accepted) {
                standing.undo(id);
            }
            let current = items.iter().find(|i| i.key == own);
            if current.is_none_or(|i| i.revision != entry) {
                standing.unregistered();
                shared.refresh.notify_one();
            }
        }
        Ok(TxnOutcome::LeaseEnded) => standing.undo(id),
        Err(error) if error.has_no_effect() => standing.undo(id),
        Err(_) => {}
    }
    stored
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
