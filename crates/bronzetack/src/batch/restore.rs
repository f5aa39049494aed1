//! Reads the stored records at a take-over, and follows their changes during a leadership.

use std::rc::Rc;

use base::JobId;
use base::Map;
use base::Millis;
use base::Revision;
use base::Set;
use base::WorkerId;
use batch::JobRecord;
use batch::Progress;
use batch::Scheduler;
use batch::SeenEnd;
use obs::Event;
use platform::decode_entry;
use platform::Change;
use platform::Item;
use platform::StoreEntry;
use platform::StoreError;
use platform::WORKER_PREFIX;

use crate::batch::keys;
use crate::batch::keys::RequestKey;
use crate::batch::leadership::Leadership;
use crate::batch::removal;
use crate::batch::shared::Shared;
use crate::batch::upkeep;

/// What is wrong with an item without a value.
pub const UNREADABLE: &str = "a field cannot be read, or the value is not valid base64";

/// Delay after a failed call to the store.
const RETRY_DELAY: Millis = Millis(150);

/// Reads the workers' entries. Returns the revision from which to watch them.
pub async fn read_workers(shared: &Shared, lead: &Leadership) -> Result<Revision, StoreError> {
    let sent = shared.now();
    let workers = shared.store.list(WORKER_PREFIX).await?;
    shared.note_revision(sent, workers.revision);
    refuse_rows(shared, WORKER_PREFIX, &workers.refused);
    let now = shared.now();
    let mut scheduler = lead.scheduler.borrow_mut();
    for item in &workers.items {
        apply_worker(shared, &mut scheduler, item, now);
    }
    Ok(workers.revision)
}

/// Reads all other records, after the workers' entries, so that each run is assigned to its worker
/// as it is read. Returns the revision from which to watch callers' requests.
pub async fn read_records(shared: &Shared, lead: &Leadership) -> Result<Revision, StoreError> {
    let (runs, requests, waves) = tokio::try_join!(
        shared.store.list(keys::RUNS),
        shared.store.list(keys::REQUESTS),
        upkeep::read_records(shared, lead),
    )?;
    let now = shared.now();
    let mut scheduler = lead.scheduler.borrow_mut();
    for (number, record) in waves {
        scheduler.waves().restore(number, record);
    }
    let mut records: Map<JobId, Progress> = Map::default();
    for item in runs.items {
        let Some(id) = keys::parse_run(&item.key) else {
            continue;
        };
        lead.run_revisions
            .borrow_mut()
            .insert(id.clone(), item.revision);
        match item.value.as_deref().map(Progress::decode) {
            Some(Ok(progress)) => {
                records.insert(id, progress);
            }
            Some(Err(error)) => shared.refuse(&item.key, &error),
            None => shared.refuse(&item.key, &UNREADABLE),
        }
    }
    refuse_rows(shared, keys::RUNS, &runs.refused);
    refuse_rows(shared, keys::REQUESTS, &requests.refused);
    // A row that cannot be read may be the submission that a record belongs to.
    if requests.refused.is_empty() {
        removal::note_orphans(lead, &requests.items);
    }
    let (jobs, cancels): (Vec<Item>, Vec<Item>) = requests
        .items
        .into_iter()
        .partition(|i| matches!(keys::parse_request(&i.key), Some(RequestKey::Job(_))));
    for item in jobs {
        apply_job(shared, lead, &mut scheduler, &item, &mut records, now);
    }
    for item in cancels {
        match keys::parse_request(&item.key) {
            Some(RequestKey::Cancel(id)) => scheduler.cancel(&id, now),
            Some(RequestKey::Ends) => apply_ends(shared, &mut scheduler, &item, now),
            Some(RequestKey::Job(_)) | None => {}
        }
    }
    Ok(requests.revision)
}

