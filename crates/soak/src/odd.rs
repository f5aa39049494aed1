//! Another writer's entries among those of the workers, and odd rows in what workers report.

use std::rc::Rc;

use base::Millis;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::json;
use serde_json::Value;

use crate::site::Site;

/// Time from one odd entry to the next, in milliseconds, for a site of the default size.
const INTERVAL_MS: std::ops::Range<u64> = 200..1_500;

/// Time for which a worker reports odd rows, in milliseconds. It is below the time for which a
/// coordinator leaves alone a run that such a row may hide: after that, a task that has ended unread may
/// run again.
const DURATION_MS: std::ops::Range<u64> = 100..2_000;

/// Nesting of a value that would use up the stack of a recursive decoder.
const DEPTH: usize = 20_000;

/// Writes odd entries and makes workers report odd rows until `end`.
pub async fn run(site: Rc<Site>, seed: u64, end: Millis) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x0dd);
    loop {
        let pause = rng.random_range(INTERVAL_MS) / site.scale();
        site.sleep(Millis(pause)).await;
        if site.now() >= end {
            break;
        }
        let worker = rng.random_range(0..site.workers.borrow().len());
        let number = rng.random_range(0..1_000_u64);
        match rng.random_range(0..4) {
            0 => write_entry(&site, worker, number),
            1 => replace_entry(&site, worker, number),
            _ => {
                let duration = Millis(rng.random_range(DURATION_MS));
                let damage = DAMAGE[number as usize % DAMAGE.len()];
                actix_rt::spawn(damage_rows(site.clone(), worker, damage, duration));
            }
        }
    }
}

/// An entry from which no worker can be used: the sound one of a worker with one odd value, or none at
/// all.
fn odd_entry(sound: &Value, number: u64) -> Value {
    let mut entry = sound.clone();
    match number % 7 {
        0 => entry["address"] = json!("127.0.0.1:99999"),
        1 => entry["address"] = json!("255.255.255.255:80"),
        2 => entry["capacity"]["gpus"] = json!(u64::MAX),
        3 => entry["born"] = json!(u64::MAX),
        4 => entry["labels"] = json!(vec!["x"; 100_000]),
        5 => entry = json!("[".repeat(DEPTH)),
        _ => entry = json!({ "service": 7, "state": null }),
    }
    entry
}

fn registration(site: &Site, worker: usize) -> (String, Value) {
    let workers = site.workers.borrow();
    let handle = &workers[worker];
    handle
        .worker
        .registration_at(handle.relay.addr(), "pool", "ready")
}

/// Writes an entry beside that of a worker.
fn write_entry(site: &Site, worker: usize, number: u64) {
    let (key, sound) = registration(site, worker);
    let entry = odd_entry(&sound, number);
    site.record_fault(site.now(), false, format!("odd entry beside {key}"));
    site.store.write(&format!("{key}-odd"), &entry);
}

/// Writes over the entry of a worker, which writes it again with its next renewal.
fn replace_entry(site: &Site, worker: usize, number: u64) {
    let (key, sound) = registration(site, worker);
    if site.store.value(&key).is_some() {
        let end = site.now() + crate::site::DEFAULT_HEARTBEAT;
        site.record_fault(end, false, format!("odd entry in place of {key}"));
        site.store.write(&key, &odd_entry(&sound, number));
    }
}

async fn damage_rows(site: Rc<Site>, worker: usize, damage: fn(&mut Value), duration: Millis) {
    let end = site.now() + duration;
    site.record_fault(end, false, format!("worker {worker} reports odd rows"));
    let set = |damage| site.workers.borrow()[worker].worker.set_damage(damage);
    set(Some(damage));
    site.sleep(duration).await;
    set(None);
}

/// The ways in which rows of a report are made odd.
const DAMAGE: [fn(&mut Value); 4] = [add_rows, damage_percent, damage_runs, damage_ends];

fn rows<'a>(report: &'a mut Value, list: &str) -> &'a mut Vec<Value> {
    report[list].as_array_mut().expect("a list of rows")
}

fn add_rows(report: &mut Value) {
    for list in ["running", "finished"] {
        rows(report, list).insert(0, json!([[], u64::MAX]));
        rows(report, list).push(json!({ "task": 1 }));
    }
}

fn damage_percent(report: &mut Value) {
    for row in rows(report, "running") {
        row[3] = json!("half");
    }
}

fn damage_runs(report: &mut Value) {
    if let Some(row) = rows(report, "running").first_mut() {
        *row = Value::Null;
    }
}

fn damage_ends(report: &mut Value) {
    for row in rows(report, "finished") {
        row[3] = json!("vanished");
    }
}
