//! A daemon's time as coordinator: its state, its tasks, and when it ends.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt::Display;
use std::future::Future;
use std::rc::Rc;

use base::Epoch;
use base::Fence;
use base::JobId;
use base::Map;
use base::Millis;
use base::Revision;
use base::Set;
use batch::candidacy::Capacity;
use batch::candidacy::HandoverReason;
use batch::Catalog;
use batch::History;
use batch::Scheduler;
use obs::Event;
use platform::LeaseId;
use platform::StoreError;
use platform::WORKER_PREFIX;
use tokio::sync::Notify;

use crate::batch::advice;
use crate::batch::audit;
use crate::batch::delegates;
use crate::batch::dispatch;
use crate::batch::documents;
use crate::batch::ends;
use crate::batch::keeper::LeaseKeeper;
use crate::batch::keeper::LeaseStatus;
use crate::batch::keys;
use crate::batch::load;
use crate::batch::poll;
use crate::batch::removal;
use crate::batch::restore::read_records;
use crate::batch::restore::read_workers;
use crate::batch::restore::watch_prefix;
use crate::batch::shared::Shared;
use crate::batch::speeds;
use crate::batch::upkeep;

/// Delay after a failed call to the store.
const RETRY_DELAY: Millis = Millis(150);

/// Time between two checks whether the leadership goes on. How late a check comes shows whether the
/// daemon keeps up.
const CHECK_INTERVAL: Millis = Millis(100);

/// State of this daemon's time as coordinator, from acquiring the lock until losing it.
pub struct Leadership {
    /// Revision of the lock, a condition of every write.
    pub lock_revision: Revision,
    /// Lease that the lock is bound to.
    pub lease: LeaseId,
    /// State of the lease, which is renewed during the leadership.
    pub lease_status: LeaseStatus,
    /// Whether the leadership has ended.
    pub ended: Cell<bool>,
    /// Whether its state has been restored from the store. Nothing can be asked of it before.
    pub restored: Cell<bool>,
    /// State of all jobs and workers.
    pub scheduler: RefCell<Scheduler>,
    /// The latest decisions on jobs, for operators.
    pub history: RefCell<History>,
    /// When it began.
    pub elected: Millis,
    /// Revisions of the submissions of the jobs that the scheduler knows.
    pub job_revisions: RefCell<Map<JobId, Revision>>,
    /// Those of them whose records were removed, until a reading of the store shows that.
    pub removed: RefCell<Set<JobId>>,
    /// Revisions of the stored records of jobs.
    pub run_revisions: RefCell<Map<JobId, Revision>>,
    /// Jobs of which only a cancellation or a coordinator's record is stored, which is to be removed.
    pub orphans: RefCell<Set<JobId>>,
    /// Revisions of the stored records of upkeep waves.
    pub wave_revisions: RefCell<Map<u64, Revision>>,
    /// Send times of the latest watch calls on workers' entries and on callers' requests that were
    /// answered.
    pub confirmed: Cell<(Millis, Millis)>,
    /// Since when no run is started because what starts depend on is not known to be current.
    pub held_since: Cell<Option<Millis>>,
    /// When the last job was added.
    pub last_job: Cell<Millis>,
    /// When it was last logged which jobs have nothing running.
    pub waits_logged: Cell<Millis>,
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
    /// Records that a watch call or a read of a prefix that was sent at `sent` was answered.
    pub fn confirm(&self, prefix: &str, sent: Millis) {
        let (workers, requests) = self.confirmed.get();
        self.confirmed.set(match prefix == WORKER_PREFIX {
            true => (sent.max(workers), requests),
            false => (workers, sent.max(requests)),
        });
    }

    /// Records the revision of a write that was conditional on the lock. It may serve as a fencing token,
    /// since the epoch of the next coordinator is higher.
    pub fn note_write(&self, revision: Revision) {
        self.scheduler.borrow_mut().raise_fence(Fence(revision.0));
    }

    /// Ends the leadership and wakes its tasks, which then return.
    pub fn end(&self) {
        self.ended.set(true);
        self.wake.notify_waiters();
        self.wake.notify_one();
        self.stored.notify_waiters();
        self.workers_changed.notify_one();
    }
}

/// Ends the leadership, if any, and releases the lock.
pub async fn resign(shared: &Rc<Shared>) {
    let Some(lead) = shared.held_leadership() else {
        return;
    };
    lead.end();
    if let Err(error) = shared.store.revoke_lease(lead.lease).await {
        // The lock is then released when the lease expires.
        shared.record_store_result(Err(&error));
    }
}

