//! Keeps what the coordinator knows about the speeds of workers in the store, for the next one.
//!
//! Nothing waits for it: it is read beside the other records at a take-over and written now and then
//! by a task of its own. A record that is lost, old or malformed only costs the learning again.

use std::rc::Rc;

use base::Millis;
use batch::speed::SpeedRecord;
use obs::Event;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::keys;
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Time between two checks whether there is more to record, and the shortest between two writes: a
/// span for any site and one for each worker.
const CHECK_INTERVAL: Millis = Millis(500);
const WRITE_INTERVAL: Millis = Millis(5_000);
const WRITE_MICROS: u64 = 2_000;

/// Share of the workers, one in so many, that must have become known since the last write for the next
/// one to come early.
const EARLY_SHARE: usize = 4;

/// Reads the record of an earlier coordinator. A failure is logged and costs the learning again.
pub async fn recall(shared: Rc<Shared>, lead: Rc<Leadership>) {
    let item = match shared.store.get(keys::SPEEDS).await {
        Ok(item) => item,
        Err(error) => return shared.record_store_result(Err(&error)),
    };
    let Some(value) = item.and_then(|i| i.value) else {
        return;
    };
    match SpeedRecord::decode(&value, shared.clock.wall()) {
        Ok(record) if !lead.ended.get() => {
            let now = shared.now();
            lead.scheduler.borrow_mut().recall_speeds(record, now);
        }
        Ok(_) => {}
        Err(error) => {
            let fields: &[(&'static str, &dyn std::fmt::Display)] =
                &[("key", &keys::SPEEDS), ("error", &error)];
            obs::record(&shared.log, Event::InputRefused, fields);
        }
    }
}

/// Records what is known until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Leadership>) {
    let mut written: Option<(Millis, usize)> = None;
    while !lead.ended.get() {
        shared.sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        let record = {
            let scheduler = lead.scheduler.borrow();
            let count = scheduler.worker_domains().count();
            let interval = WRITE_INTERVAL.max(Millis(count as u64 * WRITE_MICROS / 1_000));
            let known = scheduler.known_speeds();
            let due = written.is_none_or(|(at, before)| {
                let many = known.saturating_sub(before) * EARLY_SHARE >= count;
                many || now.since(at) >= interval
            });
            due.then(|| scheduler.speed_record(shared.clock.wall()))
        };
        let Some(record) = record.flatten() else {
            continue;
        };
        match write(&shared, &lead, &record).await {
            Ok(()) => written = Some((now, record.workers.len())),
            Err(error) => shared.record_store_result(Err(&error)),
        }
    }
}

async fn write(shared: &Shared, lead: &Leadership, record: &SpeedRecord) -> Result<(), StoreError> {
    let value = record
        .encode()
        .map_err(|e| StoreError::Protocol(e.to_string()))?;
    let txn = Txn {
        conditions: vec![(keys::LOCK.to_string(), lead.lock_revision)],
        puts: vec![Put {
            key: keys::SPEEDS.to_string(),
            value,
            lease: Default::default(),
        }],
        removes: Vec::new(),
    };
    // A conflict means that the lock is lost, which ends the leadership elsewhere.
    let outcome = shared.store.commit(&txn).await?;
    if let TxnOutcome::Done(_) = outcome {
        shared.record_store_result(Ok(()));
    }
    Ok(())
}
