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

use crate::batch::keys;
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Length of the lease to which the ends are bound. The next coordinator reads them within seconds.
const ENDS_LEASE: Millis = Millis(60_000);

/// Most ends under one key. An end takes about a hundred bytes, and the store takes values of up to a
/// megabyte.
const ENDS_PER_KEY: usize = 4_000;

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
    for (num, part) in seen.chunks(ENDS_PER_KEY).enumerate() {
        while let Err(error) = store(shared, num, part).await {
            shared.record_store_result(Err(&error));
            if shared.now() >= until {
                let fields: &[(&'static str, &dyn std::fmt::Display)] =
                    &[("ends", &part.len()), ("error", &error)];
                obs::record(&shared.log, Event::StoreSlow, fields);
                return;
            }
            shared.sleep(RETRY_DELAY).await;
        }
    }
    let fields: &[(&'static str, &dyn std::fmt::Display)] = &[("ends", &seen.len())];
    obs::record(&shared.log, Event::EndsHandedOn, fields);
}

async fn store(shared: &Shared, num: usize, seen: &[SeenEnd]) -> Result<(), StoreError> {
    let mut value = Vec::new();
    ciborium::into_writer(seen, &mut value).map_err(|e| StoreError::Protocol(e.to_string()))?;
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
