//! Writes the coordinator's records of jobs to the store.

use std::fmt::Display;

use base::JobId;
use base::Revision;
use base::Set;
use batch::PendingWrite;
use batch::Progress;
use batch::RecordError;
use futures_util::stream;
use futures_util::StreamExt;
use obs::Event;
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

/// A job and its encoded record.
type Record<'a> = (&'a JobId, Vec<u8>);

/// Stores the records of `pending`. Returns the jobs whose records the store refuses for themselves,
/// or `None` if others were not stored and all must be queued again.
pub async fn store(
    shared: &Shared,
    lead: &Leadership,
    pending: &PendingWrite,
) -> Option<Set<JobId>> {
    let mut refused = Set::default();
    let mut records = Vec::with_capacity(pending.records.len());
    for (id, progress) in &pending.records {
        match encode(shared, lead, id, progress) {
            Ok(value) => records.push((id, value)),
            Err(error) => refuse(shared, id, &error, &mut refused),
        }
    }
    let parts = parts(records, shared.settings.store.value);
    let results = stream::iter(parts.iter().map(|part| store_part(shared, lead, part)));
    let mut results = results.buffered(PARALLEL);
    let mut all = true;
    let mut single: Vec<&[Record]> = Vec::new();
    for part in &parts {
        match results.next().await? {
            Err(StoreError::Refused(_)) if part.len() > 1 => single.extend(part.chunks(1)),
            result => all &= settle(shared, part, result, &mut refused),
        }
    }
    // Of several records that are refused together, each is stored by itself.
    let results = stream::iter(single.iter().map(|part| store_part(shared, lead, part)));
    let mut results = results.buffered(PARALLEL);
    for part in &single {
        let result = results.next().await?;
        all &= settle(shared, part, result, &mut refused);
    }
    all.then_some(refused)
}

/// Takes note of what became of a transaction. Returns false if its records must be queued again.
fn settle(
    shared: &Shared,
    part: &[Record<'_>],
    result: Result<bool, StoreError>,
    refused: &mut Set<JobId>,
) -> bool {
    match (result, part) {
        (Ok(stored), _) => {
            if stored {
                shared.record_store_result(Ok(()));
            }
            stored
        }
        (Err(error @ StoreError::Refused(_)), [(id, _)]) => {
            refuse(shared, id, &error, refused);
            true
        }
        (Err(error), _) => {
            shared.record_store_result(Err(&error));
            false
        }
    }
}

/// Adds a job to those whose records are refused.
fn refuse(shared: &Shared, id: &JobId, error: &dyn Display, refused: &mut Set<JobId>) {
    if let Some(suppressed) = shared.record_log.admit(shared.now()) {
        let fields: &[(&'static str, &dyn Display)] =
            &[("job", id), ("error", error), ("more", &suppressed)];
        obs::record(&shared.log, Event::RecordRefused, fields);
    }
    refused.insert(id.clone());
}

/// Encodes a record within the store's limit on values.
fn encode(
    shared: &Shared,
    lead: &Leadership,
    id: &JobId,
    progress: &Progress,
) -> Result<Vec<u8>, RecordError> {
    let gangs = || lead.scheduler.borrow().gang_steps(id);
    let encoded = progress.encode_within(shared.settings.store.value, gangs)?;
    if encoded.left_out == 0 {
        return Ok(encoded.value);
    }
    shared
        .checkpoints_left_out
        .add(&[], encoded.left_out as u64);
    if let Some(suppressed) = shared.record_log.admit(shared.now()) {
        let fields: &[(&'static str, &dyn Display)] = &[
            ("job", id),
            ("left_out", &encoded.left_out),
            ("size", &encoded.value.len()),
            ("more", &suppressed),
        ];
        obs::record(&shared.log, Event::RecordShortened, fields);
    }
    Ok(encoded.value)
}

/// Divides records into transactions whose values take at most `most` bytes together, or one record.
fn parts(records: Vec<Record<'_>>, most: usize) -> Vec<Vec<Record<'_>>> {
    let mut parts: Vec<Vec<Record>> = Vec::new();
    let mut size = 0;
    for record in records {
        size += record.1.len();
        match parts.last_mut() {
            Some(part) if part.len() < MAX_RECORDS && size <= most => part.push(record),
            _ => {
                size = record.1.len();
                parts.push(vec![record]);
            }
        }
    }
    parts
}

async fn store_part(
    shared: &Shared,
    lead: &Leadership,
    part: &[Record<'_>],
) -> Result<bool, StoreError> {
    let mut txn = Txn {
        conditions: vec![(keys::LOCK.to_string(), lead.lock_revision)],
        ..Txn::default()
    };
    for (id, value) in part {
        let key = keys::run(id);
        let known = lead
            .run_revisions
            .borrow()
            .get(id)
            .copied()
            .unwrap_or_default();
        txn.conditions.push((key.clone(), known));
        txn.puts.push(Put {
            key,
            value: value.clone(),
            lease: Default::default(),
        });
    }
    match shared.store.commit(&txn).await? {
        TxnOutcome::Done(revision) => {
            lead.note_write(revision);
            let mut revisions = lead.run_revisions.borrow_mut();
            for (id, _) in part {
                revisions.insert((*id).clone(), revision);
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
                revisions.insert((*id).clone(), item.map_or(Revision(0), |i| i.revision));
            }
            Ok(false)
        }
        TxnOutcome::LeaseEnded => Err(StoreError::Protocol(
            "the store reported an ended lease, but the transaction named none".to_string(),
        )),
    }
}