fn apply_job(
    shared: &Shared,
    lead: &Leadership,
    scheduler: &mut Scheduler,
    item: &Item,
    records: &mut Map<JobId, Progress>,
    now: Millis,
) {
    let Some(RequestKey::Job(id)) = keys::parse_request(&item.key) else {
        return;
    };
    match item.value.as_deref().map(JobRecord::decode) {
        Some(Ok(JobRecord::Accepted(submitted))) => {
            let progress = records.remove(&id);
            if scheduler.contains(&id) {
                return;
            }
            let is_orphan = lead.orphans.borrow_mut().remove(&id);
            let recorded = lead.run_revisions.borrow().get(&id).copied();
            let is_recorded = recorded.is_some_and(|at| at > Revision(0)) && !is_orphan;
            if is_recorded && progress.is_none() {
                let why = "the job is left alone, as its recorded progress cannot be read";
                return shared.refuse(&item.key, &why);
            }
            let mut revisions = lead.job_revisions.borrow_mut();
            revisions.insert(id.clone(), item.revision);
            lead.last_job.set(now);
            scheduler.add(id, *submitted, progress, now);
        }
        Some(Ok(JobRecord::Refused(_))) => {}
        Some(Err(error)) => shared.refuse(&item.key, &error),
        None => shared.refuse(&item.key, &UNREADABLE),
    }
}

