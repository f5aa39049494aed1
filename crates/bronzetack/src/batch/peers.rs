//! Discovery of the other daemons: each stores the address at which it answers callers, and reads
//! the addresses of the others.

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

/// Length of the lease to which a daemon's address is bound. For at most this time others still try
/// to reach a daemon that has ended.
const ADDRESS_LEASE: Millis = Millis(12_000);

/// Time between two refreshes: a renewal of the lease and a read of the addresses.
const REFRESH_INTERVAL: Millis = Millis(4_000);

/// Delay after a failed call to the store; also the largest random delay added to each pause.
const RETRY_DELAY: Millis = Millis(500);

/// Keeps this daemon's address in the store and the others' addresses current until a planned stop.
pub async fn run(shared: Rc<Shared>) {
    let mut lease = None;
    while !shared.stopping.get() {
        let delay = match refresh(&shared, &mut lease).await {
            Ok(()) => REFRESH_INTERVAL,
            Err(error) => {
                shared.record_store_result(Err(&error));
                RETRY_DELAY
            }
        };
        shared.sleep(delay + shared.random_up_to(RETRY_DELAY)).await;
    }
}

async fn refresh(shared: &Shared, lease: &mut Option<LeaseId>) -> Result<(), StoreError> {
    if let Some(held) = *lease {
        if !shared.store.renew_lease(held).await? {
            *lease = None;
        }
    }
    if lease.is_none() {
        let granted = shared.store.grant_lease(ADDRESS_LEASE).await?;
        let put = Put {
            key: format!("{}{}", keys::PEERS, shared.instance),
            value: shared.callers.get().to_string().into_bytes(),
            lease: granted,
        };
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        if shared.store.commit(&txn).await? != TxnOutcome::LeaseEnded {
            *lease = Some(granted);
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
