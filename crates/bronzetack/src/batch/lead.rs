//! The coordinator's lock: who decides what runs where.
//!
//! The lock is a key under a lease of the store. Its revision is the epoch, which fences orders
//! of earlier coordinators at the workers, and a condition of every write of the coordinator.

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
use crate::batch::keys;
use crate::batch::keys::Asked;
use crate::batch::looks;
use crate::batch::pump;
use crate::batch::shared::Shared;
use crate::batch::upkeep;
use crate::batch::views;

/// Renewals of the lock's lease within its length.
const RENEWALS: u64 = 4;

/// Longest wait of a watch of the lock. A lost one delays a take-over by as much.
const LOCK_WAIT: Millis = Millis(3_000);

/// Spread of the daemons' attempts at a free lock.
const SPREAD: Millis = Millis(60);

/// Reads of the workers' changes within the period of their entries.
const GATHERS: u64 = 6;

/// Pause after a failed call.
const PAUSE: Millis = Millis(150);

/// The holder that the lock names.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Holder {
    vm: String,
    instance: String,
    lease: LeaseId,
}

/// A leadership.
pub struct Lead {
    /// The lock's revision.
    pub lock: Revision,
    /// The lock's lease.
    pub lease: LeaseId,
    /// Until when the lease is known to hold.
    pub until: Cell<Millis>,
    /// Whether it has ended.
    pub over: Cell<bool>,
    /// Jobs and workers.
    pub book: RefCell<Scheduler>,
    /// Revisions of the records that this coordinator writes.
    pub revisions: RefCell<Map<JobId, Revision>>,
    /// Revisions of the records of waves.
    pub waves: RefCell<Map<u64, Revision>>,
    /// Wakes the planner.
    pub wake: Notify,
    /// Tells that a pass is over.
    pub planned: Notify,
    /// Tells that records have been stored.
    pub stored: Notify,
    /// Tells that a worker has been listed.
    pub listed: Notify,
}

impl Lead {
    /// Ends the leadership.
    pub fn end(&self) {
        self.over.set(true);
        self.wake.notify_waiters();
        self.wake.notify_one();
        self.stored.notify_waiters();
        self.listed.notify_one();
    }
}

/// Tries to become the coordinator until the process ends.
pub async fn run(shared: Rc<Shared>) {
    while !shared.stopping.get() {
        if let Err(error) = campaign(&shared).await {
            shared.heard_store(Err(&error));
        }
        shared.sleep(PAUSE + shared.spread(PAUSE)).await;
    }
}

/// Gives the lock up.
pub async fn resign(shared: &Rc<Shared>) {
    let Some(lead) = shared.leading() else { return };
    lead.end();
    if let Err(error) = shared.store.revoke_lease(lead.lease).await {
        // The lease then runs out by itself.
        shared.heard_store(Err(&error));
    }
}

/// Waits until the lock is free, takes it, and leads until it is lost.
async fn campaign(shared: &Rc<Shared>) -> Result<(), StoreError> {
    let listing = shared.store.list(keys::LOCK).await?;
    shared.heard_store(Ok(()));
    let held = listing.items.into_iter().find(|i| i.key == keys::LOCK);
    let is_first = !shared.campaigned.get();
    let free_at = match held {
        None => Revision(0),
        Some(item) if is_own(shared, &item, is_first) => item.revision,
        Some(item) => {
            shared.campaigned.set(true);
            if !wait_free(shared, item.revision, listing.revision).await? {
                return Ok(());
            }
            Revision(0)
        }
    };
    if shared.facts.borrow().catalog.is_none() || shared.stopping.get() {
        return Ok(());
    }
    shared.campaigned.set(true);
    shared.sleep(shared.spread(SPREAD)).await;
    let asked = shared.now();
    let lease = shared.store.grant_lease(shared.times.lock_lease).await?;
    let holder = Holder {
        vm: shared.settings.vm.to_string(),
        instance: shared.instance.clone(),
        lease,
    };
    let Some(lock) = take(shared, &holder, free_at).await? else {
        // Another daemon was faster; the lease has no key.
        return shared.store.revoke_lease(lease).await;
    };
    let Some(catalog) = shared.facts.borrow().catalog.clone() else {
        return Ok(());
    };
    lead(shared, lock, lease, asked, &catalog).await
}

/// Whether the lock was left by this process, or by an earlier one on this VM: that one is found
/// at the first reading. One that takes the lock later lives, and two with the same VM in their
/// settings would take it from each other for ever.
fn is_own(shared: &Shared, item: &Item, is_first: bool) -> bool {
    let holder = item.value.as_deref().and_then(read_holder);
    holder.is_some_and(|h| {
        let same_vm = h.vm == shared.settings.vm.as_str();
        h.instance == shared.instance || is_first && same_vm
    })
}

fn read_holder(value: &[u8]) -> Option<Holder> {
    ciborium::from_reader(value).ok()
}

