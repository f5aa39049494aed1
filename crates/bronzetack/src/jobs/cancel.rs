//! Cancellation of jobs: sets a flag in their records, on which their coordinators act. A job that does
//! not exist is reported as missing once no earlier submission of it can take effect.

use base::JobId;
use base::Millis;
use base::Revision;
use conf::api::CancelReply;
use entry::ops::ApiError;
use entry::ops::ApiResult;
use plat::Expect;
use plat::Store;
use plat::WriteOutcome;
use sched::JobRecord;

use super::records::decode;
use super::records::encode;
use super::submit::store_refusal;
use super::tombstone::find;
use super::tombstone::Found;
use super::tombstone::Tombstones;
use crate::keys;

/// Most attempts to set the flag of a job whose coordinator writes the record at the same time.
const MAX_ATTEMPTS: usize = 5;

/// Time after which a caller is asked to cancel again.
const RETRY_AFTER: Millis = Millis(500);

/// Flags every job as cancelled. Answers once all flags are durable. `jobs` holds the record of
/// a job if this daemon has it; otherwise the record is read from the store.
pub async fn cancel(
    store: &Store,
    tombstones: &Tombstones,
    jobs: Vec<(JobId, Option<(JobRecord, Revision)>)>,
) -> ApiResult<CancelReply> {
    let mut reply = CancelReply::default();
    for (id, known) in jobs {
        let result = set_flag(store, tombstones, &id, known).await;
        let result = result.map_err(|error| match reply.cancelled.is_empty() {
            true => error,
            // The other jobs are cancelled.
            false => ApiError::unknown(error.refusal.reason).retry_after(RETRY_AFTER),
        });
        match result? {
            FlagResult::Cancelled => reply.cancelled.push(id),
            FlagResult::Ended => reply.ended.push(id),
            FlagResult::Missing => reply.missing.push(id),
        }
    }
    Ok(reply)
}

enum FlagResult {
    Cancelled,
    Ended,
    Missing,
}

async fn set_flag(
    store: &Store,
    tombstones: &Tombstones,
    id: &JobId,
    mut known: Option<(JobRecord, Revision)>,
) -> ApiResult<FlagResult> {
    let key = keys::job(id);
    // Whether an attempt without an answer may have set the flag.
    let mut may_be_set = false;
    for _ in 0..MAX_ATTEMPTS {
        let found = match known {
            Some(found) => Some(found),
            None => tombstones.put(id).await?,
        };
        let Some((mut record, revision)) = found else {
            return Ok(FlagResult::Missing);
        };
        if record.is_done() {
            return Ok(FlagResult::Ended);
        }
        if record.cancel {
            return Ok(FlagResult::Cancelled);
        }
        record.cancel = true;
        let put = store
            .put_if(&key, Expect::At(revision), encode(&record), None)
            .await;
        known = match put {
            Ok(WriteOutcome::Done(_)) => return Ok(FlagResult::Cancelled),
            Ok(WriteOutcome::Conflict(entry)) => {
                entry.and_then(|e| Some((decode(&e.value)?, e.revision)))
            }
            Err(error) if error.may_have_applied() => {
                may_be_set = true;
                match find(store, id).await? {
                    Found::Job(record, revision) => Some((*record, revision)),
                    Found::Nothing | Found::Tombstone(_) => None,
                }
            }
            Err(error) if may_be_set => {
                return Err(ApiError::unknown(error.to_string()).retry_after(error.retry_after()))
            }
            Err(error) => return Err(store_refusal(&error)),
        };
    }
    let why = format!("the record of job {id} keeps changing; cancel it again");
    let error = match may_be_set {
        true => ApiError::unknown(why),
        false => ApiError::not_run(503, why),
    };
    Err(error.retry_after(RETRY_AFTER))
}
