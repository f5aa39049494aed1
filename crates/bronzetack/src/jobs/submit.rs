//! Creation of job records. A job is accepted only once its record is durable in the platform.

use base::JobSpec;
use conf::api::JobInfo;
use entry::ops::ApiError;
use entry::ops::ApiResult;
use entry::ops::Submitted;
use plat::Expect;
use plat::Store;
use plat::StoreError;
use plat::WriteOutcome;
use sched::JobRecord;

use super::info::job_info;
use super::records::decode;
use super::records::encode;
use super::tombstone::find;
use super::tombstone::is_tombstone;
use super::tombstone::unknown;
use super::tombstone::Found;
use super::tombstone::Tombstones;
use crate::keys;

/// Creates the record of a job, or finds the record created earlier under the same id. Returns
/// the revision only of a record that this call created.
pub async fn create_record(
    store: Store,
    record: JobRecord,
) -> ApiResult<(Submitted, Option<base::Revision>)> {
    let id = &record.spec.id;
    let expect = match find(&store, id).await? {
        Found::Job(known, _) => return existing_job(&record.spec, &known).map(|job| (job, None)),
        Found::Tombstone(revision) => Expect::At(revision),
        Found::Nothing => Expect::Absent,
    };
    let key = keys::job(id);
    let put = store.put_resolved(&key, expect, encode(&record), None);
    match put.await {
        Ok(WriteOutcome::Done(revision)) => Ok((created_job(&record), Some(revision))),
        Ok(WriteOutcome::Conflict(Some(entry))) if is_tombstone(&entry.value) => {
            let why = "the job was cancelled meanwhile; submit it again";
            Err(ApiError::not_run(503, why))
        }
        Ok(WriteOutcome::Conflict(Some(entry))) => match decode(&entry.value) {
            Some(known) => existing_job(&record.spec, &known).map(|job| (job, None)),
            None => Err(ApiError::not_run(
                409,
                "the job's record is of a newer version",
            )),
        },
        Ok(WriteOutcome::Conflict(None)) => {
            let why = "the job was created and removed meanwhile; submit it again";
            Err(ApiError::not_run(503, why))
        }
        Err(error) => Err(unknown(&error)),
    }
}

/// Refuses a job, unless an earlier submission of it has taken effect.
pub async fn refuse(
    tombstones: &Tombstones,
    spec: &JobSpec,
    refusal: ApiError,
) -> ApiResult<Submitted> {
    match tombstones.put(&spec.id).await? {
        Some((known, _)) => existing_job(spec, &known),
        None => Err(refusal),
    }
}

fn created_job(record: &JobRecord) -> Submitted {
    Submitted {
        info: job_info(record),
        created: true,
    }
}

/// Answers a resubmission with the job created earlier; a different job under the same id is
/// refused.
fn existing_job(spec: &JobSpec, known: &JobRecord) -> ApiResult<Submitted> {
    if known.spec != *spec {
        let why = format!("job {} was submitted with other contents", spec.id);
        return Err(ApiError::not_run(409, why));
    }
    let info: JobInfo = job_info(known);
    Ok(Submitted {
        info,
        created: false,
    })
}

/// The answer to an API call whose access to the store failed.
pub fn store_refusal(error: &StoreError) -> ApiError {
    let refused = match error {
        StoreError::OutcomeUnknown(..) => ApiError::unknown(error.to_string()),
        StoreError::NotSent(..) | StoreError::Refused(..) => {
            ApiError::not_run(503, error.to_string())
        }
    };
    refused.retry_after(error.retry_after())
}
