//! The records of all jobs as the platform's watch tells them.

use std::collections::BTreeMap;

use base::JobId;
use base::Revision;
use plat::Change;
use plat::Entry;
use plat::Listing;
use sched::JobRecord;
use sched::RecordWire;

use crate::keys;

/// Records by job, each with the revision that it was read at.
#[derive(Debug, Default)]
pub struct Records {
    map: BTreeMap<JobId, (JobRecord, Revision)>,
}

/// What changed.
#[derive(Debug, Default)]
pub struct News {
    /// Records written.
    pub written: Vec<(JobRecord, Revision)>,
    /// Records removed.
    pub erased: Vec<JobId>,
    /// Keys whose values are not records.
    pub broken: Vec<String>,
}

impl Records {
    /// A record and its revision.
    pub fn get(&self, id: &JobId) -> Option<&(JobRecord, Revision)> {
        self.map.get(id)
    }

    /// All records in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &(JobRecord, Revision)> {
        self.map.values()
    }

    /// The records after `id` in the order of their ids.
    pub fn after(&self, id: &JobId) -> impl Iterator<Item = &(JobRecord, Revision)> {
        use std::ops::Bound;
        let range = (Bound::Excluded(id.clone()), Bound::Unbounded);
        self.map.range(range).map(|(_, rec)| rec)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Keeps a record unless a later one is known. Tells whether it was kept.
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

    /// Takes in changes.
    pub fn change(&mut self, changes: Vec<Change>) -> News {
        let mut news = News::default();
        for change in changes {
            match change {
                Change::Put(entry) => self.take(entry, &mut news),
                Change::Delete { key, revision } => self.erase(&key, revision, &mut news),
            }
        }
        news
    }

    /// Takes in a whole listing; what is not in it is gone.
    pub fn replace(&mut self, listing: Listing) -> News {
        let mut news = News::default();
        let listed: Vec<JobId> = listing
            .entries
            .iter()
            .filter_map(|e| job_of(&e.key))
            .collect();
        let gone: Vec<JobId> = self.map.keys().cloned().collect();
        for id in gone {
            let old = self
                .map
                .get(&id)
                .is_some_and(|(_, rev)| *rev <= listing.revision);
            if old && listed.binary_search(&id).is_err() {
                self.map.remove(&id);
                news.erased.push(id);
            }
        }
        for entry in listing.entries {
            self.take(entry, &mut news);
        }
        news
    }

    fn take(&mut self, entry: Entry, news: &mut News) {
        match decode(&entry.value) {
            Some(record) => {
                if self.put(record.clone(), entry.revision) {
                    news.written.push((record, entry.revision));
                }
            }
            None => news.broken.push(entry.key),
        }
    }

    fn erase(&mut self, key: &str, revision: Revision, news: &mut News) {
        let Some(id) = job_of(key) else { return };
        if self
            .map
            .get(&id)
            .is_some_and(|(_, known)| *known < revision)
        {
            self.map.remove(&id);
            news.erased.push(id);
        }
    }
}

fn job_of(key: &str) -> Option<JobId> {
    key.strip_prefix(keys::JOBS)?.parse().ok()
}

/// Reads a stored record.
pub fn decode(value: &[u8]) -> Option<JobRecord> {
    let wire: RecordWire = serde_json::from_slice(value).ok()?;
    wire.try_into().ok()
}

/// The value to store for a record.
pub fn encode(record: &JobRecord) -> bytes::Bytes {
    let wire = RecordWire::from(record.clone());
    serde_json::to_vec(&wire).unwrap_or_default().into()
}
