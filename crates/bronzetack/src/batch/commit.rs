//! Stores the coordinator's records.

use base::JobId;
use base::Revision;
use batch::PendingWrite;
use batch::Progress;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::keys;
use crate::batch::lead::Lead;
use crate::batch::shared::Shared;

/// Records in one change: each takes a condition and a write of the store's 32 entries, and one
/// is the lock's condition.
const RECORDS: usize = 15;

/// Stores all records of `pending`; false if they have to be taken anew.
pub async fn store(shared: &Shared, lead: &Lead, pending: &PendingWrite) -> bool {
    for part in pending.records.chunks(RECORDS) {
        match store_part(shared, lead, part).await {
            Ok(true) => shared.heard_store(Ok(())),
            Ok(false) => return false,
            Err(error) => {
                shared.heard_store(Err(&error));
                return false;
            }
        }
    }
    true
}

async fn store_part(
    shared: &Shared,
    lead: &Lead,
    part: &[(JobId, Progress)],
) -> Result<bool, StoreError> {
    let mut txn = Txn {
        conditions: vec![(keys::LOCK.to_string(), lead.lock)],
        ..Txn::default()
    };
    for (id, progress) in part {
        let key = keys::run(id);
        let known = lead.revisions.borrow().get(id).copied().unwrap_or_default();
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
            let mut revisions = lead.revisions.borrow_mut();
            for (id, _) in part {
                revisions.insert(id.clone(), revision);
            }
            Ok(true)
        }
        TxnOutcome::Conflict(items) => {
            let lock = items.iter().find(|i| i.key == keys::LOCK);
            if lock.is_none_or(|i| i.revision != lead.lock) {
                lead.end();
                return Ok(false);
            }
            // An earlier attempt that got no answer has been carried out: only the holder of
            // the lock writes these keys.
            let mut revisions = lead.revisions.borrow_mut();
            for (id, _) in part {
                let key = keys::run(id);
                let item = items.iter().find(|i| i.key == key);
                revisions.insert(id.clone(), item.map_or(Revision(0), |i| i.revision));
            }
            Ok(false)
        }
        TxnOutcome::LeaseEnded => Err(StoreError::Protocol(
            "a lease that was not named".to_string(),
        )),
    }
}
