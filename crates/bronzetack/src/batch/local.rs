//! Answers calls from the records in the platform's store.

use std::cell::RefCell;
use std::fmt::Display;
use std::future::Future;
use std::rc::Rc;

use base::JobId;
use base::Millis;
use base::OrgId;
use base::Revision;
use batch::Catalog;
use batch::JobPhase;
use batch::JobRecord;
use batch::Load;
use batch::Progress;
use batch::Queue;
use batch::ReadLimit;
use batch::Submission;
use batch::Submitted;
use batch::Verdict;
use obs::Event;
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
use crate::batch::restore::UNREADABLE;
use crate::batch::shared::Shared;
use crate::batch::shared::MAX_LOOK_UPS;

/// Time after which a caller is asked to retry if its call could not be served.
pub const RETRY_AFTER: Millis = Millis(1_000);

/// Delay between two attempts at the store.
const STORE_RETRY_DELAY: Millis = Millis(80);

/// Largest part of a submission's memory while it is stored, as a multiple of its record: the record
/// itself, the copy to write, its text form, and the buffer of the connection.
const STORING_COPIES: usize = 8;

/// The same for its body, which is kept to be passed on.
const BODY_COPIES: usize = 2;

/// Longest time after which a caller is asked to retry.
const RETRY_AFTER_MAX: Millis = Millis(5_000);

/// Time after which a caller may retry a job for which the coordinator has no memory. It ends jobs
/// within some seconds.
const FULL_RETRY_AFTER: Millis = Millis(5_000);

/// Time after which a caller may retry a job that its organisation's limit never lets run. Only a
/// raised limit changes the answer.
const LIMIT_RETRY_AFTER: Millis = Millis(30_000);

/// Time after which a caller is asked to retry while the store does not answer. It grows with the
/// outage, since a long outage is likely to last and callers retry only a few times.
pub fn retry_after(shared: &Shared) -> Millis {
    shared.store_outage().clamp(RETRY_AFTER, RETRY_AFTER_MAX)
}

/// Answers a call from the store by this configuration. The store is tried until `until`.
pub async fn answer_locally(
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
            Ok(work) => {
                let (record, answer) = decide(shared, catalog, queue, org, work);
                submit(shared, &id, record, answer, call, until).await
            }
            Err(why) => CallAnswer::Malformed(why),
        },
    }
}

/// Decides on a job: what is stored under its id, and the answer once that is done.
fn decide(
    shared: &Rc<Shared>,
    catalog: &Catalog,
    queue: &Queue,
    org: Option<OrgId>,
    work: Submission,
) -> (JobRecord, CallAnswer) {
    let at = shared.clock.wall();
    let refused = |answer| (JobRecord::Refused(at), answer);
    if queue.advice.is_some() && shared.adviser.is_none() {
        return refused(CallAnswer::Refused(RETRY_AFTER_MAX));
    }
    let submitted = Submitted::new(queue, org, at, work);
    if let Some(why) = catalog.over_limit(&submitted) {
        return refused(CallAnswer::OverLimit(why, LIMIT_RETRY_AFTER));
    }
    match load::verdict(shared, &submitted) {
        Verdict::Accept if load::take_room(shared, &submitted) => {
            let record = JobRecord::Accepted(Box::new(submitted));
            (record, CallAnswer::Accepted)
        }
        Verdict::Accept => refused(CallAnswer::Refused(FULL_RETRY_AFTER)),
        Verdict::Late(after) | Verdict::NoWorker(after) => refused(CallAnswer::Refused(after)),
    }
}

/// Rejects a call that the configuration does not allow. An earlier attempt at the same submission
/// may have been valid under another configuration and may still be stored late, so a refusal is
/// recorded before the answer.
pub async fn reject(shared: &Shared, call: &Call, answer: CallAnswer, until: Millis) -> CallAnswer {
    let id = call
        .path
        .rsplit('/')
        .next()
        .and_then(platform::parse_job_id);
    let Some(id) = id.filter(|_| call.kind == CallKind::Submit) else {
        return answer;
    };
    if !load::may_store_refusal(shared) {
        return CallAnswer::Unknown(retry_after(shared));
    }
    let record = JobRecord::Refused(shared.clock.wall());
    match submit(shared, &id, record, answer, call, until).await {
        // An earlier attempt was accepted, but this caller is not authorised to see that.
        CallAnswer::Accepted => CallAnswer::Unknown(retry_after(shared)),
        answer => answer,
    }
}

/// Counts the jobs of a queue that wait, by what the coordinator knows or has published.
async fn queue_length(shared: &Rc<Shared>, queue: &Queue) -> CallAnswer {
    if let Some(lead) = shared.current_leadership() {
        let counts = lead.scheduler.borrow().waiting();
        return CallAnswer::Waiting(counts.get(&queue.name).copied().unwrap_or(0));
    }
    // A daemon that stops watches the lock no longer.
    let is_counted = |load: &Load| {
        let lock = shared.lock.borrow();
        let is_counting = shared.stopping.get() || lock.is_counting(load.epoch, shared.now());
        load.room.is_some() && is_counting
    };
    match load::read(shared).await {
        Ok((load, _)) if is_counted(&load) => {
            CallAnswer::Waiting(load.waiting.get(&queue.name).copied().unwrap_or(0))
        }
        // Nobody counts them now.
        Ok(_) => CallAnswer::Unknown(retry_after(shared)),
        Err(error) => {
            shared.record_store_result(Err(&error));
            CallAnswer::Unknown(retry_after(shared))
        }
    }
}

