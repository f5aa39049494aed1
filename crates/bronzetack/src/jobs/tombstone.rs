//! Tombstones: entries that stand in place of a job that does not exist.
//!
//! A submission whose answer was lost may still create its record. Before the answer that a job does not
//! exist or was not accepted, a tombstone is stored under its id, on which such a submission fails. It is
//! bound to a lease, so it is removed again. A later submission replaces it.

use std::cell::Cell;

use base::Clock;
use base::JobId;
use base::Millis;
use base::Revision;
use bytes::Bytes;
use entry::ops::ApiError;
use entry::ops::ApiResult;
use plat::Expect;
use plat::LeaseId;
use plat::Priority;
use plat::Store;
use plat::StoreError;
use plat::WriteOutcome;
use sched::JobRecord;
use serde::Deserialize;
use serde::Serialize;

use super::records::decode;
use crate::keys;

/// Length of the lease to which a tombstone is bound. A submission made before it can no longer
/// take effect after this time.
const LEASE: Millis = Millis(60_000);

/// New tombstones are bound to a lease for its length divided by this; then another is requested.
const REUSE_DIVISOR: u64 = 3;

/// Most attempts to store a tombstone while the key keeps changing.
const MAX_ATTEMPTS: usize = 5;

/// Time after which a caller is asked to try again.
const RETRY_AFTER: Millis = Millis(500);

/// What is stored under a job's id.
pub enum Found {
    /// Nothing.
    Nothing,
    /// A job's record and its revision.
    Job(Box<JobRecord>, Revision),
    /// A tombstone and its revision.
    Tombstone(Revision),
}

/// Stores tombstones.
pub struct Tombstones {
    /// Its calls leave the store's rate to those of the coordinator.
    store: Store,
    clock: Clock,
    /// Lease to which new tombstones are bound, and the time at which it was requested.
    lease: Cell<Option<(LeaseId, Millis)>>,
}

impl Tombstones {
    /// Stores tombstones through `store`.
    pub fn new(store: &Store, clock: Clock) -> Tombstones {
        Tombstones {
            store: store.with_priority(Priority::Rest),
            clock,
            lease: Cell::new(None),
        }
    }

    /// Makes sure that no earlier submission of a job takes effect. Returns the job's record and its
    /// revision if one already has. Fails if that is not known.
    pub async fn put(&self, id: &JobId) -> ApiResult<Option<(JobRecord, Revision)>> {
        let key = keys::job(id);
        for _ in 0..MAX_ATTEMPTS {
            let expect = match find(&self.store, id).await? {
                Found::Job(record, revision) => return Ok(Some((*record, revision))),
                // A submission may have found this one, so it is replaced.
                Found::Tombstone(revision) => Expect::At(revision),
                Found::Nothing => Expect::Absent,
            };
            let lease = self.lease().await.map_err(|e| unknown(&e))?;
            let put = self.store.put_resolved(&key, expect, encode(), Some(lease));
            match put.await {
                Ok(WriteOutcome::Done(_)) => return Ok(None),
                Ok(WriteOutcome::Conflict(_)) => {}
                Err(error) => {
                    // The lease may have ended.
                    self.lease.set(None);
                    return Err(unknown(&error));
                }
            }
        }
        let why = format!("the record of job {id} keeps changing; try again");
        Err(ApiError::unknown(why).retry_after(RETRY_AFTER))
    }

    async fn lease(&self) -> Result<LeaseId, StoreError> {
        let now = self.clock.now();
        let reusable = |at: Millis| now.since(at) < Millis(LEASE.0 / REUSE_DIVISOR);
        if let Some((lease, _)) = self.lease.get().filter(|(_, at)| reusable(*at)) {
            return Ok(lease);
        }
        let lease = self.store.grant_lease(LEASE).await?;
        self.lease.set(Some((lease, now)));
        Ok(lease)
    }
}

/// Reads what is stored under a job's id.
pub async fn find(store: &Store, id: &JobId) -> ApiResult<Found> {
    let entry = store.get(&keys::job(id)).await.map_err(|e| unknown(&e))?;
    let Some(entry) = entry else {
        return Ok(Found::Nothing);
    };
    if is_tombstone(&entry.value) {
        return Ok(Found::Tombstone(entry.revision));
    }
    match decode(&entry.value) {
        Some(record) => Ok(Found::Job(Box::new(record), entry.revision)),
        None => Err(ApiError::unknown(format!(
            "the record of job {id} is of a newer version; ask another daemon"
        ))),
    }
}

/// The answer to a call about a job of which a submission may still take effect, as the store has
/// failed.
pub fn unknown(error: &StoreError) -> ApiError {
    ApiError::unknown(error.to_string()).retry_after(error.retry_after())
}

/// Stored form of a tombstone.
#[derive(Deserialize, Serialize)]
struct TombstoneWire {
    /// Random id that distinguishes the tombstones under one key.
    tombstone: String,
}

/// Whether the value of a store entry is a tombstone.
pub fn is_tombstone(value: &[u8]) -> bool {
    serde_json::from_slice::<TombstoneWire>(value).is_ok()
}

fn encode() -> Bytes {
    let wire = TombstoneWire {
        tombstone: uuid::Uuid::new_v4().to_string(),
    };
    serde_json::to_vec(&wire).unwrap_or_default().into()
}
