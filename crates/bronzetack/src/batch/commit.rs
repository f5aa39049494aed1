//! Writes the coordinator's records of jobs to the store.

use base::JobId;
use base::Revision;
use batch::PendingWrite;
use batch::Progress;
use futures_util::stream;
use futures_util::StreamExt;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::keys;
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Largest number of records in one transaction. The store takes 32 entries: each record needs a
/// condition and a write, and one entry is the condition on the lock.
const MAX_RECORDS: usize = 15;

/// Most transactions in flight at a time. One after the other, a thousand records would take as long
/// as the state that they are based on stays valid.
const PARALLEL: usize = 6;

/// Stores all records of `pending`. Returns false if not all were stored and they must be queued
/// again.
pub async fn store(shared: &Shared, lead: &Leadership, pending: &PendingWrite) -> bool {
    let parts = pending.records.chunks(MAX_RECORDS);
    let results = stream::iter(parts.map(|part| store_part(shared, lead, part)));
    let mut results = results.buffer_unordered(PARALLEL);
    let mut all = true;
    while let Some(result) = results.next().await {
        match result {
            Ok(true) => shared.record_store_result(Ok(())),
            Ok(false) => all = false,
            Err(error) => {
                shared.record_store_result(Err(&error));
                all = false;
            }
        }
    }
    all
}

async fn store_part(
    shared: &Shared,
    lead: &Leadership,
    part: &[(JobId, Progress)],
) -> Result<bool, StoreError> {
    let mut txn = Txn {
        conditions: vec![(keys::LOCK.to_string(), lead.lock_revision)],
        ..Txn::default()
    };
    for (id, progress) in part {
        let key = keys::run(id);
        let known = lead
            .run_revisions
            .borrow()
            .get(id)
            .copied()
            .unwrap_or_default();
        let value = progress
            .encode()
            .map_err(|e| StoreError::Protocol(e.to_string()))?;
        txn.conditions.push((key.clone(), known));
        txn.puts.push(Put {
            key,
            value,
            lease: Default::default(),
        });
    }
    match shared.store.commit(&txn).await? {
        TxnOutcome::Done(revision) => {
            let mut revisions = lead.run_revisions.borrow_mut();
            for (id, _) in part {
                revisions.insert(id.clone(), revision);
            }
            Ok(true)
        }
        TxnOutcome::Conflict(items) => {
            let lock = items.iter().find(|i| i.key == keys::LOCK);
            if lock.is_none_or(|i| i.revision != lead.lock_revision) {
                lead.end();
                return Ok(false);
            }
            // Only the holder of the lock writes these keys, so an earlier write without a
            // response has taken effect.
            let mut revisions = lead.run_revisions.borrow_mut();
            for (id, _) in part {
                let key = keys::run(id);
                let item = items.iter().find(|i| i.key == key);
                revisions.insert(id.clone(), item.map_or(Revision(0), |i| i.revision));
            }
            Ok(false)
        }
        TxnOutcome::LeaseEnded => Err(StoreError::Protocol(
            "the store reported an ended lease, but the transaction named none".to_string(),
        )),
    }
}
