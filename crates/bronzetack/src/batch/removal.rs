//! Removes the records of ended jobs from the store, until the store shows that they are gone.
//!
//! The scheduler knows an ended job for as long as the store may hold one of its records. A job that
//! it does not know is taken for a new one when its submission is read, and would run again.

use std::rc::Rc;

use base::JobId;
use base::Map;
use base::Millis;
use base::Revision;
use batch::Scheduler;
use obs::Event;
use platform::Item;
use platform::StoreError;
use platform::Txn;
use platform::TxnOutcome;

use crate::batch::keys;
use crate::batch::keys::RequestKey;
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Most jobs in one transaction. The store takes 32 entries: each job needs two conditions and three
/// removals, and one entry is the condition on the lock.
const MAX_JOBS: usize = 6;

/// Delay between two transactions, so that removals after an outage leave the store's write rate to
/// other calls.
const PAUSE: Millis = Millis(50);

/// Records of a job that are no longer needed, with the revisions at which they are removed. A record
/// that has changed meanwhile is of a later job with the same id, or is removed in the next round.
struct Removal {
    id: JobId,
    /// Revision of the submission; `None` if there is none.
    submitted: Option<Revision>,
    /// Revision of the coordinator's record; 0 if there is none.
    recorded: Revision,
}

/// Removes records that are no longer needed until the leadership ends. What could not be removed is
/// tried again in the next round.
pub async fn run(shared: Rc<Shared>, lead: Rc<Leadership>) {
    while !lead.ended.get() {
        shared.sleep(shared.times.expire_interval).await;
        if let Err(error) = remove_all(&shared, &lead).await {
            shared.record_store_result(Err(&error));
            obs::record(&shared.log, Event::RemovalFailed, &[("error", &error)]);
        }
    }
}

async fn remove_all(shared: &Shared, lead: &Leadership) -> Result<(), StoreError> {
    for part in due(shared, lead).chunks(MAX_JOBS) {
        if lead.ended.get() {
            return Ok(());
        }
        remove(shared, lead, part).await?;
        shared.sleep(PAUSE).await;
    }
    remove_waves(shared, lead).await
}

fn due(shared: &Shared, lead: &Leadership) -> Vec<Removal> {
    let submissions = lead.job_revisions.borrow();
    let records = lead.run_revisions.borrow();
    let removal = |id: JobId, submitted: Option<Revision>| Removal {
        recorded: records.get(&id).copied().unwrap_or_default(),
        submitted,
        id,
    };
    let scheduler = lead.scheduler.borrow();
    let removed = lead.removed.borrow();
    let expired = scheduler.expired(shared.now()).into_iter();
    let expired = expired.filter(|id| !removed.contains(id));
    let expired = expired.filter_map(|id| {
        let submitted = *submissions.get(&id)?;
        let is_stored = scheduler.is_stored(&id);
        is_stored.then(|| removal(id, Some(submitted)))
    });
    let orphans = lead.orphans.borrow();
    let orphans = orphans.iter().map(|id| removal(id.clone(), None));
    expired.chain(orphans).collect()
}

/// Removes the records of some jobs if none of them has changed.
async fn remove(shared: &Shared, lead: &Leadership, part: &[Removal]) -> Result<(), StoreError> {
    let mut txn = Txn {
        conditions: vec![(keys::LOCK.to_string(), lead.lock_revision)],
        ..Txn::default()
    };
    for removal in part {
        let id = &removal.id;
        txn.conditions.push((keys::run(id), removal.recorded));
        txn.removes.extend([keys::cancel(id), keys::run(id)]);
        // Without a submission, none may have come or been overlooked.
        let submitted = removal.submitted.unwrap_or_default();
        txn.conditions.push((keys::job(id), submitted));
        if removal.submitted.is_some() {
            txn.removes.push(keys::job(id));
        }
    }
    let outcome = shared.store.commit(&txn).await?;
    shared.record_store_result(Ok(()));
    match outcome {
        TxnOutcome::Done(_) => {
            for removal in part {
                set_removed(lead, removal);
            }
        }
        TxnOutcome::Conflict(items) => {
            let found: Map<&str, Revision> =
                items.iter().map(|i| (i.key.as_str(), i.revision)).collect();
            if found.get(keys::LOCK) != Some(&lead.lock_revision) {
                lead.end();
                return Ok(());
            }
            for removal in part {
                let found = |key: String| found.get(key.as_str()).copied();
                let submitted = found(keys::job(&removal.id));
                if removal.submitted.is_none() && submitted.is_some() {
                    // It is no orphan: its submission has come, or could not be read.
                    lead.orphans.borrow_mut().remove(&removal.id);
                } else if removal.submitted != submitted {
                    // An earlier removal without a response has taken effect.
                    set_removed(lead, removal);
                } else {
                    let recorded = found(keys::run(&removal.id)).unwrap_or_default();
                    set_recorded(lead, removal, Some(recorded));
                }
            }
        }
        TxnOutcome::LeaseEnded => {
            return Err(StoreError::Protocol(
                "the store reported an ended lease, but the transaction named none".to_string(),
            ))
        }
    }
    Ok(())
}

