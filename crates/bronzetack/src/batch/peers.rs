//! Discovery of the other daemons: each stores its addresses and the capacity of its VM, and reads
//! those of the others.

use std::net::SocketAddr;
use std::rc::Rc;

use base::DomainId;
use base::Millis;
use base::VmId;
use batch::candidacy::Capacity;
use link::Links;
use platform::LeaseId;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::keys;
use crate::batch::shared::Shared;

/// Length of the lease to which a daemon's address is bound. For at most this time others still try
/// to reach a daemon that has ended.
const ADDRESS_LEASE: Millis = Millis(12_000);

/// Time between two refreshes: a renewal of the lease and a read of the addresses.
const REFRESH_INTERVAL: Millis = Millis(4_000);

/// Delay after a failed call to the store; also the largest random delay added to each pause.
const RETRY_DELAY: Millis = Millis(500);

/// What a daemon publishes about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Peer {
    /// Id of its VM.
    pub vm: VmId,
    /// Failure domain of its VM.
    pub domain: DomainId,
    /// Address at which it answers callers.
    pub callers: SocketAddr,
    /// Address at which it accepts links, if it passes calls to workers on.
    pub links: Option<SocketAddr>,
    /// Resources of its VM.
    pub capacity: Capacity,
}

/// Keeps this daemon's entry in the store and the list of the others current until a planned stop.
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
        let mut value = Vec::new();
        ciborium::into_writer(&own_entry(shared), &mut value)
            .map_err(|e| StoreError::Protocol(e.to_string()))?;
        let put = Put {
            key: format!("{}{}", keys::PEERS, shared.instance),
            value,
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
    let listing = shared.store.list_stale(keys::PEERS).await?;
    let own = shared.callers.get();
    let mut peers = Vec::with_capacity(listing.items.len());
    for item in &listing.items {
        let entry: Option<Result<Peer, _>> = item.value.as_deref().map(ciborium::from_reader);
        match entry {
            Some(Ok(peer)) if peer.callers != own => peers.push(peer),
            Some(Ok(_)) => {}
            Some(Err(_)) | None => {
                shared.refuse(&item.key, &"the entry of a daemon cannot be read");
            }
        }
    }
    *shared.peers.borrow_mut() = peers;
    Ok(())
}

fn own_entry(shared: &Shared) -> Peer {
    Peer {
        vm: shared.settings.vm.clone(),
        domain: shared.settings.domain.clone(),
        callers: shared.callers.get(),
        links: shared.links.borrow().as_ref().map(Links::addr),
        capacity: shared.capacity,
    }
}
