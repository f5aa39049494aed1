//! Watches the operators' documents (configuration, failure domains out of service, upkeep waves)
//! and updates readiness.

use std::rc::Rc;

use base::DomainId;
use base::Millis;
use base::Set;
use batch::Catalog;
use obs::Event;
use platform::decode_entry;
use platform::Change;
use platform::Listing;
use platform::StoreEntry;
use platform::StoreError;
use platform::OPERATOR_PREFIX;

use crate::batch::restore::refuse_rows;
use crate::batch::shared::Shared;
use crate::batch::shared::CALLER_STORE_TIMEOUT;

/// Delay after a failed call, and the largest random delay added to it.
const RETRY_DELAY: Millis = Millis(150);

/// Outage of the store after which the daemon is not ready, so that callers are sent to other
/// daemons. After a single lost response the call is repeated within this time.
const OUTAGE_TOLERANCE: Millis = Millis(300);

/// Wait of a watch call during an outage of the store; short, so that its end is seen soon.
const OUTAGE_WATCH_WAIT: Millis = Millis(50);

/// Largest response of a watch that is read. What changed is listed instead if it is larger: over a
/// slow link, every version that was written during a transfer would make the next one longer.
const MAX_WATCH_BYTES: usize = 256 << 10;

/// Reads and watches the documents until the process ends.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let sent = shared.now();
        match shared.store.list(OPERATOR_PREFIX).await {
            Ok(listing) => {
                shared.record_store_result(Ok(()));
                let revision = listing.revision;
                shared.note_revision(sent, revision);
                refuse_rows(&shared, OPERATOR_PREFIX, &listing.refused);
                apply_listing(&shared, listing, sent);
                update_ready(&shared);
                if watch(&shared, revision).await == WatchEnd::TooLarge {
                    continue;
                }
            }
            Err(error) => shared.record_store_result(Err(&error)),
        }
        update_ready(&shared);
        shared
            .sleep(RETRY_DELAY + shared.random_up_to(RETRY_DELAY))
            .await;
    }
}

/// Why the documents are listed again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WatchEnd {
    /// The store has compacted the history that is needed.
    Compacted,
    /// The changes cannot be read.
    Malformed,
    /// The changes are larger than what they have led to.
    TooLarge,
}

/// Watches for changes after `after` until the documents have to be listed again.
async fn watch(shared: &Rc<Shared>, mut after: base::Revision) -> WatchEnd {
    let store = shared.store.with_timeout(CALLER_STORE_TIMEOUT);
    loop {
        let sent = shared.now();
        let wait = match shared.store_outage() > Millis::ZERO {
            true => OUTAGE_WATCH_WAIT,
            false => shared.times.watch_wait,
        };
        let watched = store
            .watch_within(OPERATOR_PREFIX, after, wait, MAX_WATCH_BYTES)
            .await;
        match watched {
            Ok(watched) => {
                shared.record_store_result(Ok(()));
                after = watched.revision.max(after);
                shared.note_revision(sent, watched.revision);
                refuse_rows(shared, OPERATOR_PREFIX, &watched.refused);
                for change in &watched.changes {
                    apply_change(shared, change, sent);
                }
                if !watched.changes.is_empty() {
                    update_scheduler(shared);
                }
                shared.documents.borrow_mut().confirmed = sent;
                update_ready(shared);
                if !watched.is_whole() {
                    return WatchEnd::Malformed;
                }
            }
            Err(StoreError::Compacted) => return WatchEnd::Compacted,
            Err(StoreError::TooLarge) => return WatchEnd::TooLarge,
            Err(error @ StoreError::Malformed(_)) => {
                shared.record_store_result(Err(&error));
                shared.refuse(OPERATOR_PREFIX, &error);
                return WatchEnd::Malformed;
            }
            Err(error) => {
                shared.record_store_result(Err(&error));
                update_ready(shared);
                shared
                    .sleep(RETRY_DELAY + shared.random_up_to(RETRY_DELAY))
                    .await;
            }
        }
    }
}

/// The configuration by which a call received at `at` may be decided, if it is at least `version`.
/// A change that is not in it was made after the last confirmation, so that callers do not rely on it
/// before `config_apply` has passed.
pub fn current_catalog(shared: &Shared, at: Millis, version: u64) -> Option<Rc<Catalog>> {
    let documents = shared.documents.borrow();
    let current = at.since(documents.confirmed) <= shared.bounds.config_apply;
    let catalog = documents.catalog.as_ref()?;
    (current && catalog.version >= version).then(|| catalog.clone())
}

