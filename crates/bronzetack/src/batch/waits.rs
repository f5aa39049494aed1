//! Log lines about the jobs that have nothing running.

use std::fmt::Display;

use base::Millis;
use base::ServiceId;
use batch::Resources;
use batch::WaitSummary;
use obs::Event;

use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Time between two summaries.
const INTERVAL: Millis = Millis(5_000);

/// Most organisations and pools in one summary, each with a line of its own.
const MAX_LINES: usize = 8;

/// Logs at intervals which jobs have nothing running, and what the coordinator believes about them.
pub fn log(shared: &Shared, lead: &Leadership) {
    let now = shared.now();
    if now.since(lead.waits_logged.get()) < INTERVAL {
        return;
    }
    lead.waits_logged.set(now);
    let summaries = lead.scheduler.borrow().wait_summaries(now);
    let more = summaries.len().saturating_sub(MAX_LINES);
    for summary in summaries.iter().take(MAX_LINES) {
        log_summary(shared, lead, summary, more);
    }
}

fn log_summary(shared: &Shared, lead: &Leadership, summary: &WaitSummary, more: usize) {
    let now = shared.now();
    let org = summary
        .org
        .as_ref()
        .map(|o| o.to_string())
        .unwrap_or_default();
    let named = summary.longest.iter();
    let named: Vec<String> = named.map(|(waited, id)| format!("{id} {waited}")).collect();
    let reasons = summary.reasons.iter();
    let reasons: Vec<String> = reasons.map(|(why, jobs)| format!("{jobs} {why}")).collect();
    let (used, workers) = describe_pool(lead, &summary.pool, now);
    let (entries, requests) = lead.confirmed.get();
    let documents = shared.documents.borrow().confirmed;
    let fields: &[(&'static str, &dyn Display)] = &[
        ("org", &org),
        ("pool", &summary.pool),
        ("jobs", &summary.jobs),
        ("longest", &named.join(", ")),
        ("why", &reasons.join(", ")),
        ("used", &used),
        ("workers", &workers),
        ("documents", &now.since(documents)),
        ("entries", &now.since(entries)),
        ("requests", &now.since(requests)),
        ("more", &more),
    ];
    obs::record(&shared.log, Event::WorkWaits, fields);
}

/// Which part of each resource of a pool is in use, and its workers by state.
fn describe_pool(lead: &Leadership, pool: &ServiceId, now: Millis) -> (String, String) {
    let found = lead.scheduler.borrow().pool_use(pool, now);
    let Resources {
        cpu,
        memory,
        accels,
    } = found.capacity.saturating_sub(&found.free);
    let percent = |used: u64, all: u64| (used * 100).checked_div(all).unwrap_or_default();
    let used = format!(
        "cpu {}% memory {}% accels {}%",
        percent(cpu, found.capacity.cpu),
        percent(memory, found.capacity.memory),
        percent(accels, found.capacity.accels)
    );
    let workers = found.workers.iter();
    let workers: Vec<String> = workers
        .map(|(state, count)| format!("{count} {}", state.name()))
        .collect();
    (used, workers.join(", "))
}
