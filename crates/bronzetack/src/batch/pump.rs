//! The coordinator's loop: plan, store, send.

use std::rc::Rc;

use base::Millis;
use base::Revision;
use batch::Load;
use batch::Scheduler;
use batch::StartRequest;
use batch::StartResponse;
use batch::StopRequest;
use batch::ThrottleRequest;
use obs::Event;
use platform::Put;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::commit;
use crate::batch::keys;
use crate::batch::lead::Lead;
use crate::batch::shared::Shared;
use crate::batch::shared::STORE_TIMEOUT;

/// Time in which changes gather before a pass.
const GATHER: Millis = Millis(4);

/// Longest time between two passes.
const TICK: Millis = Millis(100);

/// Pause after records could not be stored.
const PAUSE: Millis = Millis(60);

/// Period of what is published of the load.
const PUBLISH: Millis = Millis(500);

/// Period of the search for records that are no longer needed.
const EXPIRE: Millis = Millis(10_000);

/// Plans until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Lead>) {
    while !lead.over.get() {
        let woken = lead.wake.notified();
        // A timeout only means that nothing has happened.
        let _ = actix_rt::time::timeout(TICK.duration(), woken).await;
        shared.sleep(GATHER).await;
        let pending = {
            let mut book = lead.book.borrow_mut();
            let now = shared.now();
            book.tick(now, shared.clock.wall());
            if is_fresh(&shared, now) {
                book.plan(now, shared.clock.wall());
            }
            book.take_pending()
        };
        lead.planned.notify_one();
        log_notes(&shared, &mut lead.book.borrow_mut());
        if pending.is_empty() {
            let starts = lead.book.borrow_mut().records_stored(pending, shared.now());
            debug_assert!(starts.is_empty(), "a start without a record");
            continue;
        }
        let done = commit::store(&shared, &lead, &pending).await;
        if lead.over.get() {
            return;
        }
        if !done {
            lead.book.borrow_mut().requeue(pending);
            shared.sleep(PAUSE).await;
            lead.wake.notify_one();
            continue;
        }
        let starts = lead.book.borrow_mut().records_stored(pending, shared.now());
        lead.stored.notify_waiters();
        for order in starts {
            actix_rt::spawn(start(shared.clone(), lead.clone(), order));
        }
    }
}

/// Whether the operators' documents are known to be current enough to start tasks.
fn is_fresh(shared: &Shared, now: Millis) -> bool {
    let age = now.since(shared.facts.borrow().fresh);
    age <= shared.times.watch_wait + shared.times.watch_wait + STORE_TIMEOUT
}

fn log_notes(shared: &Shared, book: &mut Scheduler) {
    for note in book.take_log() {
        let job = note.job.map(|j| j.to_string()).unwrap_or_default();
        obs::record(
            &shared.log,
            Event::JobDecided,
            &[("job", &job), ("why", &note.text)],
        );
    }
}

async fn start(shared: Rc<Shared>, lead: Rc<Lead>, order: StartRequest) {
    let answer = shared.workers.start(&order).await;
    let outcome = match &answer {
        StartResponse::Accepted(_) => "accepted",
        StartResponse::Fenced => "fenced",
        StartResponse::NoTicket => "its ticket does not hold",
        StartResponse::Refused(why) | StartResponse::Unknown(why) => why,
    };
    obs::record(
        &shared.log,
        Event::RunOrdered,
        &[
            ("task", &order.task),
            ("run", &order.run),
            ("worker", &order.worker),
            ("epoch", &order.epoch),
            ("outcome", &outcome),
        ],
    );
    let result = match &answer {
        StartResponse::Accepted(_) => "accepted",
        StartResponse::Fenced => "fenced",
        StartResponse::NoTicket | StartResponse::Refused(_) => "refused",
        StartResponse::Unknown(_) => "no-answer",
    };
    shared.starts.add(&[("outcome", result)], 1);
    if lead.over.get() {
        return;
    }
    lead.book
        .borrow_mut()
        .start_response(&order, answer, shared.now());
    if lead.book.borrow().is_fenced() {
        lead.end();
    }
    lead.wake.notify_one();
}