/// Removes the records of waves that operators do not request any more.
async fn remove_waves(shared: &Shared, lead: &Leadership) -> Result<(), StoreError> {
    let recorded = lead.wave_revisions.borrow().clone();
    for (number, revision) in recorded {
        if lead.ended.get() || shared.documents.borrow().waves.contains_key(&number) {
            continue;
        }
        // The documents may be older than a request, so the transaction makes sure that there is none.
        let txn = Txn {
            conditions: vec![
                (keys::LOCK.to_string(), lead.lock_revision),
                (platform::wave_request(number), Revision(0)),
                (keys::wave(number), revision),
            ],
            removes: vec![keys::wave(number)],
            ..Txn::default()
        };
        if let TxnOutcome::Done(_) = shared.store.commit(&txn).await? {
            let mut revisions = lead.wave_revisions.borrow_mut();
            if revisions.get(&number) == Some(&revision) {
                revisions.remove(&number);
            }
            lead.scheduler.borrow_mut().waves().forget(number);
        }
        shared.sleep(PAUSE).await;
    }
    Ok(())
}

/// Notes that the records are gone. The scheduler forgets the job once the watch has shown that, as a
/// reading that began before the removal may still deliver the submission.
fn set_removed(lead: &Leadership, removal: &Removal) {
    let known = lead.job_revisions.borrow().get(&removal.id).copied();
    if known == removal.submitted {
        if known.is_some() {
            lead.removed.borrow_mut().insert(removal.id.clone());
        }
        set_recorded(lead, removal, None);
    }
    lead.orphans.borrow_mut().remove(&removal.id);
}

/// Notes the revision of the coordinator's record, unless the record was written meanwhile.
fn set_recorded(lead: &Leadership, removal: &Removal, revision: Option<Revision>) {
    let mut records = lead.run_revisions.borrow_mut();
    if records.get(&removal.id).copied().unwrap_or_default() == removal.recorded {
        match revision {
            Some(revision) => records.insert(removal.id.clone(), revision),
            None => records.remove(&removal.id),
        };
    }
}

/// Drops a job whose submission the store has removed.
pub fn forget(lead: &Leadership, scheduler: &mut Scheduler, id: &JobId, now: Millis) {
    if scheduler.forget(id, now) {
        lead.job_revisions.borrow_mut().remove(id);
        lead.removed.borrow_mut().remove(id);
        lead.run_revisions.borrow_mut().remove(id);
    }
}

/// Drops the jobs whose submissions are not among all of the callers' requests. A submission of
/// another revision is a later one under the same id.
pub fn forget_unlisted(
    lead: &Leadership,
    scheduler: &mut Scheduler,
    requests: &[Item],
    now: Millis,
) {
    let listed: Map<JobId, Revision> = submissions(requests).collect();
    for id in scheduler.expired(now) {
        let listed = listed.get(&id);
        if listed.is_none() || listed != lead.job_revisions.borrow().get(&id) {
            forget(lead, scheduler, &id, now);
        }
    }
}

/// Notes the jobs of which the store holds a cancellation or a coordinator's record, but no
/// submission. Nothing else removes these records.
pub fn note_orphans(lead: &Leadership, requests: &[Item]) {
    let submitted: Map<JobId, Revision> = submissions(requests).collect();
    let keys = requests.iter().map(|item| keys::parse_request(&item.key));
    let cancelled = keys.filter_map(|key| match key {
        Some(RequestKey::Cancel(id)) => Some(id),
        _ => None,
    });
    let revisions = lead.run_revisions.borrow();
    let recorded = revisions.keys().cloned().chain(cancelled);
    let orphans = recorded.filter(|id| !submitted.contains_key(id));
    lead.orphans.borrow_mut().extend(orphans);
}

/// The jobs whose submissions are among these requests, with their revisions.
fn submissions(requests: &[Item]) -> impl Iterator<Item = (JobId, Revision)> + '_ {
    requests
        .iter()
        .filter_map(|item| match keys::parse_request(&item.key) {
            Some(RequestKey::Job(id)) => Some((id, item.revision)),
            _ => None,
        })
}
