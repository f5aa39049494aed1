//! Follows the operators' documents.

use std::rc::Rc;

use base::Millis;
use obs::Event;
use platform::decode_entry;
use platform::Change;
use platform::Listing;
use platform::StoreEntry;
use platform::StoreError;
use platform::OPERATOR_PREFIX;

use crate::batch::shared::Shared;
use crate::batch::shared::STORE_TIMEOUT;

/// Pause after a failed call, and its spread.
const PAUSE: Millis = Millis(150);

/// Time without an answer of the store after which callers are better served elsewhere; a lost
/// answer is made up for within it.
const LOST: Millis = Millis(300);

/// Wait of a watch while the store does not answer, so that its return is soon seen.
const PROBE: Millis = Millis(50);

/// Follows the documents until the process ends.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let sent = shared.now();
        match shared.store.list(OPERATOR_PREFIX).await {
            Ok(listing) => {
                shared.heard_store(Ok(()));
                let revision = listing.revision;
                take_all(&shared, listing, sent);
                ready(&shared);
                follow(&shared, revision).await;
            }
            Err(error) => shared.heard_store(Err(&error)),
        }
        ready(&shared);
        shared.sleep(PAUSE + shared.spread(PAUSE)).await;
    }
}

/// Watches from `after` on until the history is gone.
async fn follow(shared: &Rc<Shared>, mut after: base::Revision) {
    loop {
        let sent = shared.now();
        let wait = match shared.store_lost() > Millis::ZERO {
            true => PROBE,
            false => shared.times.watch_wait,
        };
        let seen = shared.quick.watch(OPERATOR_PREFIX, after, wait).await;
        match seen {
            Ok(seen) => {
                shared.heard_store(Ok(()));
                after = seen.revision.max(after);
                for change in &seen.changes {
                    take(shared, change);
                }
                shared.facts.borrow_mut().fresh = sent;
                ready(shared);
            }
            Err(StoreError::Compacted) => return,
            Err(error) => {
                shared.heard_store(Err(&error));
                ready(shared);
                shared.sleep(PAUSE + shared.spread(PAUSE)).await;
            }
        }
    }
}

/// The daemon wants callers while it has a configuration and the store answers.
fn ready(shared: &Shared) {
    let facts = shared.facts.borrow();
    let age = shared.now().since(facts.fresh);
    let fresh = age <= shared.times.watch_wait + STORE_TIMEOUT + STORE_TIMEOUT;
    let answered = shared.store_lost() <= LOST;
    let ready = facts.catalog.is_some() && fresh && answered;
    if ready != shared.ready.get() && !shared.stopping.get() {
        let version = facts.catalog.as_ref().map_or(0, |c| c.version);
        let event = if ready {
            Event::DaemonReady
        } else {
            Event::DaemonNotReady
        };
        obs::record(&shared.log, event, &[("version", &version), ("age", &age)]);
    }
    shared.ready.set(ready);
}

fn take_all(shared: &Rc<Shared>, listing: Listing, sent: Millis) {
    let listed = |number: &u64| {
        let key = format!("/{number}");
        listing.items.iter().any(|item| item.key.ends_with(&key))
    };
    {
        let mut facts = shared.facts.borrow_mut();
        facts.out.clear();
        facts.waves.retain(|number, _| listed(number));
    }
    for item in listing.items {
        take(shared, &Change::Put(item));
    }
    shared.facts.borrow_mut().fresh = sent;
    tell_book(shared);
}

fn take(shared: &Rc<Shared>, change: &Change) {
    let (key, value) = match change {
        Change::Put(item) => (&item.key, item.value.as_deref()),
        Change::Removed { key, .. } => (key, None),
    };
    let removed = matches!(change, Change::Removed { .. });
    match decode_entry(key, value) {
        StoreEntry::Catalog(Ok(catalog)) => {
            let mut facts = shared.facts.borrow_mut();
            let held = facts.catalog.as_ref().map_or(0, |c| c.version);
            if catalog.version > held {
                obs::record(
                    &shared.log,
                    Event::SettingsApplied,
                    &[("version", &catalog.version), ("before", &held)],
                );
                facts.catalog = Some(Rc::new(*catalog));
            }
        }
        StoreEntry::Catalog(Err(why)) => {
            let fields: &[(&'static str, &dyn std::fmt::Display)] =
                &[("key", key), ("error", &why)];
            obs::record(&shared.log, Event::InputRefused, fields);
        }
        StoreEntry::DomainOut(domain) => {
            let event = if removed {
                Event::DomainBack
            } else {
                Event::DomainOut
            };
            obs::record(&shared.log, event, &[("domain_out", &domain)]);
            let mut facts = shared.facts.borrow_mut();
            match removed {
                true => facts.out.remove(&domain),
                false => facts.out.insert(domain),
            };
        }
        StoreEntry::Wave(number, Ok(wave)) => {
            let now = shared.now();
            let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
                ("wave", &number),
                ("machines", &wave.machines.len()),
                ("cap", &wave.cap),
                ("span", &wave.span),
            ];
            obs::record(&shared.log, Event::WaveAsked, fields);
            let mut facts = shared.facts.borrow_mut();
            let seen = facts.waves.get(&number).map_or(now, |(_, seen)| *seen);
            facts.waves.insert(number, (wave, seen));
        }
        StoreEntry::Wave(number, Err(why)) => {
            if !removed {
                let fields: &[(&'static str, &dyn std::fmt::Display)] =
                    &[("key", key), ("error", &why)];
                obs::record(&shared.log, Event::InputRefused, fields);
            }
            shared.facts.borrow_mut().waves.remove(&number);
        }
        StoreEntry::Other | StoreEntry::Worker(..) => {}
    }
    tell_book(shared);
}

/// Passes the documents on to the coordinator's book.
pub fn tell_book(shared: &Shared) {
    let Some(lead) = shared.leading() else { return };
    let facts = shared.facts.borrow();
    let mut book = lead.book.borrow_mut();
    if let Some(catalog) = &facts.catalog {
        book.configure(catalog.as_ref().clone());
    }
    book.exclude_domains(facts.out.clone());
    book.set_waves(facts.waves.values());
    lead.wake.notify_one();
}