/// Updates readiness: the daemon is ready while it has a current configuration and the store
/// answers.
fn update_ready(shared: &Shared) {
    let documents = shared.documents.borrow();
    let age = shared.now().since(documents.confirmed);
    let current = age <= shared.bounds.config_apply;
    let store_up = shared.store_outage() <= OUTAGE_TOLERANCE;
    let ready = documents.catalog.is_some() && current && store_up;
    if ready != shared.ready.is_ready() && !shared.stopping.get() {
        let version = documents.catalog.as_ref().map_or(0, |c| c.version);
        let event = if ready {
            Event::DaemonReady
        } else {
            Event::DaemonNotReady
        };
        obs::record(&shared.log, event, &[("version", &version), ("age", &age)]);
    }
    shared.ready.set(ready);
}

fn apply_listing(shared: &Rc<Shared>, listing: Listing, sent: Millis) {
    let mut waves: Set<u64> = Set::default();
    let mut excluded: Set<DomainId> = Set::default();
    for item in &listing.items {
        match decode_entry(&item.key, None) {
            StoreEntry::Wave(number, _) => drop(waves.insert(number)),
            StoreEntry::DomainOut(domain) => drop(excluded.insert(domain)),
            _ => {}
        }
    }
    let before = shared.documents.borrow().excluded.clone();
    for domain in before.difference(&excluded) {
        exclude_domain(shared, domain, false);
    }
    shared
        .documents
        .borrow_mut()
        .waves
        .retain(|number, _| waves.contains(number));
    for item in listing.items {
        apply_change(shared, &Change::Put(item), sent);
    }
    shared.documents.borrow_mut().confirmed = sent;
    update_scheduler(shared);
}

/// Applies a change that was read by a call sent at `sent`.
fn apply_change(shared: &Rc<Shared>, change: &Change, sent: Millis) {
    let (key, value) = match change {
        Change::Put(item) => (&item.key, item.value.as_deref()),
        Change::Removed { key, .. } => (key, None),
    };
    let removed = matches!(change, Change::Removed { .. });
    match decode_entry(key, value) {
        StoreEntry::Catalog(Ok(catalog)) => {
            let mut documents = shared.documents.borrow_mut();
            let held = documents.catalog.as_ref().map_or(0, |c| c.version);
            if catalog.version > held {
                let size = value.map_or(0, <[u8]>::len);
                let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
                    ("version", &catalog.version),
                    ("before", &held),
                    ("bytes", &size),
                    ("took", &shared.now().since(sent)),
                ];
                obs::record(&shared.log, Event::SettingsApplied, fields);
                documents.catalog = Some(Rc::new(*catalog));
            }
        }
        StoreEntry::Catalog(Err(why)) => shared.refuse(key, &why),
        StoreEntry::DomainOut(domain) => exclude_domain(shared, &domain, !removed),
        StoreEntry::Wave(number, Ok(wave)) => {
            let mut documents = shared.documents.borrow_mut();
            let known = documents.waves.get(&number);
            if known.is_some_and(|(known, _)| *known == wave) {
                return;
            }
            let first_seen = known.map_or(shared.now(), |(_, seen)| *seen);
            let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
                ("wave", &number),
                ("machines", &wave.machines.len()),
                ("cap", &wave.cap),
                ("span", &wave.span),
            ];
            obs::record(&shared.log, Event::WaveRequested, fields);
            documents.waves.insert(number, (wave, first_seen));
        }
        StoreEntry::Wave(number, Err(why)) => {
            if !removed {
                shared.refuse(key, &why);
            }
            shared.documents.borrow_mut().waves.remove(&number);
        }
        StoreEntry::Other | StoreEntry::Worker(..) => {}
    }
}

/// Takes a failure domain out of service or back, and logs that if it was not so before.
fn exclude_domain(shared: &Shared, domain: &DomainId, out: bool) {
    let excluded = &mut shared.documents.borrow_mut().excluded;
    let (changed, event) = match out {
        true => (excluded.insert(domain.clone()), Event::DomainOut),
        false => (excluded.remove(domain), Event::DomainBack),
    };
    if changed {
        obs::record(&shared.log, event, &[("domain_out", domain)]);
    }
}

/// Passes the documents to the scheduler, if this daemon is the coordinator.
pub fn update_scheduler(shared: &Shared) {
    let Some(lead) = shared.current_leadership() else {
        return;
    };
    let documents = shared.documents.borrow();
    let mut scheduler = lead.scheduler.borrow_mut();
    if let Some(catalog) = &documents.catalog {
        scheduler.configure(catalog);
    }
    scheduler.exclude_domains(documents.excluded.clone());
    scheduler.set_waves(documents.waves.values());
    lead.wake.notify_one();
}