/// Sends stops and paces, also while records wait to be stored.
pub async fn stops(shared: Rc<Shared>, lead: Rc<Lead>) {
    while !lead.over.get() {
        let orders = lead.book.borrow_mut().stop_requests(shared.now());
        for order in orders {
            actix_rt::spawn(stop(shared.clone(), lead.clone(), order));
        }
        let paces = lead.book.borrow_mut().throttle_requests(shared.now());
        for order in paces {
            actix_rt::spawn(pace(shared.clone(), lead.clone(), order));
        }
        shared.sleep(Millis(20)).await;
    }
}

async fn stop(shared: Rc<Shared>, lead: Rc<Lead>, order: StopRequest) {
    match shared.workers.stop(&order).await {
        Ok(Some(clock)) if !lead.over.get() => {
            lead.book.borrow_mut().stop_accepted(&order, clock);
        }
        Ok(_) => {}
        Err(error) => {
            let Some(held) = shared.stop_lines.pass(shared.now()) else {
                return;
            };
            let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
                ("task", &order.task),
                ("worker", &order.worker),
                ("error", &error),
                ("more", &held),
            ];
            obs::record(&shared.log, Event::StopUnanswered, fields);
        }
    }
}

async fn pace(shared: Rc<Shared>, lead: Rc<Lead>, order: ThrottleRequest) {
    let outcome = match shared.workers.throttle(&order).await {
        Ok(true) => {
            lead.book.borrow_mut().throttle_accepted(&order);
            "accepted".to_string()
        }
        Ok(false) => "refused".to_string(),
        Err(error) => error.to_string(),
    };
    let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
        ("task", &order.task),
        ("worker", &order.worker),
        ("percent", &order.percent),
        ("epoch", &order.epoch),
        ("outcome", &outcome),
    ];
    obs::record(&shared.log, Event::PaceOrdered, fields);
}

/// Publishes the load, and removes records that are no longer needed.
pub async fn publish(shared: Rc<Shared>, lead: Rc<Lead>) {
    let mut told: Option<Load> = None;
    let mut revision: Option<Revision> = None;
    let mut expired = shared.now();
    while !lead.over.get() {
        let load = lead.book.borrow().load();
        if told.as_ref() != Some(&load) {
            match publish_load(&shared, &lead, &load, revision).await {
                Some(at) => {
                    revision = Some(at);
                    told = Some(load);
                }
                None => revision = None,
            }
        }
        if shared.now().since(expired) > EXPIRE {
            expired = shared.now();
            expire(&shared, &lead).await;
        }
        shared.sleep(PUBLISH).await;
    }
}

async fn publish_load(
    shared: &Shared,
    lead: &Lead,
    load: &Load,
    revision: Option<Revision>,
) -> Option<Revision> {
    let revision = match revision {
        Some(revision) => revision,
        None => {
            let item = shared.store.get(keys::LOAD).await;
            let item = item.map_err(|e| shared.heard_store(Err(&e))).ok()?;
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
        conditions: vec![(keys::LOCK.to_string(), lead.lock), (key.clone(), revision)],
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
            shared.heard_store(Err(&error));
            None
        }
    }
}

async fn expire(shared: &Shared, lead: &Lead) {
    let old = lead.book.borrow_mut().expire(shared.now());
    for id in old {
        let txn = Txn {
            conditions: vec![(keys::LOCK.to_string(), lead.lock)],
            puts: Vec::new(),
            removes: vec![keys::job(&id), keys::cancel(&id), keys::run(&id)],
        };
        if let Err(error) = shared.store.commit(&txn).await {
            // The records stay until a later coordinator reads and removes them.
            shared.heard_store(Err(&error));
        }
        lead.revisions.borrow_mut().remove(&id);
    }
}
