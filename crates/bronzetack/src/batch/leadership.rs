//! Election of the coordinator by a lock in the store, and the tasks that run during a leadership.
//!
//! The lock is a key bound to a lease. Its revision serves as the epoch, by which workers refuse
//! requests of earlier coordinators. Every write of the coordinator is conditional on it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use base::Epoch;
use base::JobId;
use base::Map;
use base::Millis;
use base::Revision;
use batch::Catalog;
use batch::JobRecord;
use batch::Progress;
use batch::Scheduler;
use obs::Event;
use platform::decode_entry;
use platform::Change;
use platform::Item;
use platform::LeaseId;
use platform::Put;
use platform::StoreEntry;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;
use platform::WORKER_PREFIX;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::batch::advice;
use crate::batch::dispatch;
use crate::batch::documents;
use crate::batch::keys;
use crate::batch::keys::RequestKey;
use crate::batch::poll;
use crate::batch::shared::Shared;
use crate::batch::upkeep;

/// Number of renewals of the lock's lease within its length.
const RENEWALS_PER_LEASE: u64 = 4;

/// Longest wait of one watch call on the lock; a lost call delays a take-over by up to this time.
const LOCK_WATCH_WAIT: Millis = Millis(3_000);

/// Largest random delay before a daemon tries to acquire a free lock, so that not all try at once.
const LOCK_DELAY_MAX: Millis = Millis(60);

/// Most watch calls on the workers' entries within one heartbeat, the period of their writes.
const WATCHES_PER_HEARTBEAT: u64 = 6;

/// Delay after a failed call to the store.
const RETRY_DELAY: Millis = Millis(150);

/// Value of the lock: the daemon that holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Holder {
    vm: String,
    instance: String,
    lease: LeaseId,
}

/// State of this daemon's time as coordinator, from acquiring the lock until losing it.
pub struct Leadership {
    /// Revision of the lock, a condition of every write.
    pub lock_revision: Revision,
    /// Lease that the lock is bound to.
    pub lease: LeaseId,
    /// Time until which the lease is known to be valid.
    pub valid_until: Cell<Millis>,
    /// Whether the leadership has ended.
    pub ended: Cell<bool>,
    /// State of all jobs and workers.
    pub scheduler: RefCell<Scheduler>,
    /// Revisions of the stored records of jobs.
    pub run_revisions: RefCell<Map<JobId, Revision>>,
    /// Revisions of the stored records of upkeep waves.
    pub wave_revisions: RefCell<Map<u64, Revision>>,
    /// Notified when a planning pass is due.
    pub wake: Notify,
    /// Notified after a planning pass.
    pub pass_done: Notify,
    /// Notified once records have been stored.
    pub stored: Notify,
    /// Notified when workers' entries or callers' requests have changed.
    pub workers_changed: Notify,
}

