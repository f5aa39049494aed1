//! Ends of runs that a coordinator has seen and not recorded when it loses the lock.
//!
//! During an outage of the store the lock expires, and workers may leave whose ended runs only the
//! coordinator knows. It stores these ends once the store is back. They are facts, so their record
//! needs no lock; the next coordinator applies them to the runs that it has inherited.

use base::Millis;
use batch::SeenEnd;
use obs::Event;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;
use serde::Serialize;

use crate::batch::keys;
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Length of the lease to which the ends are bound. The next coordinator reads them within seconds.
const ENDS_LEASE: Millis = Millis(60_000);

/// Length of the longest header of an encoded list.
const LIST_HEADER: usize = 9;

/// Time for which storing the ends is tried, and the delay between two attempts.
const STORE_TIME: Millis = Millis(20_000);
const RETRY_DELAY: Millis = Millis(200);

/// Stores the ends that the leadership, which is over, has seen and not recorded.
pub async fn hand_on(shared: &Shared, lead: &Leadership) {
    let seen = lead.scheduler.borrow_mut().take_unstored();
    if seen.is_empty() {
        return;
    }
    let until = shared.now() + STORE_TIME;
    let mut stored = 0;
    for (num, part) in parts(&seen, shared.settings.store.value).iter().enumerate() {
        match store_until(shared, num, part, until).await {
            Ok(()) => stored += part.len(),
            Err(error) => {
                let fields: &[(&'static str, &dyn std::fmt::Display)] =
                    &[("ends", &part.len()), ("error", &error)];
                obs::record(&shared.log, Event::StoreSlow, fields);
            }
        }
    }
    let fields: &[(&'static str, &dyn std::fmt::Display)] = &[("ends", &stored)];
    obs::record(&shared.log, Event::EndsHandedOn, fields);
}

/// Divides ends into lists whose encoding takes at most `most` bytes, or one end.
fn parts(seen: &[SeenEnd], most: usize) -> Vec<&[SeenEnd]> {
    let mut parts = Vec::new();
    let (mut first, mut size) = (0, LIST_HEADER);
    for (num, end) in seen.iter().enumerate() {
        let length = encode(end).map_or(0, |value| value.len());
        if num > first && size + length > most {
            parts.push(&seen[first..num]);
            (first, size) = (num, LIST_HEADER);
        }
        size += length;
    }
    parts.push(&seen[first..]);
    parts
}

/// Stores a part of the ends. Attempts are repeated until the time is over, unless the store refuses
/// it.
async fn store_until(
    shared: &Shared,
    num: usize,
    part: &[SeenEnd],
    until: Millis,
) -> Result<(), StoreError> {
    loop {
        let result = store(shared, num, part).await;
        match result {
            Err(error) if !matches!(error, StoreError::Refused(_)) && shared.now() < until => {
                shared.record_store_result(Err(&error));
                shared.sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

fn encode<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(value, &mut bytes);
    written.map_err(|e| StoreError::Protocol(e.to_string()))?;
    Ok(bytes)
}

async fn store(shared: &Shared, num: usize, seen: &[SeenEnd]) -> Result<(), StoreError> {
    let value = encode(seen)?;
    let lease = shared.store.grant_lease(ENDS_LEASE).await?;
    let txn = Txn {
        puts: vec![Put {
            key: keys::ends(&shared.instance, num),
            value,
            lease,
        }],
        ..Txn::default()
    };
    match shared.store.commit(&txn).await? {
        TxnOutcome::Done(_) => Ok(()),
        TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded => Err(StoreError::Unknown(
            "the lease of the ends has ended".to_string(),
        )),
    }
}
