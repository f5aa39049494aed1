//! Discovery of the other daemons: each stores its addresses and the capacity of its VM, and reads
//! those of the others.

use std::net::SocketAddr;
use std::rc::Rc;

use base::DomainId;
use base::Millis;
use base::VmId;
use batch::candidacy::Capacity;
use batch::clearance::Instance;
use batch::clearance::Member;
use link::Links;
use obs::Event;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::clearance;
use crate::batch::documents;
use crate::batch::keys;
use crate::batch::shared::Shared;

/// Length of the lease to which a daemon's address is bound. For at most this time others still try
/// to reach a daemon that has ended.
const ADDRESS_LEASE: Millis = Millis(12_000);

/// Time between two refreshes: a renewal of the lease and a read of the addresses.
const REFRESH_INTERVAL: Millis = Millis(4_000);

/// Delay after a failed call to the store; also the largest random delay added to each pause.
const RETRY_DELAY: Millis = Millis(500);

/// Time between two attempts at making this daemon known to enough others.
const JOIN_INTERVAL: Millis = Millis(200);

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
    while !shared.stopping.get() {
        let refreshed = refresh(&shared).await;
        clearance::greet(&shared).await;
        documents::update_ready(&shared);
        let joined = shared.standing.borrow().has_joined();
        let delay = match refreshed {
            Ok(()) if joined => REFRESH_INTERVAL + shared.random_up_to(RETRY_DELAY),
            Ok(()) => JOIN_INTERVAL,
            Err(error) => {
                shared.record_store_result(Err(&error));
                RETRY_DELAY + shared.random_up_to(RETRY_DELAY)
            }
        };
        let notified = shared.refresh.notified();
        // A time-out is the usual end of the pause.
        actix_rt::time::timeout(delay.duration(), notified)
            .await
            .ok();
    }
}

/// Removes this daemon's entry once it answers no more calls, so that the others do not expect
/// answers. In an outage of the store it ends with its lease.
pub async fn leave(shared: &Shared) {
    if shared.store_outage() > Millis::ZERO {
        return;
    }
    if let Some(lease) = shared.entry_lease.take() {
        if let Err(error) = shared.caller_store.revoke_lease(lease).await {
            shared.record_store_result(Err(&error));
        }
    }
}

async fn refresh(shared: &Shared) -> Result<(), StoreError> {
    if let Some(held) = shared.entry_lease.get() {
        let renewed = shared.store.renew_lease(held).await?;
        if !renewed || !shared.standing.borrow().is_registered() {
            shared.entry_lease.set(None);
            shared.standing.borrow_mut().unregistered();
        }
    }
    if shared.entry_lease.get().is_none() {
        let granted = shared.store.grant_lease(ADDRESS_LEASE).await?;
        let mut value = Vec::new();
        ciborium::into_writer(&own_entry(shared), &mut value)
            .map_err(|e| StoreError::Protocol(e.to_string()))?;
        let put = Put {
            key: keys::peer(&shared.instance),
            value,
            lease: granted,
        };
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        if let TxnOutcome::Done(revision) = shared.store.commit(&txn).await? {
            shared.entry_lease.set(Some(granted));
            let mut standing = shared.standing.borrow_mut();
            standing.registered(revision, shared.now());
        }
    }
    let sent = shared.now();
    let listing = shared.store.list(keys::PEERS).await?;
    let own = shared.callers.get();
    let own_key = keys::peer(&shared.instance);
    let mut peers = Vec::with_capacity(listing.items.len());
    let mut members = Vec::with_capacity(listing.items.len());
    let mut past = Txn::default();
    for item in &listing.items {
        let instance = item.key.strip_prefix(keys::PEERS).unwrap_or_default();
        let instance = Instance(base::digest(instance.as_bytes()));
        let entry: Option<Result<Peer, _>> = item.value.as_deref().map(ciborium::from_reader);
        match entry {
            // An earlier process at this address has ended.
            Some(Ok(peer)) if peer.callers == own && item.key != own_key => {
                past.conditions.push((item.key.clone(), item.revision));
                past.removes.push(item.key.clone());
            }
            Some(Ok(peer)) => {
                members.push(Member {
                    instance,
                    callers: peer.callers,
                });
                if peer.callers != own {
                    peers.push(peer);
                }
            }
            Some(Err(_)) | None => {
                obs::record(&shared.log, Event::InputRefused, &[("key", &item.key)]);
                // A daemon that cannot be asked.
                members.push(Member {
                    instance,
                    callers: SocketAddr::from(([0, 0, 0, 0], 0)),
                });
            }
        }
    }
    let mut revision = listing.revision;
    if !past.removes.is_empty() {
        match shared.store.commit(&past).await? {
            TxnOutcome::Done(removed) => revision = removed.max(revision),
            TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded => {
                return Err(StoreError::Unknown("an entry has changed".to_string()));
            }
        }
    }
    *shared.peers.borrow_mut() = peers;
    let mut standing = shared.standing.borrow_mut();
    standing.listed(members, revision, sent);
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
