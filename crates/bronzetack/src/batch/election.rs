//! Election of the coordinator by a lock in the store.
//!
//! The lock is a key bound to a lease. Its revision serves as the epoch, by which workers refuse
//! requests of earlier coordinators. Every write of the coordinator is conditional on it.

use std::rc::Rc;

use base::Millis;
use base::Revision;
use batch::candidacy;
use batch::candidacy::Capacity;
use platform::Change;
use platform::Item;
use platform::LeaseId;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::keys;
use crate::batch::leadership;
use crate::batch::shared::Shared;

/// Longest wait of one watch call on the lock; a lost call delays a take-over by up to this time.
const LOCK_WATCH_WAIT: Millis = Millis(3_000);

/// Largest random delay before a daemon tries to acquire a free lock, so that not all try at once.
const LOCK_DELAY_MAX: Millis = Millis(60);

/// Delay after a failed call to the store.
const RETRY_DELAY: Millis = Millis(150);

/// Number of workers that a coordinator can usually serve. A daemon that knows no others yet defers
/// if it cannot.
const USUAL_WORKERS: f64 = 800.0;

/// Value of the lock: the daemon that holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Holder {
    vm: String,
    instance: String,
    lease: LeaseId,
}

/// Campaigns for the lock, again after each leadership, until a planned stop begins.
pub async fn run(shared: Rc<Shared>) {
    while !shared.stopping.get() {
        if let Err(error) = campaign(&shared).await {
            shared.record_store_result(Err(&error));
        }
        shared
            .sleep(RETRY_DELAY + shared.random_up_to(RETRY_DELAY))
            .await;
    }
}

/// Waits until the lock is free, acquires it, and leads until it is lost.
async fn campaign(shared: &Rc<Shared>) -> Result<(), StoreError> {
    let listing = shared.store.list(keys::LOCK).await?;
    shared.record_store_result(Ok(()));
    let held = listing.items.into_iter().find(|i| i.key == keys::LOCK);
    let first_read = !shared.campaigned.get();
    let expected = match held {
        None => Revision(0),
        Some(item) if can_reclaim(shared, &item, first_read) => item.revision,
        Some(item) => {
            shared.campaigned.set(true);
            if !wait_until_free(shared, item.revision, listing.revision).await? {
                return Ok(());
            }
            Revision(0)
        }
    };
    if shared.documents.borrow().catalog.is_none() || shared.stopping.get() {
        return Ok(());
    }
    shared.campaigned.set(true);
    let deferral = deferral(shared);
    shared
        .sleep(deferral + shared.random_up_to(LOCK_DELAY_MAX))
        .await;
    // A stronger candidate has probably taken the lock meanwhile; a read costs less than an attempt.
    if deferral > Millis::ZERO && shared.store.get(keys::LOCK).await?.is_some() {
        return Ok(());
    }
    let requested = shared.now();
    let lease = shared.store.grant_lease(shared.times.lock_lease).await?;
    let holder = Holder {
        vm: shared.settings.vm.to_string(),
        instance: shared.instance.clone(),
        lease,
    };
    let Some(lock_revision) = acquire(shared, &holder, expected).await? else {
        // Another daemon has acquired the lock; no key is bound to this lease.
        return shared.store.revoke_lease(lease).await;
    };
    let Some(catalog) = shared.documents.borrow().catalog.clone() else {
        return Ok(());
    };
    leadership::lead(shared, lock_revision, lease, requested, &catalog).await
}

/// Time for which this daemon lets stronger candidates try the lock first.
fn deferral(shared: &Shared) -> Millis {
    let capacities: Vec<Capacity> = shared.peers.borrow().iter().map(|p| p.capacity).collect();
    let handover = shared.handover.borrow();
    candidacy::deferral(&shared.capacity, &capacities, USUAL_WORKERS)
        + handover.deferral(shared.now())
}

/// Whether the lock is held by this process, or was left by an earlier process on this VM. The
/// latter only counts at the first read: a process that acquires the lock later is alive, and two
/// daemons with the same VM in their settings would repeatedly take the lock from each other.
fn can_reclaim(shared: &Shared, item: &Item, first_read: bool) -> bool {
    let holder = item.value.as_deref().and_then(read_holder);
    holder.is_some_and(|h| {
        let same_vm = h.vm == shared.settings.vm.as_str();
        h.instance == shared.instance || first_read && same_vm
    })
}

/// The VM of the daemon that holds the lock, if any does.
pub async fn holder(shared: &Shared) -> Result<Option<String>, StoreError> {
    let item = shared.store.get(keys::LOCK).await?;
    let holder = item.and_then(|i| i.value).and_then(|v| read_holder(&v));
    Ok(holder.map(|h| h.vm))
}

fn read_holder(value: &[u8]) -> Option<Holder> {
    ciborium::from_reader(value).ok()
}

/// Watches the lock until it is removed. Returns false if it must be read again or a stop began.
async fn wait_until_free(
    shared: &Rc<Shared>,
    held: Revision,
    after: Revision,
) -> Result<bool, StoreError> {
    shared.lock.borrow_mut().hold(held, shared.now());
    let is_free = watch_until_free(shared, held, after).await;
    shared.lock.borrow_mut().release(shared.now());
    is_free
}

/// As [`wait_until_free`], without noting for the answers of this daemon who holds the lock.
async fn watch_until_free(
    shared: &Rc<Shared>,
    held: Revision,
    mut after: Revision,
) -> Result<bool, StoreError> {
    while !shared.stopping.get() {
        let watched = match shared.store.watch(keys::LOCK, after, LOCK_WATCH_WAIT).await {
            Err(StoreError::Compacted) => return Ok(false),
            watched => watched?,
        };
        after = watched.revision.max(after);
        let last = watched.changes.iter().rev().find(|change| match change {
            Change::Put(item) => item.key == keys::LOCK && item.revision > held,
            Change::Removed { key, .. } => key == keys::LOCK,
        });
        match last {
            Some(Change::Removed { .. }) => return Ok(true),
            Some(Change::Put(item)) => shared.lock.borrow_mut().hold(item.revision, shared.now()),
            None => {}
        }
    }
    Ok(false)
}

/// Tries to acquire the lock, which must be at revision `expected`. Returns its new revision, or
/// `None` if this daemon does not hold it.
async fn acquire(
    shared: &Rc<Shared>,
    holder: &Holder,
    expected: Revision,
) -> Result<Option<Revision>, StoreError> {
    let mut value = Vec::new();
    let written = ciborium::into_writer(holder, &mut value);
    written.map_err(|e| StoreError::Protocol(e.to_string()))?;
    let txn = Txn {
        conditions: vec![(keys::LOCK.to_string(), expected)],
        puts: vec![Put {
            key: keys::LOCK.to_string(),
            value,
            lease: holder.lease,
        }],
        removes: Vec::new(),
    };
    match shared.store.commit(&txn).await {
        Ok(TxnOutcome::Done(revision)) => return Ok(Some(revision)),
        Ok(_) => return Ok(None),
        Err(error) if error.has_no_effect() => return Err(error),
        Err(error) => shared.record_store_result(Err(&error)),
    }
    let item = shared.store.get(keys::LOCK).await?;
    let owned = item.filter(|i| {
        let found = i.value.as_deref().and_then(read_holder);
        found.is_some_and(|h| h.instance == holder.instance && h.lease == holder.lease)
    });
    Ok(owned.map(|i| i.revision))
}
