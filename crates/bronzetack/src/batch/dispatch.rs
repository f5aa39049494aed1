//! The coordinator's main loop, which plans, stores records and sends requests to workers, and its
//! loops for stops and the published load.

use std::rc::Rc;

use base::Millis;
use base::Revision;
use batch::Load;
use batch::StartRequest;
use batch::StartResponse;
use batch::StopRequest;
use batch::ThrottleRequest;
use obs::Event;
use platform::Put;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::commit;
use crate::batch::decisions;
use crate::batch::delegates;
use crate::batch::keys;
use crate::batch::leadership::Leadership;
use crate::batch::load;
use crate::batch::shared::Shared;
use crate::batch::waits;

/// Delay before a planning pass, so that one pass handles changes that arrive together.
const COALESCE_DELAY: Millis = Millis(4);

/// The delay is at least this multiple of the duration of the last pass, up to a maximum.
const PAUSE_FACTOR: u64 = 2;
const COALESCE_DELAY_MAX: Millis = Millis(60);

/// Longest wait for a change before the next planning pass.
const PASS_INTERVAL_MAX: Millis = Millis(100);

/// Delay after records could not be stored.
const RETRY_DELAY: Millis = Millis(60);

/// Time between two checks whether the load has changed and must be published.
const PUBLISH_INTERVAL: Millis = Millis(500);

/// Runs planning passes until the leadership ends: plans, stores the records, and then sends the
/// start requests that depend on them.
pub async fn run(shared: Rc<Shared>, lead: Rc<Leadership>) {
    let mut pass_time = Millis::ZERO;
    while !lead.ended.get() {
        let woken = lead.wake.notified();
        // A pass is also due after a time-out.
        let _ = actix_rt::time::timeout(PASS_INTERVAL_MAX.duration(), woken).await;
        // Planning gets at most a part of the processor time, as other work waits meanwhile.
        let pause = COALESCE_DELAY.max(Millis(pass_time.0 * PAUSE_FACTOR));
        shared.sleep(pause.min(COALESCE_DELAY_MAX)).await;
        let mut pending = {
            let mut scheduler = lead.scheduler.borrow_mut();
            let now = shared.now();
            scheduler.tick(now, shared.clock.wall());
            if may_start(&shared, &lead, now) {
                scheduler.plan(now, shared.clock.wall());
            }
            let pending = scheduler.take_pending();
            pass_time = shared.now().since(now);
            pending
        };
        lead.pass_done.notify_one();
        decisions::log(&shared, &lead);
        waits::log(&shared, &lead);
        if pending.is_empty() {
            let starts = lead
                .scheduler
                .borrow_mut()
                .records_stored(pending, shared.now());
            debug_assert!(starts.is_empty(), "start request without a record to store");
            continue;
        }
        let Some(refused) = commit::store(&shared, &lead, &pending).await else {
            // Also when the leadership has ended: what is not recorded is handed on.
            lead.scheduler.borrow_mut().requeue(pending);
            if lead.ended.get() {
                return;
            }
            shared.sleep(RETRY_DELAY).await;
            lead.wake.notify_one();
            continue;
        };
        let now = shared.now();
        if !refused.is_empty() {
            let mut scheduler = lead.scheduler.borrow_mut();
            scheduler.set_aside(&mut pending, &refused, now);
        }
        if lead.ended.get() {
            return;
        }
        let allowed = may_start(&shared, &lead, now);
        let starts = {
            let mut scheduler = lead.scheduler.borrow_mut();
            let starts = scheduler.records_stored(pending, now);
            match allowed {
                true => starts,
                false => {
                    scheduler.withdraw(starts, now);
                    Vec::new()
                }
            }
        };
        lead.stored.notify_waiters();
        for request in starts {
            actix_rt::spawn(start(shared.clone(), lead.clone(), request));
        }
    }
}

/// Whether all that starts depend on was confirmed recently enough: the operators' documents, the
/// workers' entries and the callers' cancellations.
fn may_start(shared: &Shared, lead: &Leadership, now: Millis) -> bool {
    let (workers, requests) = lead.confirmed.get();
    let ages = &shared.times.start_ages;
    let (documents, document_age) = {
        let documents = shared.documents.borrow();
        let limited = documents.catalog.as_ref().is_some_and(|c| c.may_limit());
        let age = if limited { ages.limits } else { ages.documents };
        (documents.confirmed, age)
    };
    let current = now.since(documents) <= document_age
        && now.since(workers) <= ages.workers
        && now.since(requests) <= ages.requests;
    match (current, lead.held_since.get()) {
        (false, None) => {
            lead.held_since.set(Some(now));
            let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
                ("documents", &now.since(documents)),
                ("workers", &now.since(workers)),
                ("requests", &now.since(requests)),
            ];
            obs::record(&shared.log, Event::SettingsStale, fields);
        }
        (true, Some(since)) => {
            lead.held_since.set(None);
            let held = now.since(since);
            shared.starts_held.observe(&[], held);
            obs::record(&shared.log, Event::StartsResumed, &[("held", &held)]);
        }
        (true, None) | (false, Some(_)) => {}
    }
    current
}

