//! The load as the coordinator publishes it, and the admission that it decides.

use std::rc::Rc;

use base::Millis;
use batch::admit;
use batch::Load;
use batch::Submitted;
use batch::Verdict;
use obs::Event;
use platform::LeaseId;
use platform::StoreError;

use crate::batch::keys;
use crate::batch::shared::Shared;

/// Age up to which the load is not read again.
const FRESH: Millis = Millis(700);

/// Lease of a refusal's record. Attempts from before it are over by then.
const REFUSALS: Millis = Millis(60_000);

/// Part of that lease in which new refusals use it: one in this many.
const REFUSALS_SHARE: u64 = 3;

/// The published load, and when it was read.
pub async fn read(shared: &Shared) -> Result<(Load, Millis), StoreError> {
    let held = shared.load.borrow().clone();
    let now = shared.now();
    if now.since(held.1) <= FRESH {
        return Ok(held);
    }
    let item = shared.quick.get(keys::LOAD).await?;
    shared.heard_store(Ok(()));
    let load = match item.and_then(|i| i.value) {
        Some(value) => match ciborium::from_reader(value.as_slice()) {
            Ok(load) => load,
            Err(error) => {
                let error: ciborium::de::Error<std::io::Error> = error;
                obs::record(
                    &shared.log,
                    Event::InputRefused,
                    &[("key", &keys::LOAD), ("error", &error)],
                );
                Load::default()
            }
        },
        None => Load::default(),
    };
    *shared.load.borrow_mut() = (load.clone(), now);
    Ok((load, now))
}

/// What becomes of a submission. It does not wait for the store: without recent news of the load
/// a job is accepted, and the news are read for the next one.
pub fn verdict(shared: &Rc<Shared>, given: &Submitted) -> Verdict {
    let now = shared.now();
    let held = shared.load.borrow();
    let age = now.since(held.1);
    if age > FRESH && shared.store_lost() == Millis::ZERO {
        let shared = shared.clone();
        actix_rt::spawn(async move {
            if let Err(error) = read(&shared).await {
                shared.heard_store(Err(&error));
            }
        });
    }
    let share = shared.peers.borrow().len() as u64 + 1;
    admit(
        &held.0,
        age,
        given,
        &mut shared.promises.borrow_mut(),
        share,
        now,
    )
}

/// The lease of refusals that are stored now.
pub async fn refusals(shared: &Shared) -> Result<LeaseId, StoreError> {
    let now = shared.now();
    let young = |at: Millis| now.since(at) < Millis(REFUSALS.0 / REFUSALS_SHARE);
    if let Some((lease, _)) = shared.refusals.get().filter(|(_, at)| young(*at)) {
        return Ok(lease);
    }
    let lease = shared.quick.grant_lease(REFUSALS).await?;
    shared.refusals.set(Some((lease, now)));
    Ok(lease)
}

/// The lease of refusals has ended; the next refusal asks for another.
pub fn renew_refusals(shared: &Shared) {
    shared.refusals.set(None);
}