/// Watches the lock; true once it is free.
async fn wait_free(
    shared: &Rc<Shared>,
    held: Revision,
    mut after: Revision,
) -> Result<bool, StoreError> {
    while !shared.stopping.get() {
        let seen = match shared.store.watch(keys::LOCK, after, LOCK_WAIT).await {
            Err(StoreError::Compacted) => return Ok(false),
            seen => seen?,
        };
        after = seen.revision.max(after);
        let last = seen.changes.iter().rev().find(|change| match change {
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

/// Writes the lock; its revision if this daemon holds it.
async fn take(
    shared: &Rc<Shared>,
    holder: &Holder,
    free_at: Revision,
) -> Result<Option<Revision>, StoreError> {
    let mut value = Vec::new();
    let written = ciborium::into_writer(holder, &mut value);
    written.map_err(|e| StoreError::Protocol(e.to_string()))?;
    let txn = Txn {
        conditions: vec![(keys::LOCK.to_string(), free_at)],
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
        Err(error) => shared.heard_store(Err(&error)),
    }
    let item = shared.store.get(keys::LOCK).await?;
    let mine = item.filter(|i| {
        let found = i.value.as_deref().and_then(read_holder);
        found.is_some_and(|h| h.instance == holder.instance && h.lease == holder.lease)
    });
    Ok(mine.map(|i| i.revision))
}

/// Leads until the lock is lost.
async fn lead(
    shared: &Rc<Shared>,
    lock: Revision,
    lease: LeaseId,
    asked: Millis,
    catalog: &Catalog,
) -> Result<(), StoreError> {
    let now = shared.now();
    let epoch = Epoch(lock.0);
    let lead = Rc::new(Lead {
        lock,
        lease,
        until: Cell::new(asked + shared.times.lock_lease),
        over: Cell::new(false),
        book: RefCell::new(Scheduler::new(epoch, shared.bounds, catalog.clone(), now)),
        revisions: RefCell::default(),
        waves: RefCell::default(),
        wake: Notify::new(),
        planned: Notify::new(),
        stored: Notify::new(),
        listed: Notify::new(),
    });
    obs::record(&shared.log, Event::CoordinatorElected, &[("epoch", &epoch)]);
    *shared.lead.borrow_mut() = Some(lead.clone());
    actix_rt::spawn(serve(shared.clone(), lead.clone()));
    keep(shared, &lead).await;
    lead.end();
    *shared.lead.borrow_mut() = None;
    obs::record(&shared.log, Event::CoordinatorLost, &[("epoch", &epoch)]);
    Ok(())
}

/// Renews the lock's lease until it is lost.
async fn keep(shared: &Rc<Shared>, lead: &Rc<Lead>) {
    let ttl = shared.times.lock_lease;
    while !lead.over.get() && !shared.stopping.get() {
        let sent = shared.now();
        match shared.store.renew_lease(lead.lease).await {
            Ok(true) => {
                shared.heard_store(Ok(()));
                lead.until.set(sent + ttl);
            }
            Ok(false) => return,
            Err(error) => shared.heard_store(Err(&error)),
        }
        if lead.book.borrow().is_fenced() {
            return;
        }
        shared.sleep(Millis(ttl.0 / RENEWALS)).await;
    }
}

/// Reads what is stored, then follows it and gives orders.
async fn serve(shared: Rc<Shared>, lead: Rc<Lead>) {
    let revisions = loop {
        if lead.over.get() {
            return;
        }
        match load(&shared, &lead).await {
            Ok(revisions) => break revisions,
            Err(error) => shared.heard_store(Err(&error)),
        }
        shared.sleep(PAUSE).await;
    };
    views::tell_book(&shared);
    actix_rt::spawn(follow(
        shared.clone(),
        lead.clone(),
        keys::ASKED,
        revisions.0,
    ));
    actix_rt::spawn(follow(
        shared.clone(),
        lead.clone(),
        WORKER_PREFIX,
        revisions.1,
    ));
    actix_rt::spawn(advice::run(shared.clone(), lead.clone()));
    actix_rt::spawn(looks::run(shared.clone(), lead.clone()));
    actix_rt::spawn(pump::publish(shared.clone(), lead.clone()));
    actix_rt::spawn(pump::stops(shared.clone(), lead.clone()));
    actix_rt::spawn(upkeep::run(shared.clone(), lead.clone()));
    obs::record(
        &shared.log,
        Event::TakeoverDone,
        &[("epoch", &lead.book.borrow().epoch())],
    );
    pump::run(shared, lead).await;
}

/// Reads all records. Returns where the watches of requests and of workers go on.
async fn load(shared: &Shared, lead: &Lead) -> Result<(Revision, Revision), StoreError> {
    let workers = shared.store.list(WORKER_PREFIX).await?;
    let runs = shared.store.list(keys::RUNS).await?;
    let asked = shared.store.list(keys::ASKED).await?;
    let waves = upkeep::recorded(shared, lead).await?;
    let now = shared.now();
    let mut book = lead.book.borrow_mut();
    for (number, record) in waves {
        book.waves().restore(number, record);
    }
    let mut recorded: Map<JobId, Progress> = Map::default();
    for item in runs.items {
        let Some(id) = keys::run_of(&item.key) else {
            continue;
        };
        lead.revisions
            .borrow_mut()
            .insert(id.clone(), item.revision);
        match item.value.as_deref().map(Progress::decode) {
            Some(Ok(progress)) => {
                recorded.insert(id, progress);
            }
            _ => obs::record(&shared.log, Event::InputRefused, &[("key", &item.key)]),
        }
    }
    let (jobs, cancels): (Vec<Item>, Vec<Item>) = asked
        .items
        .into_iter()
        .partition(|i| matches!(keys::asked(&i.key), Some(Asked::Job(_))));
    for item in jobs {
        take_job(shared, &mut book, &item, &mut recorded, now);
    }
    for item in cancels {
        if let Some(Asked::Cancel(id)) = keys::asked(&item.key) {
            book.cancel(&id, now);
        }
    }
    for item in &workers.items {
        take_worker(shared, &mut book, &item.key, item.value.as_deref(), now);
    }
    Ok((asked.revision, workers.revision))
}

fn take_job(
    shared: &Shared,
    book: &mut Scheduler,
    item: &Item,
    recorded: &mut Map<JobId, Progress>,
    now: Millis,
) {
    let Some(Asked::Job(id)) = keys::asked(&item.key) else {
        return;
    };
    match item.value.as_deref().map(JobRecord::decode) {
        Some(Ok(JobRecord::Accepted(given))) => {
            let progress = recorded.remove(&id);
            book.add(id, *given, progress, now);
        }
        Some(Ok(JobRecord::Refused(_))) => {}
        Some(Err(_)) | None => {
            obs::record(&shared.log, Event::InputRefused, &[("key", &item.key)]);
        }
    }
}

/// Follows a prefix until the leadership ends.
async fn follow(shared: Rc<Shared>, lead: Rc<Lead>, prefix: &'static str, mut after: Revision) {
    while !lead.over.get() {
        match shared
            .store
            .watch(prefix, after, shared.times.watch_wait)
            .await
        {
            Ok(seen) => {
                shared.heard_store(Ok(()));
                after = seen.revision.max(after);
                if !seen.changes.is_empty() && !lead.over.get() {
                    take_changes(&shared, &lead, seen.changes);
                    lead.wake.notify_one();
                    lead.listed.notify_one();
                }
                if prefix == WORKER_PREFIX {
                    // Every worker writes in every period; each watch that returns is a call.
                    shared
                        .sleep(Millis(shared.bounds.heartbeat.0 / GATHERS))
                        .await;
                }
            }
            Err(StoreError::Compacted) => {
                obs::record(&shared.log, Event::WatchCompacted, &[("prefix", &prefix)]);
                match load(&shared, &lead).await {
                    Ok((asked, workers)) => {
                        after = if prefix == WORKER_PREFIX {
                            workers
                        } else {
                            asked
                        };
                        lead.wake.notify_one();
                        lead.listed.notify_one();
                    }
                    Err(error) => {
                        shared.heard_store(Err(&error));
                        shared.sleep(PAUSE).await;
                    }
                }
            }
            Err(error) => {
                shared.heard_store(Err(&error));
                shared.sleep(PAUSE + shared.spread(PAUSE)).await;
            }
        }
    }
}

fn take_changes(shared: &Shared, lead: &Lead, changes: Vec<Change>) {
    let now = shared.now();
    let mut book = lead.book.borrow_mut();
    for change in changes {
        match change {
            Change::Put(item) => match keys::asked(&item.key) {
                Some(Asked::Job(_)) => {
                    take_job(shared, &mut book, &item, &mut Map::default(), now);
                }
                Some(Asked::Cancel(id)) => book.cancel(&id, now),
                None => take_worker(shared, &mut book, &item.key, item.value.as_deref(), now),
            },
            Change::Removed { key, .. } => take_worker(shared, &mut book, &key, None, now),
        }
    }
}

fn take_worker(
    shared: &Shared,
    book: &mut Scheduler,
    key: &str,
    value: Option<&[u8]>,
    now: Millis,
) {
    match decode_entry(key, value) {
        StoreEntry::Worker(_, Ok(view)) => book.update_worker(*view),
        StoreEntry::Worker(id, Err(why)) => {
            if value.is_some() {
                let fields: &[(&'static str, &dyn std::fmt::Display)] =
                    &[("key", &key), ("error", &why)];
                obs::record(&shared.log, Event::InputRefused, fields);
            }
            book.mark_missing(&id, now);
        }
        _ => {}
    }
}