async fn start(shared: Rc<Shared>, lead: Rc<Leadership>, request: StartRequest) {
    // By its own clock the daemon may no longer hold the lock, so another may be coordinator.
    let response = match shared.now() <= lead.lease_status.valid_until() {
        true => delegates::start(&shared, &lead, &request).await,
        false => StartResponse::Refused("the lock may have expired".to_string()),
    };
    let outcome = match &response {
        StartResponse::Accepted(_) | StartResponse::Repeated(_) => "accepted",
        StartResponse::Fenced => "fenced",
        StartResponse::NoTicket => "the ticket is not valid",
        StartResponse::Refused(why) | StartResponse::Unknown(why) => why,
    };
    obs::record(
        &shared.log,
        Event::RunRequested,
        &[
            ("task", &request.task),
            ("run", &request.run),
            ("worker", &request.worker),
            ("epoch", &lead.lock_revision),
            ("fence", &request.fence),
            ("outcome", &outcome),
        ],
    );
    let result = match &response {
        StartResponse::Accepted(_) | StartResponse::Repeated(_) => "accepted",
        StartResponse::Fenced => "fenced",
        StartResponse::NoTicket | StartResponse::Refused(_) => "refused",
        StartResponse::Unknown(_) => "no-answer",
    };
    shared.starts.add(&[("outcome", result)], 1);
    if lead.ended.get() {
        return;
    }
    lead.scheduler
        .borrow_mut()
        .start_response(&request, response, shared.now());
    if lead.scheduler.borrow().is_fenced() {
        lead.end();
    }
    lead.wake.notify_one();
}

/// Sends requests to stop and to throttle runs until the leadership ends. It is separate from the
/// main loop, so that these requests do not wait while records are being stored.
pub async fn stop_loop(shared: Rc<Shared>, lead: Rc<Leadership>) {
    while !lead.ended.get() {
        let requests = lead.scheduler.borrow_mut().stop_requests(shared.now());
        for request in requests {
            actix_rt::spawn(stop(shared.clone(), lead.clone(), request));
        }
        let throttles = lead.scheduler.borrow_mut().throttle_requests(shared.now());
        for request in throttles {
            actix_rt::spawn(throttle(shared.clone(), lead.clone(), request));
        }
        shared.sleep(Millis(20)).await;
    }
}

async fn stop(shared: Rc<Shared>, lead: Rc<Leadership>, request: StopRequest) {
    match delegates::stop(&shared, &lead, &request).await {
        Ok(Some(clock)) if !lead.ended.get() => {
            let now = shared.now();
            let mut scheduler = lead.scheduler.borrow_mut();
            scheduler.stop_accepted(&request, clock, now);
        }
        Ok(_) => {}
        Err(error) => {
            let Some(suppressed) = shared.stop_log.admit(shared.now()) else {
                return;
            };
            let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
                ("task", &request.task),
                ("worker", &request.worker),
                ("error", &error),
                ("more", &suppressed),
            ];
            obs::record(&shared.log, Event::StopUnanswered, fields);
        }
    }
}

async fn throttle(shared: Rc<Shared>, lead: Rc<Leadership>, request: ThrottleRequest) {
    let outcome = match delegates::throttle(&shared, &lead, &request).await {
        Ok(true) => {
            lead.scheduler.borrow_mut().throttle_accepted(&request);
            "accepted".to_string()
        }
        Ok(false) => "refused".to_string(),
        Err(error) => error.to_string(),
    };
    let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
        ("task", &request.task),
        ("worker", &request.worker),
        ("percent", &request.percent),
        ("epoch", &lead.lock_revision),
        ("fence", &request.fence),
        ("outcome", &outcome),
    ];
    obs::record(&shared.log, Event::ThrottleRequested, fields);
}

/// Publishes the load when it has changed, until the leadership ends.
pub async fn publish_loop(shared: Rc<Shared>, lead: Rc<Leadership>) {
    let mut published: Option<Load> = None;
    let mut revision: Option<Revision> = None;
    while !lead.ended.get() {
        let load = load::publishable(&shared, &lead.scheduler.borrow());
        shared.orgs.publish(&lead.scheduler.borrow());
        // On an idle site this is the only write, and so the only source of higher fencing tokens.
        let lacks_fence = lead.scheduler.borrow().lacks_fence();
        if lacks_fence || published.as_ref() != Some(&load) {
            match publish_load(&shared, &lead, &load, revision).await {
                Some(at) => {
                    lead.note_write(at);
                    revision = Some(at);
                    published = Some(load);
                }
                None => revision = None,
            }
        }
        shared.sleep(PUBLISH_INTERVAL).await;
    }
    shared.orgs.end();
}

async fn publish_load(
    shared: &Shared,
    lead: &Leadership,
    load: &Load,
    revision: Option<Revision>,
) -> Option<Revision> {
    let revision = match revision {
        Some(revision) => revision,
        None => {
            let item = shared.store.get(keys::LOAD).await;
            let item = item.map_err(|e| shared.record_store_result(Err(&e))).ok()?;
            item.map_or(Revision(0), |i| i.revision)
        }
    };
    let mut value = Vec::new();
    if let Err(error) = ciborium::into_writer(load, &mut value) {
        obs::record(&shared.log, Event::InputRefused, &[("error", &error)]);
        return None;
    }
    let key = keys::LOAD.to_string();
    let txn = Txn {
        conditions: vec![
            (keys::LOCK.to_string(), lead.lock_revision),
            (key.clone(), revision),
        ],
        puts: vec![Put {
            key,
            value,
            lease: Default::default(),
        }],
        removes: Vec::new(),
    };
    match shared.store.commit(&txn).await {
        Ok(TxnOutcome::Done(revision)) => Some(revision),
        Ok(_) => None,
        Err(error) => {
            shared.record_store_result(Err(&error));
            None
        }
    }
}
