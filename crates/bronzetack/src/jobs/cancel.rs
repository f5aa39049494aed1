//! Cancellation of jobs by a mark in their records.

use base::JobId;
use base::Revision;
use conf::api::CancelReply;
use entry::ops::ApiResult;
use plat::Expect;
use plat::Store;
use plat::WriteOutcome;
use sched::JobRecord;

use super::records::decode;
use super::records::encode;
use super::submit::refused;
use crate::keys;

/// Attempts to set the mark while coordinators write the record too.
const TRIES: usize = 5;

/// Marks every job as cancelled. Answers once all marks are durable.
pub async fn cancel(
    store: &Store,
    jobs: Vec<(JobId, Option<(JobRecord, Revision)>)>,
) -> ApiResult<CancelReply> {
    let mut reply = CancelReply::default();
    for (id, known) in jobs {
        match mark(store, &id, known).await? {
            Mark::Cancelled => reply.cancelled.push(id),
            Mark::Ended => reply.ended.push(id),
            Mark::Missing => reply.missing.push(id),
        }
    }
    Ok(reply)
}

enum Mark {
    Cancelled,
    Ended,
    Missing,
}

async fn mark(store: &Store, id: &JobId, known: Option<(JobRecord, Revision)>) -> ApiResult<Mark> {
    let key = keys::job(id);
    let mut known = match known {
        Some(known) => Some(known),
        None => read(store, &key).await?,
    };
    for _ in 0..TRIES {
        let Some((mut record, revision)) = known else {
            return Ok(Mark::Missing);
        };
        if record.is_done() {
            return Ok(Mark::Ended);
        }
        if record.cancel {
            return Ok(Mark::Cancelled);
        }
        record.cancel = true;
        let put = store
            .put_if(&key, Expect::At(revision), encode(&record), None)
            .await;
        known = match put {
            Ok(WriteOutcome::Done(_)) => return Ok(Mark::Cancelled),
            Ok(WriteOutcome::Conflict(entry)) => {
                entry.and_then(|e| Some((decode(&e.value)?, e.revision)))
            }
            Err(error) if error.may_have_applied() => read(store, &key).await?,
            Err(error) => return Err(refused(&error)),
        };
    }
    let why = format!("the record of job {id} keeps changing; cancel it again");
    Err(entry::ops::ApiError::not_run(503, why).retry_after(base::Millis(500)))
}

async fn read(store: &Store, key: &str) -> ApiResult<Option<(JobRecord, Revision)>> {
    let entry = store.get(key).await.map_err(|e| refused(&e))?;
    Ok(entry.and_then(|e| Some((decode(&e.value)?, e.revision))))
}