/// Stores a job or its refusal, and returns `answer` once the record is known to be stored. A write
/// without a response may still take effect, but it uses the same key, so a later attempt finds it
/// by the job's id. A refusal is stored anew each time, so that no earlier attempt, whichever refusal
/// it has found, takes effect later. A call is late if a later one of the same caller may have been
/// answered already.
async fn submit(
    shared: &Shared,
    id: &JobId,
    record: JobRecord,
    answer: CallAnswer,
    call: &Call,
    until: Millis,
) -> CallAnswer {
    let key = keys::job(id);
    let value = match record.encode() {
        Ok(value) => value,
        Err(error) => return CallAnswer::Malformed(error.to_string()),
    };
    let refusal = matches!(record, JobRecord::Refused(_));
    drop(record);
    let memory = value.len() * STORING_COPIES + call.body.len() * BODY_COPIES;
    let Some(_storing) = shared.storing.take(memory) else {
        send_away(shared);
        return CallAnswer::Unknown(RETRY_AFTER);
    };
    let mut expected = Revision(0);
    let mut is_late = call.late;
    while shared.now() < until {
        let stored = store_job(shared, &key, &value, expected, refusal).await;
        // A refusal that the first try finds is from an earlier call, and the caller has come again. One
        // that a later try finds may have answered a later submission or a cancellation.
        let may_replace = refusal || !std::mem::replace(&mut is_late, true);
        match stored {
            Ok(TxnOutcome::Done(_)) => {
                shared.record_store_result(Ok(()));
                return answer;
            }
            Ok(TxnOutcome::Conflict(items)) => {
                shared.record_store_result(Ok(()));
                match items.into_iter().find(|i| i.key == key) {
                    Some(item) if is_accepted(&item) => return CallAnswer::Accepted,
                    Some(item) if may_replace && item.revision != expected => {
                        expected = item.revision;
                    }
                    Some(_) => break,
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

/// Counts and logs a submission for which there is no memory. An earlier try of it may have been
/// accepted, so the answer cannot say that it never runs.
fn send_away(shared: &Shared) {
    shared.storing_busy.add(&[], 1);
    if let Some(suppressed) = shared.storing_log.admit(shared.now()) {
        let fields: &[(&'static str, &dyn std::fmt::Display)] =
            &[("used", &shared.storing.used()), ("more", &suppressed)];
        obs::record(&shared.log, Event::StoringBusy, fields);
    }
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

/// What is stored of a submission.
enum Stored {
    Accepted,
    Refused,
    /// It cannot be read, so it may be an accepted job.
    Unreadable(String),
}

fn stored(item: &Item) -> Stored {
    match item.value.as_deref().map(JobRecord::decode) {
        Some(Ok(JobRecord::Accepted(_))) => Stored::Accepted,
        Some(Ok(JobRecord::Refused(_))) => Stored::Refused,
        Some(Err(error)) => Stored::Unreadable(error.to_string()),
        None => Stored::Unreadable(UNREADABLE.to_string()),
    }
}

fn is_accepted(item: &Item) -> bool {
    matches!(stored(item), Stored::Accepted)
}

/// Looks a job up. While the store refuses reads because of its limit, a phase that may be some seconds
/// old is an answer; that there is no job is one only if it is current.
async fn find_phase(shared: &Shared, id: &JobId, until: Millis) -> CallAnswer {
    let answer = retry(shared, until, || async {
        // Held for an attempt only: one that waits before the next must not hold the others up.
        let wait = until.since(shared.now()).duration();
        let Ok(Ok(_permit)) = actix_rt::time::timeout(wait, shared.look_ups.acquire()).await else {
            return Ok(None);
        };
        if let Some(answer) = read_current(shared, id).await? {
            return Ok(Some(answer));
        }
        match read_records(shared, id, true).await? {
            CallAnswer::NoJob => read_current(shared, id).await,
            found => Ok(Some(found)),
        }
    });
    answer.await
}

/// Reads a job's phase by reads that count toward the store's limit, as [`within_limit`] does.
async fn read_current(shared: &Shared, id: &JobId) -> Result<Option<CallAnswer>, StoreError> {
    within_limit(shared, read_records(shared, id, false)).await
}

/// Reads what counts toward the store's limit. Returns `None` if the store refuses that, or has refused
/// others lately.
async fn within_limit<T>(
    shared: &Shared,
    read: impl Future<Output = Result<T, StoreError>>,
) -> Result<Option<T>, StoreError> {
    if !shared.read_limit.borrow_mut().begin(shared.now()) {
        return Ok(None);
    }
    let _reading = Reading(&shared.read_limit);
    let result = read.await;
    let limit = &shared.read_limit;
    match result {
        Ok(found) => {
            limit.borrow_mut().answer(shared.now(), MAX_LOOK_UPS);
            Ok(Some(found))
        }
        Err(error) if error.is_rate_limit() => {
            limit.borrow_mut().refuse(shared.now());
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// A read in progress, which also ends when the time of its call is up.
struct Reading<'a>(&'a RefCell<ReadLimit>);

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().end();
    }
}

async fn read_records(shared: &Shared, id: &JobId, stale: bool) -> Result<CallAnswer, StoreError> {
    let store = &shared.caller_store;
    let read = async |key: String| match stale {
        true => store.get_stale(&key).await,
        false => store.get(&key).await,
    };
    let unreadable = |key: &str, why: &dyn Display| {
        shared.refuse(key, why);
        CallAnswer::Unknown(retry_after(shared))
    };
    if let Some(run) = read(keys::run(id)).await? {
        return Ok(match run.value.as_deref().map(Progress::decode) {
            Some(Ok(progress)) => CallAnswer::State(progress.phase),
            Some(Err(error)) => unreadable(&run.key, &error),
            None => unreadable(&run.key, &UNREADABLE),
        });
    }
    let Some(job) = read(keys::job(id)).await? else {
        return Ok(CallAnswer::NoJob);
    };
    Ok(match stored(&job) {
        Stored::Accepted => CallAnswer::State(JobPhase::Queued),
        Stored::Refused => CallAnswer::NoJob,
        Stored::Unreadable(why) => unreadable(&job.key, &why),
    })
}

/// Cancels a job, also one whose submission cannot be read: the coordinator may know it. If there is none, a refusal is stored before the answer says so, as an earlier
/// submission without an answer could still take effect. A later submission replaces the refusal.
async fn cancel(shared: &Shared, id: &JobId, until: Millis) -> CallAnswer {
    let answer = retry(shared, until, || async {
        let Some(found) = read_submission(shared, id).await? else {
            return Ok(None);
        };
        match found {
            Some(job) if !matches!(stored(&job), Stored::Refused) => {
                mark_cancelled(shared, id, job.revision).await
            }
            found => refuse_unknown(shared, id, found.map(|i| i.revision), until).await,
        }
    });
    answer.await
}

/// Reads a submission. While the store refuses reads because of its limit, an accepted one may be some
/// seconds old; returns `None` if none is found so.
async fn read_submission(shared: &Shared, id: &JobId) -> Result<Option<Option<Item>>, StoreError> {
    let (store, key) = (&shared.caller_store, keys::job(id));
    if let Some(found) = within_limit(shared, store.get(&key)).await? {
        return Ok(Some(found));
    }
    let found = store.get_stale(&key).await?;
    Ok(found.filter(is_accepted).map(Some))
}

/// Stores the cancellation of an accepted job; `None` if the job's record has changed.
async fn mark_cancelled(
    shared: &Shared,
    id: &JobId,
    accepted: Revision,
) -> Result<Option<CallAnswer>, StoreError> {
    let txn = Txn {
        conditions: vec![(keys::job(id), accepted)],
        puts: vec![Put {
            key: keys::cancel(id),
            value: Vec::new(),
            lease: Default::default(),
        }],
        removes: Vec::new(),
    };
    let outcome = shared.caller_store.commit(&txn).await?;
    Ok(matches!(outcome, TxnOutcome::Done(_)).then_some(CallAnswer::Cancelled))
}

/// Stores a refusal in place of the record at revision `found`, if any; `None` if that has changed.
async fn refuse_unknown(
    shared: &Shared,
    id: &JobId,
    found: Option<Revision>,
    until: Millis,
) -> Result<Option<CallAnswer>, StoreError> {
    while !load::may_store_refusal(shared) {
        if shared.now() >= until {
            return Ok(None);
        }
        shared.sleep(STORE_RETRY_DELAY).await;
    }
    let value = JobRecord::Refused(shared.clock.wall()).encode();
    let value = value.map_err(|e| StoreError::Protocol(e.to_string()))?;
    let expected = found.unwrap_or_default();
    match store_job(shared, &keys::job(id), &value, expected, true).await? {
        TxnOutcome::Done(_) => return Ok(Some(CallAnswer::NoJob)),
        TxnOutcome::Conflict(_) => {}
        TxnOutcome::LeaseEnded => load::reset_refusal_lease(shared),
    }
    Ok(None)
}

/// Repeats an attempt, each time that it fails or has no answer yet, until `until`.
async fn retry<F, R>(shared: &Shared, until: Millis, attempt: F) -> CallAnswer
where
    F: Fn() -> R,
    R: Future<Output = Result<Option<CallAnswer>, StoreError>>,
{
    while shared.now() < until {
        let result = attempt().await;
        shared.record_store_result(result.as_ref().map(|_| ()));
        if let Ok(Some(answer)) = result {
            return answer;
        }
        shared.sleep(STORE_RETRY_DELAY).await;
    }
    CallAnswer::Unknown(retry_after(shared))
}
