//! A copy of all job records, kept current by a watch on the platform store.

use std::collections::BTreeMap;

use base::JobId;
use base::Revision;
use plat::Change;
use plat::Entry;
use plat::Listing;
use sched::JobRecord;
use sched::RecordWire;

use super::tombstone;
use crate::keys;

/// Job records by id, each with the revision of its store entry.
#[derive(Debug, Default)]
pub struct Records {
    map: BTreeMap<JobId, (JobRecord, Revision)>,
}

/// The changes that an update made to the copy.
#[derive(Debug, Default)]
pub struct RecordChanges {
    /// Records that were created or replaced, with their revisions.
    pub written: Vec<(JobRecord, Revision)>,
    /// Jobs whose records were deleted.
    pub deleted: Vec<JobId>,
    /// Keys of entries that could not be decoded as records.
    pub undecodable: Vec<String>,
}

impl Records {
    /// The record of a job and its revision.
    pub fn get(&self, id: &JobId) -> Option<&(JobRecord, Revision)> {
        self.map.get(id)
    }

    /// All records, ordered by job id.
    pub fn iter(&self) -> impl Iterator<Item = &(JobRecord, Revision)> {
        self.map.values()
    }

    /// The records of the jobs after `id`, ordered by job id.
    pub fn after(&self, id: &JobId) -> impl Iterator<Item = &(JobRecord, Revision)> {
        use std::ops::Bound;
        let range = (Bound::Excluded(id.clone()), Bound::Unbounded);
        self.map.range(range).map(|(_, rec)| rec)
    }

    /// Number of records, those of ended jobs included.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Stores a record unless the same or a later revision of it is held. Returns whether it was
    /// stored.
    pub fn put(&mut self, record: JobRecord, revision: Revision) -> bool {
        let id = record.spec.id.clone();
        if self
            .map
            .get(&id)
            .is_some_and(|(_, known)| *known >= revision)
        {
            return false;
        }
        self.map.insert(id, (record, revision));
        true
    }

    /// Applies the changes that a watch has delivered.
    pub fn apply(&mut self, changes: Vec<Change>) -> RecordChanges {
        let mut changed = RecordChanges::default();
        for change in changes {
            match change {
                Change::Put(entry) => self.apply_put(entry, &mut changed),
                Change::Delete { key, revision } => self.apply_delete(&key, revision, &mut changed),
            }
        }
        changed
    }

    /// Replaces the copy by a full listing. Records that are not listed are removed, unless their
    /// revision is later than the listing's.
    pub fn resync(&mut self, listing: Listing) -> RecordChanges {
        let mut changed = RecordChanges::default();
        let listed: Vec<JobId> = listing
            .entries
            .iter()
            .filter_map(|e| job_id(&e.key))
            .collect();
        let held: Vec<JobId> = self.map.keys().cloned().collect();
        for id in held {
            let not_newer = self
                .map
                .get(&id)
                .is_some_and(|(_, rev)| *rev <= listing.revision);
            if not_newer && listed.binary_search(&id).is_err() {
                self.map.remove(&id);
                changed.deleted.push(id);
            }
        }
        for entry in listing.entries {
            self.apply_put(entry, &mut changed);
        }
        changed
    }

    fn apply_put(&mut self, entry: Entry, changed: &mut RecordChanges) {
        if tombstone::is_tombstone(&entry.value) {
            return;
        }
        match decode(&entry.value) {
            Some(record) => {
                if self.put(record.clone(), entry.revision) {
                    changed.written.push((record, entry.revision));
                }
            }
            None => changed.undecodable.push(entry.key),
        }
    }

    fn apply_delete(&mut self, key: &str, revision: Revision, changed: &mut RecordChanges) {
        let Some(id) = job_id(key) else { return };
        if self
            .map
            .get(&id)
            .is_some_and(|(_, known)| *known < revision)
        {
            self.map.remove(&id);
            changed.deleted.push(id);
        }
    }
}

fn job_id(key: &str) -> Option<JobId> {
    key.strip_prefix(keys::JOBS)?.parse().ok()
}

/// Decodes the value of a store entry; `None` if it is malformed or of a newer version.
pub fn decode(value: &[u8]) -> Option<JobRecord> {
    let wire: RecordWire = serde_json::from_slice(value).ok()?;
    wire.try_into().ok()
}

/// Encodes a record as the value of a store entry.
pub fn encode(record: &JobRecord) -> bytes::Bytes {
    let wire = RecordWire::from(record.clone());
    serde_json::to_vec(&wire).unwrap_or_default().into()
}
