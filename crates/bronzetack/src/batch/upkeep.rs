//! Waves of upkeep: reads the list of machines, records and sends orders, tells the operators.

use std::rc::Rc;

use base::Millis;
use base::Revision;
use batch::wave::UpkeepRequest;
use batch::wave::UpkeepResponse;
use batch::wave::WaveRecord;
use obs::Event;
use platform::wave_status;
use platform::Machines;
use platform::Put;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::keys;
use crate::batch::lead::Lead;
use crate::batch::shared::Shared;

/// Shortest time between two passes. Machines are down for seconds.
const TURN: Millis = Millis(250);

/// Part of the calls that the service takes which is used at most: one in this many.
const SHARE: f64 = 2.0;

/// Looks for waves until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Lead>) {
    let since = shared.now();
    let settings = shared.settings.machines;
    let mut pages = 1;
    let mut failing = false;
    while !lead.over.get() {
        if !lead.book.borrow_mut().waves().is_active() {
            lead.book.borrow_mut().uncordon_workers();
        } else {
            match &shared.machines {
                Some(machines) => match pass(&shared, &lead, machines, since).await {
                    Ok(read) => {
                        pages = read.max(1);
                        failing = false;
                    }
                    Err(error) if !failing => {
                        failing = true;
                        let fields: &[(&'static str, &dyn std::fmt::Display)] =
                            &[("error", &error)];
                        obs::record(&shared.log, Event::UpkeepHeld, fields);
                    }
                    Err(_) => {}
                },
                None if !failing => {
                    failing = true;
                    let fields: &[(&'static str, &dyn std::fmt::Display)] =
                        &[("error", &"the settings name no service of machines")];
                    obs::record(&shared.log, Event::UpkeepHeld, fields);
                }
                None => {}
            }
        }
        let gap = Millis((f64::from(pages) * 1_000.0 * SHARE / settings.reads) as u64);
        shared.sleep(TURN.max(gap)).await;
    }
}

/// Reads the list and gives the orders that are due. Returns how many pages the list had.
async fn pass(
    shared: &Shared,
    lead: &Lead,
    machines: &Machines,
    since: Millis,
) -> Result<u32, String> {
    let sent = shared.now();
    let (listed, pages) = machines.list().await.map_err(|e| e.to_string())?;
    lead.book.borrow_mut().waves().set_machines(listed, sent);
    // An earlier coordinator may have ordered something just before it lost the lock.
    if shared.now().since(since) < shared.settings.bounds.handover {
        return Ok(pages);
    }
    let takes = shared.settings.bounds.upkeep;
    let now = shared.now();
    let orders = lead.book.borrow_mut().plan_upkeep(takes, now);
    lead.wake.notify_one();
    record(shared, lead).await.map_err(|e| e.to_string())?;
    for order in orders {
        // The fence holds only where it is checked, so nothing is sent near the lock's end.
        if lead.over.get() || shared.now() + machines.timeout() > lead.until.get() {
            break;
        }
        let answer = machines.upkeep(&order).await;
        log_answer(shared, &order, &answer);
        let now = shared.now();
        lead.book.borrow_mut().upkeep_response(&order, &answer, now);
        if lead.book.borrow().is_fenced() {
            lead.end();
        }
        let gap = Millis((1_000.0 * SHARE / shared.settings.machines.orders) as u64);
        shared.sleep(gap).await;
    }
    record(shared, lead).await.map_err(|e| e.to_string())?;
    Ok(pages)
}

fn log_answer(shared: &Shared, order: &UpkeepRequest, answer: &UpkeepResponse) {
    let outcome = match answer {
        UpkeepResponse::Begun => "begun",
        UpkeepResponse::Fenced => "fenced",
        UpkeepResponse::Gone => "no such machine",
        UpkeepResponse::Later(why) | UpkeepResponse::Unknown(why) => why,
    };
    let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
        ("machine", &order.machine),
        ("wave", &order.wave),
        ("epoch", &order.epoch),
        ("outcome", &outcome),
    ];
    obs::record(&shared.log, Event::UpkeepOrdered, fields);
}

/// Records what has changed, and tells the operators.
async fn record(shared: &Shared, lead: &Lead) -> Result<(), StoreError> {
    let changed = lead.book.borrow_mut().waves().unrecorded();
    for (number, record) in changed {
        let mut value = Vec::new();
        ciborium::into_writer(&record, &mut value)
            .map_err(|e| StoreError::Protocol(e.to_string()))?;
        let (status, told) = wave_status(number, record.is_over);
        let put = |key: String, value: Vec<u8>| Put {
            key,
            value,
            lease: Default::default(),
        };
        let key = keys::wave(number);
        let known = lead
            .waves
            .borrow()
            .get(&number)
            .copied()
            .unwrap_or_default();
        // The record's revision keeps an attempt without an answer from undoing a later one.
        let txn = Txn {
            conditions: vec![(keys::LOCK.to_string(), lead.lock), (key.clone(), known)],
            puts: vec![put(key.clone(), value), put(status, told)],
            removes: Vec::new(),
        };
        match shared.store.commit(&txn).await? {
            TxnOutcome::Done(revision) => {
                lead.waves.borrow_mut().insert(number, revision);
                lead.book.borrow_mut().waves().mark_recorded(number, record);
            }
            TxnOutcome::Conflict(items) => {
                let held = items.iter().find(|i| i.key == keys::LOCK);
                if held.is_none_or(|i| i.revision != lead.lock) {
                    lead.end();
                    return Err(StoreError::Protocol("the lock is lost".to_string()));
                }
                let item = items.iter().find(|i| i.key == key);
                let revision = item.map_or(Revision(0), |i| i.revision);
                lead.waves.borrow_mut().insert(number, revision);
                let text = "an earlier attempt was carried out; it is written anew".to_string();
                return Err(StoreError::Unknown(text));
            }
            TxnOutcome::LeaseEnded => {
                let text = "a lease that was not named".to_string();
                return Err(StoreError::Protocol(text));
            }
        }
    }
    Ok(())
}

/// Reads what an earlier coordinator has recorded.
pub async fn recorded(shared: &Shared, lead: &Lead) -> Result<Vec<(u64, WaveRecord)>, StoreError> {
    let listing = shared.store.list(keys::WAVES).await?;
    let mut found = Vec::new();
    for item in listing.items {
        let number = keys::wave_of(&item.key);
        let record = item.value.as_deref().map(ciborium::from_reader);
        match (number, record) {
            (Some(number), Some(Ok(record))) => {
                lead.waves.borrow_mut().insert(number, item.revision);
                found.push((number, record));
            }
            _ => obs::record(&shared.log, Event::InputRefused, &[("key", &item.key)]),
        }
    }
    Ok(found)
}
