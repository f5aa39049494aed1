//! Upkeep waves, in which machines are taken down a few at a time: reads the list of machines,
//! sends upkeep requests to the machine service, and stores the waves' records and status.

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
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Shortest time between two passes. Machines are down for seconds, so shorter intervals gain
/// little.
const PASS_INTERVAL_MIN: Millis = Millis(250);

/// The machine service is called at its rate limit divided by this at most.
const RATE_DIVISOR: f64 = 2.0;

/// Names the list of machines in the log.
const MACHINES: &str = "machines";

/// Carries out upkeep waves until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Leadership>) {
    let started = shared.now();
    let settings = shared.settings.machines;
    let mut pages = 1;
    let mut failing = false;
    while !lead.ended.get() {
        if !lead.scheduler.borrow_mut().waves().is_active() {
            lead.scheduler.borrow_mut().uncordon_workers();
        } else {
            match &shared.machines {
                Some(machines) => match pass(&shared, &lead, machines, started).await {
                    Ok(read) => {
                        pages = read.max(1);
                        failing = false;
                    }
                    Err(error) if !failing => {
                        failing = true;
                        let fields: &[(&'static str, &dyn std::fmt::Display)] =
                            &[("error", &error)];
                        obs::record(&shared.log, Event::UpkeepDelayed, fields);
                    }
                    Err(_) => {}
                },
                None if !failing => {
                    failing = true;
                    let fields: &[(&'static str, &dyn std::fmt::Display)] =
                        &[("error", &"no machine service is configured")];
                    obs::record(&shared.log, Event::UpkeepDelayed, fields);
                }
                None => {}
            }
        }
        let interval = Millis((f64::from(pages) * 1_000.0 * RATE_DIVISOR / settings.reads) as u64);
        shared.sleep(PASS_INTERVAL_MIN.max(interval)).await;
    }
}

/// Reads the list of machines and sends the requests that are due. Returns the number of pages of
/// the list.
async fn pass(
    shared: &Shared,
    lead: &Leadership,
    machines: &Machines,
    started: Millis,
) -> Result<u32, String> {
    let sent = shared.now();
    let list = machines.list().await.map_err(|e| e.to_string())?;
    let pages = list.pages;
    if let Some(why) = &list.refused {
        shared.refuse(MACHINES, why);
    }
    {
        let mut scheduler = lead.scheduler.borrow_mut();
        match list.is_partial {
            true => scheduler.waves().add_machines(list.machines, sent),
            false => scheduler.waves().set_machines(list.machines, sent),
        }
    }
    // An earlier coordinator may have sent a request just before it lost the lock.
    if shared.now().since(started) < shared.settings.bounds.handover {
        lead.scheduler.borrow_mut().cordon_open();
        return Ok(pages);
    }
    let upkeep_time = shared.settings.bounds.upkeep;
    let now = shared.now();
    let requests = lead.scheduler.borrow_mut().plan_upkeep(upkeep_time, now);
    lead.wake.notify_one();
    store_records(shared, lead)
        .await
        .map_err(|e| e.to_string())?;
    for request in requests {
        // Fencing protects only where the epoch is checked, so nothing is sent if the lock could
        // expire before the call ends.
        if lead.ended.get() || shared.now() + machines.timeout() > lead.lease_status.valid_until() {
            break;
        }
        let response = machines.upkeep(&request).await;
        log_response(shared, &request, &response);
        let now = shared.now();
        lead.scheduler
            .borrow_mut()
            .upkeep_response(&request, &response, now);
        if lead.scheduler.borrow().is_fenced() {
            lead.end();
        }
        let interval = Millis((1_000.0 * RATE_DIVISOR / shared.settings.machines.orders) as u64);
        shared.sleep(interval).await;
    }
    store_records(shared, lead)
        .await
        .map_err(|e| e.to_string())?;
    Ok(pages)
}

fn log_response(shared: &Shared, request: &UpkeepRequest, response: &UpkeepResponse) {
    let outcome = match response {
        UpkeepResponse::Begun => "begun",
        UpkeepResponse::Fenced => "fenced",
        UpkeepResponse::Gone => "no such machine",
        UpkeepResponse::Later(why) | UpkeepResponse::Unknown(why) => why,
    };
    let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
        ("machine", &request.machine),
        ("wave", &request.wave),
        ("epoch", &request.epoch),
        ("outcome", &outcome),
    ];
    obs::record(&shared.log, Event::UpkeepRequested, fields);
}

/// Stores the records of changed waves, together with the status that operators read.
async fn store_records(shared: &Shared, lead: &Leadership) -> Result<(), StoreError> {
    let changed = lead.scheduler.borrow_mut().waves().unrecorded();
    for (number, record) in changed {
        let mut value = Vec::new();
        ciborium::into_writer(&record, &mut value)
            .map_err(|e| StoreError::Protocol(e.to_string()))?;
        let (status_key, status) = wave_status(number, record.is_over);
        let put = |key: String, value: Vec<u8>| Put {
            key,
            value,
            lease: Default::default(),
        };
        let key = keys::wave(number);
        let known = lead
            .wave_revisions
            .borrow()
            .get(&number)
            .copied()
            .unwrap_or_default();
        // The condition on the record's revision keeps a write without a response, which may take
        // effect late, from overwriting a later record.
        let txn = Txn {
            conditions: vec![
                (keys::LOCK.to_string(), lead.lock_revision),
                (key.clone(), known),
            ],
            puts: vec![put(key.clone(), value), put(status_key, status)],
            removes: Vec::new(),
        };
        match shared.store.commit(&txn).await? {
            TxnOutcome::Done(revision) => {
                lead.wave_revisions.borrow_mut().insert(number, revision);
                lead.scheduler
                    .borrow_mut()
                    .waves()
                    .mark_recorded(number, record);
            }
            TxnOutcome::Conflict(items) => {
                let lock = items.iter().find(|i| i.key == keys::LOCK);
                if lock.is_none_or(|i| i.revision != lead.lock_revision) {
                    lead.end();
                    return Err(StoreError::Protocol(
                        "the coordinator lock was lost".to_string(),
                    ));
                }
                let item = items.iter().find(|i| i.key == key);
                let revision = item.map_or(Revision(0), |i| i.revision);
                lead.wave_revisions.borrow_mut().insert(number, revision);
                let text =
                    "an earlier attempt took effect; the record will be written again".to_string();
                return Err(StoreError::Unknown(text));
            }
            TxnOutcome::LeaseEnded => {
                let text =
                    "the store reported an ended lease, but the transaction named none".to_string();
                return Err(StoreError::Protocol(text));
            }
        }
    }
    Ok(())
}

/// Reads the records of waves that earlier coordinators have stored.
pub async fn read_records(
    shared: &Shared,
    lead: &Leadership,
) -> Result<Vec<(u64, WaveRecord)>, StoreError> {
    let listing = shared.store.list(keys::WAVES).await?;
    let mut found = Vec::new();
    for item in listing.items {
        let number = keys::parse_wave(&item.key);
        let record = item.value.as_deref().map(ciborium::from_reader);
        match (number, record) {
            (Some(number), Some(Ok(record))) => {
                lead.wave_revisions
                    .borrow_mut()
                    .insert(number, item.revision);
                found.push((number, record));
            }
            _ => shared.refuse(
                &item.key,
                &"the number or the record of the wave cannot be read",
            ),
        }
    }
    Ok(found)
}