/// Watches a prefix and applies its changes until the leadership ends.
pub async fn watch_prefix(
    shared: Rc<Shared>,
    lead: Rc<Leadership>,
    prefix: &'static str,
    mut after: Revision,
) {
    let wait = match prefix == WORKER_PREFIX {
        true => shared.times.worker_wait,
        false => shared.times.watch_wait,
    };
    while !lead.ended.get() {
        let sent = shared.now();
        match shared.store.watch(prefix, after, wait).await {
            Ok(watched) => {
                shared.record_store_result(Ok(()));
                lead.confirm(prefix, sent);
                shared.note_revision(sent, watched.revision);
                after = watched.revision.max(after);
                refuse_rows(&shared, prefix, &watched.refused);
                let is_whole = watched.is_whole();
                if !watched.changes.is_empty() && !lead.ended.get() {
                    apply_changes(&shared, &lead, watched.changes);
                    lead.wake.notify_one();
                    lead.workers_changed.notify_one();
                }
                if prefix == WORKER_PREFIX {
                    // Each return of the watch costs a call to the store, so the changes of
                    // several workers, which all write once a heartbeat, are collected first.
                    shared.sleep(shared.times.gather_time).await;
                } else if !is_whole {
                    // A change that could not be read may have been a submission.
                    shared.sleep(RETRY_DELAY).await;
                    after = list_again(&shared, &lead, prefix).await.unwrap_or(after);
                }
            }
            // Changes that are too large or cannot be read would be the same the next time.
            Err(
                error @ (StoreError::Compacted | StoreError::Malformed(_) | StoreError::TooLarge),
            ) => {
                let fields: &[(&'static str, &dyn std::fmt::Display)] =
                    &[("prefix", &prefix), ("error", &error)];
                obs::record(&shared.log, Event::WatchCompacted, fields);
                if error != StoreError::Compacted {
                    shared.sleep(RETRY_DELAY).await;
                }
                after = list_again(&shared, &lead, prefix).await.unwrap_or(after);
            }
            Err(error) => {
                shared.record_store_result(Err(&error));
                shared
                    .sleep(RETRY_DELAY + shared.random_up_to(RETRY_DELAY))
                    .await;
            }
        }
    }
}

/// Reads all keys under a watched prefix. Returns the revision from which the watch continues, if that
/// succeeds.
async fn list_again(shared: &Shared, lead: &Leadership, prefix: &'static str) -> Option<Revision> {
    match read_again(shared, lead, prefix).await {
        Ok(revision) => {
            lead.wake.notify_one();
            lead.workers_changed.notify_one();
            Some(revision)
        }
        Err(error) => {
            shared.record_store_result(Err(&error));
            shared.sleep(RETRY_DELAY).await;
            None
        }
    }
}

/// Reads all keys under a watched prefix after the store has discarded changes. Records of progress
/// are not read again, because only the coordinator writes them.
async fn read_again(
    shared: &Shared,
    lead: &Leadership,
    prefix: &'static str,
) -> Result<Revision, StoreError> {
    let sent = shared.now();
    let listing = shared.store.list(prefix).await?;
    refuse_rows(shared, prefix, &listing.refused);
    lead.confirm(prefix, sent);
    shared.note_revision(sent, listing.revision);
    let now = shared.now();
    let mut scheduler = lead.scheduler.borrow_mut();
    if !listing.refused.is_empty() {
        // A row that cannot be read may be the one that seems not to be listed.
    } else if prefix == WORKER_PREFIX {
        let listed: Set<WorkerId> = listing
            .items
            .iter()
            .filter_map(|item| match decode_entry(&item.key, None) {
                StoreEntry::Worker(id, _) => Some(id),
                _ => None,
            })
            .collect();
        scheduler.mark_unlisted(&listed, now);
    } else {
        removal::forget_unlisted(lead, &mut scheduler, &listing.items, now);
    }
    // By their keys, cancellations come before the jobs that they cancel.
    let (jobs, others): (Vec<Item>, Vec<Item>) = listing
        .items
        .into_iter()
        .partition(|i| matches!(keys::parse_request(&i.key), Some(RequestKey::Job(_))));
    for item in jobs.into_iter().chain(others) {
        apply_change(shared, lead, &mut scheduler, Change::Put(item), now);
    }
    Ok(listing.revision)
}

fn apply_changes(shared: &Shared, lead: &Leadership, changes: Vec<Change>) {
    let now = shared.now();
    let mut scheduler = lead.scheduler.borrow_mut();
    for change in changes {
        apply_change(shared, lead, &mut scheduler, change, now);
    }
}

fn apply_change(
    shared: &Shared,
    lead: &Leadership,
    scheduler: &mut Scheduler,
    change: Change,
    now: Millis,
) {
    match change {
        Change::Put(item) => match keys::parse_request(&item.key) {
            Some(RequestKey::Job(_)) => {
                apply_job(shared, lead, scheduler, &item, &mut Map::default(), now);
            }
            Some(RequestKey::Cancel(id)) => scheduler.cancel(&id, now),
            Some(RequestKey::Ends) => apply_ends(shared, scheduler, &item, now),
            None => apply_worker(shared, scheduler, &item, now),
        },
        Change::Removed { key, .. } => match keys::parse_request(&key) {
            Some(RequestKey::Job(id)) => removal::forget(lead, scheduler, &id, now),
            Some(RequestKey::Cancel(_) | RequestKey::Ends) => {}
            None => {
                if let StoreEntry::Worker(id, _) = decode_entry(&key, None) {
                    scheduler.mark_missing(&id, now);
                }
            }
        },
    }
}

/// Applies the ends that a former coordinator has seen and could not record.
fn apply_ends(shared: &Shared, scheduler: &mut Scheduler, item: &Item, now: Millis) {
    let seen = item.value.as_deref();
    let seen: Option<Result<Vec<SeenEnd>, ciborium::de::Error<std::io::Error>>> =
        seen.map(ciborium::from_reader);
    match seen {
        Some(Ok(seen)) => scheduler.apply_seen(&seen, now),
        Some(Err(error)) => shared.refuse(&item.key, &error),
        None => shared.refuse(&item.key, &UNREADABLE),
    }
}

fn apply_worker(shared: &Shared, scheduler: &mut Scheduler, item: &Item, now: Millis) {
    match decode_entry(&item.key, item.value.as_deref()) {
        StoreEntry::Worker(_, Ok(view)) => {
            let written = shared.revisions.borrow().written_after(item.revision);
            scheduler.update_worker(*view, written);
        }
        StoreEntry::Worker(id, Err(why)) => {
            shared.refuse(&item.key, &why);
            scheduler.mark_missing(&id, now);
        }
        StoreEntry::Other if item.key.starts_with(WORKER_PREFIX) => {
            shared.refuse(&item.key, &"the key names no worker");
        }
        _ => {}
    }
}

/// Logs the first of the rows under a prefix that cannot be read and have no readable key.
pub fn refuse_rows(shared: &Shared, prefix: &str, refused: &[String]) {
    if let Some(why) = refused.first() {
        shared.refuse(prefix, why);
    }
}
