//! The other daemons: each writes where it answers callers, and reads where the others do.

use std::net::SocketAddr;
use std::rc::Rc;

use base::Millis;
use platform::LeaseId;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::keys;
use crate::batch::shared::Shared;

/// Lease of a daemon's address. A daemon that is gone is tried in vain for as long at most.
const LEASE: Millis = Millis(12_000);

/// Period of renewals and reads.
const PERIOD: Millis = Millis(4_000);

/// Pause after a failed call.
const PAUSE: Millis = Millis(500);

/// Keeps the address written and the others' known until the process stops.
pub async fn run(shared: Rc<Shared>) {
    let mut lease = None;
    while !shared.stopping.get() {
        let pause = match turn(&shared, &mut lease).await {
            Ok(()) => PERIOD,
            Err(error) => {
                shared.heard_store(Err(&error));
                PAUSE
            }
        };
        shared.sleep(pause + shared.spread(PAUSE)).await;
    }
}

async fn turn(shared: &Shared, lease: &mut Option<LeaseId>) -> Result<(), StoreError> {
    if let Some(held) = *lease {
        if !shared.store.renew_lease(held).await? {
            *lease = None;
        }
    }
    if lease.is_none() {
        let asked = shared.store.grant_lease(LEASE).await?;
        let put = Put {
            key: format!("{}{}", keys::PEERS, shared.instance),
            value: shared.callers.get().to_string().into_bytes(),
            lease: asked,
        };
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        if shared.store.commit(&txn).await? != TxnOutcome::LeaseEnded {
            *lease = Some(asked);
        }
    }
    let listing = shared.store.list(keys::PEERS).await?;
    let own = shared.callers.get();
    let addresses = listing.items.iter().filter_map(|item| {
        let text = std::str::from_utf8(item.value.as_deref()?).ok()?;
        text.parse::<SocketAddr>().ok().filter(|a| *a != own)
    });
    *shared.peers.borrow_mut() = addresses.collect();
    Ok(())
}