impl Leadership {
    /// Ends the leadership and wakes its tasks, which then return.
    pub fn end(&self) {
        self.ended.set(true);
        self.wake.notify_waiters();
        self.wake.notify_one();
        self.stored.notify_waiters();
        self.workers_changed.notify_one();
    }
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

/// Ends the leadership, if any, and releases the lock.
pub async fn resign(shared: &Rc<Shared>) {
    let Some(lead) = shared.current_leadership() else {
        return;
    };
    lead.end();
    if let Err(error) = shared.store.revoke_lease(lead.lease).await {
        // The lock is then released when the lease expires.
        shared.record_store_result(Err(&error));
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
    shared.sleep(shared.random_up_to(LOCK_DELAY_MAX)).await;
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
    run_leadership(shared, lock_revision, lease, requested, &catalog).await
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

fn read_holder(value: &[u8]) -> Option<Holder> {
    ciborium::from_reader(value).ok()
}

/// Watches the lock until it is removed. Returns false if it must be read again or a stop began.
async fn wait_until_free(
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
            Some(Change::Put(_)) | None => {}
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

/// Acts as the coordinator until the lock is lost.
async fn run_leadership(
    shared: &Rc<Shared>,
    lock_revision: Revision,
    lease: LeaseId,
    requested: Millis,
    catalog: &Catalog,
) -> Result<(), StoreError> {
    let now = shared.now();
    let epoch = Epoch(lock_revision.0);
    let lead = Rc::new(Leadership {
        lock_revision,
        lease,
        valid_until: Cell::new(requested + shared.times.lock_lease),
        ended: Cell::new(false),
        scheduler: RefCell::new(Scheduler::new(epoch, shared.bounds, catalog.clone(), now)),
        run_revisions: RefCell::default(),
        wave_revisions: RefCell::default(),
        wake: Notify::new(),
        pass_done: Notify::new(),
        stored: Notify::new(),
        workers_changed: Notify::new(),
    });
    obs::record(&shared.log, Event::CoordinatorElected, &[("epoch", &epoch)]);
    *shared.leadership.borrow_mut() = Some(lead.clone());
    actix_rt::spawn(coordinate(shared.clone(), lead.clone()));
    renew_lease(shared, &lead).await;
    lead.end();
    *shared.leadership.borrow_mut() = None;
    obs::record(&shared.log, Event::CoordinatorLost, &[("epoch", &epoch)]);
    Ok(())
}

/// Renews the lock's lease until it is lost or the leadership ends.
async fn renew_lease(shared: &Rc<Shared>, lead: &Rc<Leadership>) {
    let ttl = shared.times.lock_lease;
    while !lead.ended.get() && !shared.stopping.get() {
        let sent = shared.now();
        match shared.store.renew_lease(lead.lease).await {
            Ok(true) => {
                shared.record_store_result(Ok(()));
                lead.valid_until.set(sent + ttl);
            }
            Ok(false) => return,
            Err(error) => shared.record_store_result(Err(&error)),
        }
        if lead.scheduler.borrow().is_fenced() {
            return;
        }
        shared.sleep(Millis(ttl.0 / RENEWALS_PER_LEASE)).await;
    }
}

/// Restores the state from the store, starts the tasks of the leadership, and plans until it ends.
async fn coordinate(shared: Rc<Shared>, lead: Rc<Leadership>) {
    let revisions = loop {
        if lead.ended.get() {
            return;
        }
        match restore(&shared, &lead).await {
            Ok(revisions) => break revisions,
            Err(error) => shared.record_store_result(Err(&error)),
        }
        shared.sleep(RETRY_DELAY).await;
    };
    documents::update_scheduler(&shared);
    actix_rt::spawn(watch_prefix(
        shared.clone(),
        lead.clone(),
        keys::REQUESTS,
        revisions.0,
    ));
    actix_rt::spawn(watch_prefix(
        shared.clone(),
        lead.clone(),
        WORKER_PREFIX,
        revisions.1,
    ));
    actix_rt::spawn(advice::run(shared.clone(), lead.clone()));
    actix_rt::spawn(poll::run(shared.clone(), lead.clone()));
    actix_rt::spawn(dispatch::publish_loop(shared.clone(), lead.clone()));
    actix_rt::spawn(dispatch::stop_loop(shared.clone(), lead.clone()));
    actix_rt::spawn(upkeep::run(shared.clone(), lead.clone()));
    obs::record(
        &shared.log,
        Event::TakeoverDone,
        &[("epoch", &lead.scheduler.borrow().epoch())],
    );
    dispatch::run(shared, lead).await;
}

/// Reads all records. Returns the revisions from which to watch callers' requests and workers.
async fn restore(shared: &Shared, lead: &Leadership) -> Result<(Revision, Revision), StoreError> {
    let workers = shared.store.list(WORKER_PREFIX).await?;
    let runs = shared.store.list(keys::RUNS).await?;
    let requests = shared.store.list(keys::REQUESTS).await?;
    let waves = upkeep::read_records(shared, lead).await?;
    let now = shared.now();
    let mut scheduler = lead.scheduler.borrow_mut();
    for (number, record) in waves {
        scheduler.waves().restore(number, record);
    }
    let mut records: Map<JobId, Progress> = Map::default();
    for item in runs.items {
        let Some(id) = keys::parse_run(&item.key) else {
            continue;
        };
        lead.run_revisions
            .borrow_mut()
            .insert(id.clone(), item.revision);
        match item.value.as_deref().map(Progress::decode) {
            Some(Ok(progress)) => {
                records.insert(id, progress);
            }
            _ => obs::record(&shared.log, Event::InputRefused, &[("key", &item.key)]),
        }
    }
    let (jobs, cancels): (Vec<Item>, Vec<Item>) = requests
        .items
        .into_iter()
        .partition(|i| matches!(keys::parse_request(&i.key), Some(RequestKey::Job(_))));
    for item in jobs {
        apply_job(shared, &mut scheduler, &item, &mut records, now);
    }
    for item in cancels {
        if let Some(RequestKey::Cancel(id)) = keys::parse_request(&item.key) {
            scheduler.cancel(&id, now);
        }
    }
    for item in &workers.items {
        apply_worker(
            shared,
            &mut scheduler,
            &item.key,
            item.value.as_deref(),
            now,
        );
    }
    Ok((requests.revision, workers.revision))
}

fn apply_job(
    shared: &Shared,
    scheduler: &mut Scheduler,
    item: &Item,
    records: &mut Map<JobId, Progress>,
    now: Millis,
) {
    let Some(RequestKey::Job(id)) = keys::parse_request(&item.key) else {
        return;
    };
    match item.value.as_deref().map(JobRecord::decode) {
        Some(Ok(JobRecord::Accepted(submitted))) => {
            let progress = records.remove(&id);
            scheduler.add(id, *submitted, progress, now);
        }
        Some(Ok(JobRecord::Refused(_))) => {}
        Some(Err(_)) | None => {
            obs::record(&shared.log, Event::InputRefused, &[("key", &item.key)]);
        }
    }
}

/// Watches a prefix and applies its changes until the leadership ends.
async fn watch_prefix(
    shared: Rc<Shared>,
    lead: Rc<Leadership>,
    prefix: &'static str,
    mut after: Revision,
) {
    while !lead.ended.get() {
        match shared
            .store
            .watch(prefix, after, shared.times.watch_wait)
            .await
        {
            Ok(watched) => {
                shared.record_store_result(Ok(()));
                after = watched.revision.max(after);
                if !watched.changes.is_empty() && !lead.ended.get() {
                    apply_changes(&shared, &lead, watched.changes);
                    lead.wake.notify_one();
                    lead.workers_changed.notify_one();
                }
                if prefix == WORKER_PREFIX {
                    // Each return of the watch costs a call to the store, so the changes of
                    // several workers, which all write once a heartbeat, are collected first.
                    shared
                        .sleep(Millis(shared.bounds.heartbeat.0 / WATCHES_PER_HEARTBEAT))
                        .await;
                }
            }
            Err(StoreError::Compacted) => {
                obs::record(&shared.log, Event::WatchCompacted, &[("prefix", &prefix)]);
                match restore(&shared, &lead).await {
                    Ok((requests, workers)) => {
                        after = if prefix == WORKER_PREFIX {
                            workers
                        } else {
                            requests
                        };
                        lead.wake.notify_one();
                        lead.workers_changed.notify_one();
                    }
                    Err(error) => {
                        shared.record_store_result(Err(&error));
                        shared.sleep(RETRY_DELAY).await;
                    }
                }
            }
            Err(error) => {
                shared.record_store_result(Err(&error));
                shared
                    .sleep(RETRY_DELAY + shared.random_up_to(RETRY_DELAY))
                    .await;
            }
        }
    }
}

fn apply_changes(shared: &Shared, lead: &Leadership, changes: Vec<Change>) {
    let now = shared.now();
    let mut scheduler = lead.scheduler.borrow_mut();
    for change in changes {
        match change {
            Change::Put(item) => match keys::parse_request(&item.key) {
                Some(RequestKey::Job(_)) => {
                    apply_job(shared, &mut scheduler, &item, &mut Map::default(), now);
                }
                Some(RequestKey::Cancel(id)) => scheduler.cancel(&id, now),
                None => apply_worker(
                    shared,
                    &mut scheduler,
                    &item.key,
                    item.value.as_deref(),
                    now,
                ),
            },
            Change::Removed { key, .. } => apply_worker(shared, &mut scheduler, &key, None, now),
        }
    }
}

fn apply_worker(
    shared: &Shared,
    scheduler: &mut Scheduler,
    key: &str,
    value: Option<&[u8]>,
    now: Millis,
) {
    match decode_entry(key, value) {
        StoreEntry::Worker(_, Ok(view)) => scheduler.update_worker(*view),
        StoreEntry::Worker(id, Err(why)) => {
            if value.is_some() {
                let fields: &[(&'static str, &dyn std::fmt::Display)] =
                    &[("key", &key), ("error", &why)];
                obs::record(&shared.log, Event::InputRefused, fields);
            }
            scheduler.mark_missing(&id, now);
        }
        _ => {}
    }
}
