//! Admission of submissions by the load that the coordinator publishes, and the lease of refusals.

use std::rc::Rc;

use base::Millis;
use batch::admit;
use batch::footprint::room;
use batch::footprint::Footprint;
use batch::Load;
use batch::Scheduler;
use batch::Submitted;
use batch::Verdict;
use obs::Event;
use platform::LeaseId;
use platform::StoreError;

use crate::batch::keys;
use crate::batch::shared::Shared;

/// Age of the cached load above which it is read again.
const LOAD_MAX_AGE: Millis = Millis(700);

/// The accepted jobs take at most the memory of the coordinator divided by this.
const JOBS_DIVISOR: u64 = 3;

/// Room for jobs while no coordinator has published any.
const FIRST_ROOM: Footprint = Footprint(24 << 20);

/// Length of the lease to which records of refusals are bound. An attempt made before the refusal
/// can no longer take effect after this time.
const REFUSAL_LEASE: Millis = Millis(60_000);

/// Part of the store's rate of writes that all daemons together use for refusals of calls that need no
/// valid key or job.
const REFUSAL_PART: f64 = 0.5;

/// New refusals are bound to a lease for its length divided by this; then another is requested.
const REUSE_DIVISOR: u64 = 3;

/// The published load, from the cache while that is recent, and the time of its read.
pub async fn read(shared: &Shared) -> Result<(Load, Millis), StoreError> {
    let cached = shared.load.borrow().clone();
    let now = shared.now();
    if now.since(cached.1) <= LOAD_MAX_AGE {
        return Ok(cached);
    }
    let item = shared.caller_store.get(keys::LOAD).await?;
    shared.record_store_result(Ok(()));
    let load = match item.and_then(|i| i.value) {
        Some(value) => match ciborium::from_reader(value.as_slice()) {
            Ok(load) => load,
            Err(error) => {
                let error: ciborium::de::Error<std::io::Error> = error;
                shared.refuse(keys::LOAD, &error);
                Load::default()
            }
        },
        None => Load::default(),
    };
    *shared.load.borrow_mut() = (load.clone(), now);
    Ok((load, now))
}

/// The load as the coordinator publishes it.
pub fn publishable(shared: &Shared, scheduler: &Scheduler) -> Load {
    let limit = Footprint(shared.capacity.memory.0 / JOBS_DIVISOR);
    Load {
        room: Some(room(limit, scheduler.footprint())),
        ..scheduler.load()
    }
}

/// Decides whether to accept a submission. It does not wait for the store: if the cached load is
/// too old, a job is accepted, and the load is read in the background for later submissions.
pub fn verdict(shared: &Rc<Shared>, submitted: &Submitted) -> Verdict {
    let now = shared.now();
    let cached = shared.load.borrow();
    let age = now.since(cached.1);
    let outdated = age > LOAD_MAX_AGE && shared.store_outage() == Millis::ZERO;
    if outdated && !shared.reading_load.replace(true) {
        let shared = shared.clone();
        actix_rt::spawn(async move {
            if let Err(error) = read(&shared).await {
                shared.record_store_result(Err(&error));
            }
            shared.reading_load.set(false);
        });
    }
    let daemons = shared.peers.borrow().len() as u64 + 1;
    admit(
        &cached.0,
        age,
        submitted,
        &mut shared.promised.borrow_mut(),
        daemons,
        now,
    )
}

/// Takes room for an accepted job of what the coordinator has left. Returns whether there was enough.
pub fn take_room(shared: &Shared, submitted: &Submitted) -> bool {
    let now = shared.now();
    let daemons = shared.peers.borrow().len() as u64 + 1;
    let footprint = Footprint::of(&submitted.work, submitted.at);
    let room = shared.load.borrow().0.room.unwrap_or(FIRST_ROOM);
    let mut accepted = shared.accepted.borrow_mut();
    if accepted.admit(footprint, room, daemons, now) {
        return true;
    }
    shared.jobs_full.add(&[], 1);
    if let Some(suppressed) = shared.full_log.admit(now) {
        let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
            ("bytes", &footprint.0),
            ("room", &room.0),
            ("more", &suppressed),
        ];
        obs::record(&shared.log, Event::JobsFull, fields);
    }
    false
}

/// The lease to which a refusal that is stored now is bound; requests one if needed.
pub async fn refusal_lease(shared: &Shared) -> Result<LeaseId, StoreError> {
    let now = shared.now();
    let reusable = |at: Millis| now.since(at) < Millis(REFUSAL_LEASE.0 / REUSE_DIVISOR);
    if let Some((lease, _)) = shared.refusal_lease.get().filter(|(_, at)| reusable(*at)) {
        return Ok(lease);
    }
    let lease = shared.caller_store.grant_lease(REFUSAL_LEASE).await?;
    shared.refusal_lease.set(Some((lease, now)));
    Ok(lease)
}

/// Counts a refusal against this daemon's part of the store's rate of writes. Returns whether it may be
/// stored now.
pub fn may_store_refusal(shared: &Shared) -> bool {
    let daemons = shared.peers.borrow().len() + 1;
    let rate = shared.settings.store.writes * REFUSAL_PART / daemons as f64;
    let mut limit = shared.refusal_limit.borrow_mut();
    limit.set_limit(rate.max(1.0) as usize);
    limit.allow(shared.now())
}

/// Discards the lease of refusals after it has ended; the next refusal requests another.
pub fn reset_refusal_lease(shared: &Shared) {
    shared.refusal_lease.set(None);
}