/// Acts as the coordinator until the lock is lost.
pub async fn lead(
    shared: &Rc<Shared>,
    lock_revision: Revision,
    lease: LeaseId,
    requested: Millis,
    catalog: &Catalog,
) -> Result<(), StoreError> {
    let now = shared.now();
    let epoch = Epoch(lock_revision.0);
    let ttl = shared.times.lock_lease;
    let address = shared.settings.store.address;
    let keeper = match LeaseKeeper::start(address, lease, ttl, requested + ttl) {
        Ok(keeper) => keeper,
        Err(error) => {
            let why = format!("the lease cannot be renewed: {error}: allow more descriptors");
            let fields: [(&'static str, &dyn Display); 2] = [("epoch", &epoch), ("why", &why)];
            obs::record(&shared.log, Event::CoordinatorLost, &fields);
            return shared.store.revoke_lease(lease).await;
        }
    };
    let lead = Rc::new(Leadership {
        lock_revision,
        lease,
        lease_status: keeper.status(),
        ended: Cell::new(false),
        restored: Cell::new(false),
        scheduler: RefCell::new(Scheduler::new(epoch, shared.bounds, catalog.clone(), now)),
        history: RefCell::default(),
        elected: now,
        job_revisions: RefCell::default(),
        removed: RefCell::default(),
        run_revisions: RefCell::default(),
        orphans: RefCell::default(),
        wave_revisions: RefCell::default(),
        confirmed: Cell::new((now, now)),
        held_since: Cell::new(None),
        last_job: Cell::new(now),
        waits_logged: Cell::new(now),
        wake: Notify::new(),
        pass_done: Notify::new(),
        stored: Notify::new(),
        workers_changed: Notify::new(),
    });
    obs::record(&shared.log, Event::CoordinatorElected, &[("epoch", &epoch)]);
    *shared.leadership.borrow_mut() = Some(lead.clone());
    actix_rt::spawn(coordinate(shared.clone(), lead.clone()));
    supervise(shared, &lead).await;
    lead.end();
    keeper.close();
    *shared.leadership.borrow_mut() = None;
    // What this daemon knows of the load holds for a moment, like what another one has published.
    let now = shared.now();
    if lead.restored.get() {
        let load = load::publishable(shared, &lead.scheduler.borrow());
        *shared.load.borrow_mut() = (load, now);
    }
    shared.lock.borrow_mut().hold(lock_revision, now);
    shared.lock.borrow_mut().release(now);
    obs::record(&shared.log, Event::CoordinatorLost, &[("epoch", &epoch)]);
    Ok(())
}

/// Waits until the lock is lost, the daemon hands over, or the leadership ends otherwise.
async fn supervise(shared: &Rc<Shared>, lead: &Rc<Leadership>) {
    let elected = shared.now();
    while !lead.ended.get() && !shared.stopping.get() && !lead.lease_status.is_lost() {
        let before = shared.now();
        shared.sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        if lead.scheduler.borrow().is_fenced() {
            return;
        }
        let late = now.since(before).since(CHECK_INTERVAL);
        let others: Vec<Capacity> = shared.peers.borrow().iter().map(|p| p.capacity).collect();
        let reason = {
            let mut handover = shared.handover.borrow_mut();
            handover.record_delay(late);
            handover.decide(&shared.capacity, &others, elected, now)
        };
        if let Some(reason) = reason {
            let why = match reason {
                HandoverReason::Behind => "this daemon falls behind",
                HandoverReason::Stronger => "a VM with more capacity is there",
            };
            let fields: &[(&'static str, &dyn std::fmt::Display)] =
                &[("why", &why), ("late", &late)];
            obs::record(&shared.log, Event::HandoverBegun, fields);
            resign(shared).await;
            return;
        }
    }
}

/// Repeats a read of the store until it succeeds; `None` if the leadership ends before.
async fn until_done<F, R>(shared: &Shared, lead: &Leadership, read: F) -> Option<Revision>
where
    F: Fn() -> R,
    R: Future<Output = Result<Revision, StoreError>>,
{
    while !lead.ended.get() {
        match read().await {
            Ok(revision) => return Some(revision),
            Err(error) => shared.record_store_result(Err(&error)),
        }
        shared.sleep(RETRY_DELAY).await;
    }
    None
}

/// Restores the state from the store, starts the tasks of the leadership, and plans until it ends.
async fn coordinate(shared: Rc<Shared>, lead: Rc<Leadership>) {
    actix_rt::spawn(speeds::recall(shared.clone(), lead.clone()));
    let Some(workers) = until_done(&shared, &lead, || read_workers(&shared, &lead)).await else {
        return;
    };
    // The links to the delegates come up while the records are read.
    delegates::choose(&shared, &lead);
    let Some(requests) = until_done(&shared, &lead, || read_records(&shared, &lead)).await else {
        return;
    };
    lead.restored.set(true);
    documents::update_scheduler(&shared);
    delegates::wait_for_links(&shared, &lead).await;
    actix_rt::spawn(delegates::run(shared.clone(), lead.clone()));
    actix_rt::spawn(watch_prefix(
        shared.clone(),
        lead.clone(),
        keys::REQUESTS,
        requests,
    ));
    actix_rt::spawn(watch_prefix(
        shared.clone(),
        lead.clone(),
        WORKER_PREFIX,
        workers,
    ));
    actix_rt::spawn(advice::run(shared.clone(), lead.clone()));
    actix_rt::spawn(poll::run(shared.clone(), lead.clone()));
    actix_rt::spawn(dispatch::publish_loop(shared.clone(), lead.clone()));
    actix_rt::spawn(dispatch::stop_loop(shared.clone(), lead.clone()));
    actix_rt::spawn(removal::run(shared.clone(), lead.clone()));
    actix_rt::spawn(audit::run(shared.clone(), lead.clone()));
    actix_rt::spawn(upkeep::run(shared.clone(), lead.clone()));
    actix_rt::spawn(speeds::run(shared.clone(), lead.clone()));
    obs::record(
        &shared.log,
        Event::TakeoverDone,
        &[("epoch", &lead.scheduler.borrow().epoch())],
    );
    dispatch::run(shared.clone(), lead.clone()).await;
    ends::hand_on(&shared, &lead).await;
}
