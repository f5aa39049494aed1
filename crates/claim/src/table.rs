//! Bounded table of records that expire after the retention period.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound::Excluded;
use std::ops::Bound::Unbounded;

use base::Millis;
use base::RequestId;

use crate::check::Violation;
use crate::record::Record;
use crate::record::State;

/// A record and its replication state as known to this VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Row {
    pub(crate) record: Record,
    /// Whether the other holder has stored the same record.
    pub(crate) copied: bool,
    /// Whether this VM made the claim in its current view and cannot have granted it yet.
    pub(crate) ungranted: bool,
    /// When the record may be deleted.
    pub(crate) expires: Millis,
    /// When an unacknowledged copy is sent again.
    pub(crate) retry: Millis,
}

/// Records by request id, with indexes by expiry, replication and body size.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Table {
    rows: BTreeMap<RequestId, Row>,
    expiry: BTreeSet<(Millis, RequestId)>,
    uncopied: BTreeSet<RequestId>,
    bodies: BTreeSet<(Millis, RequestId)>,
    body_bytes: usize,
}

impl Table {
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    pub(crate) fn get(&self, id: &RequestId) -> Option<&Row> {
        self.rows.get(id)
    }

    /// Inserts or replaces a row and evicts the oldest answer bodies above `limit` bytes in total.
    /// With `repeat`, the record is sent to the other holder until it is acknowledged.
    pub(crate) fn put(&mut self, id: RequestId, row: Row, limit: usize, repeat: bool) {
        self.remove(&id);
        self.expiry.insert((row.expires, id.clone()));
        if repeat {
            self.uncopied.insert(id.clone());
        }
        let size = body_len(&row.record);
        if size > 0 {
            self.body_bytes += size;
            self.bodies.insert((row.expires, id.clone()));
        }
        self.rows.insert(id, row);
        self.evict_bodies(limit);
    }

    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<Row> {
        let row = self.rows.remove(id)?;
        let key = (row.expires, id.clone());
        self.expiry.remove(&key);
        self.bodies.remove(&key);
        self.uncopied.remove(id);
        self.body_bytes -= body_len(&row.record);
        Some(row)
    }

    /// Marks the record as stored by the other holder.
    pub(crate) fn set_copied(&mut self, id: &RequestId) {
        self.uncopied.remove(id);
        if let Some(row) = self.rows.get_mut(id) {
            row.copied = true;
            row.ungranted = false;
        }
    }

    /// Marks the record as not replicated, to be sent again from `retry` on until it is
    /// acknowledged.
    pub(crate) fn set_uncopied(&mut self, id: &RequestId, retry: Millis) {
        if let Some(row) = self.rows.get_mut(id) {
            row.copied = false;
            row.retry = retry;
            self.uncopied.insert(id.clone());
        }
    }

    /// After a change of holders: keeps `copied` only for ids that satisfy `keep`, and stops all
    /// repeats.
    pub(crate) fn reset_copies(&mut self, keep: impl Fn(&RequestId) -> bool) {
        self.uncopied.clear();
        for (id, row) in &mut self.rows {
            row.copied = row.copied && keep(id);
            row.ungranted = false;
        }
    }

    /// Marks the claim as not granted by this VM.
    pub(crate) fn set_ungranted(&mut self, id: &RequestId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.ungranted = true;
        }
    }

    /// Stops repeating an unacknowledged copy.
    pub(crate) fn stop_copying(&mut self, id: &RequestId) {
        self.uncopied.remove(id);
    }

    /// Ids whose unacknowledged copy is due for a repeat; schedules the next repeat after `span`.
    pub(crate) fn due(&mut self, now: Millis, span: Millis) -> Vec<RequestId> {
        let is_due = |id: &&RequestId| self.rows.get(*id).is_some_and(|r| r.retry <= now);
        let due: Vec<RequestId> = self.uncopied.iter().filter(is_due).cloned().collect();
        for id in &due {
            if let Some(row) = self.rows.get_mut(id) {
                row.retry = now + span;
            }
        }
        due
    }

    /// Ids whose copy is repeated until it is acknowledged.
    pub(crate) fn uncopied(&self) -> Vec<RequestId> {
        self.uncopied.iter().cloned().collect()
    }

    /// Deletes records whose retention period has ended.
    pub(crate) fn expire(&mut self, now: Millis) {
        while let Some((at, id)) = self.expiry.first().cloned() {
            if at > now {
                return;
            }
            self.remove(&id);
        }
    }

    /// Up to `count` records after `from` in ascending order of ids, limited to the ids that
    /// satisfy `wanted`.
    pub(crate) fn page(
        &self,
        from: Option<&RequestId>,
        count: usize,
        wanted: impl Fn(&RequestId) -> bool,
    ) -> Vec<(RequestId, Record)> {
        let start = from.map_or(Unbounded, Excluded);
        let rows = self.rows.range::<RequestId, _>((start, Unbounded));
        rows.filter(|(id, _)| wanted(id))
            .take(count)
            .map(|(id, row)| (id.clone(), row.record.clone()))
            .collect()
    }

    /// Checks that the indexes are consistent with the rows.
    pub(crate) fn check(&self) -> Result<(), Violation> {
        let body_bytes: usize = self.rows.values().map(|r| body_len(&r.record)).sum();
        let expiry = |(at, id): &(Millis, RequestId)| {
            self.rows.get(id).is_some_and(|row| row.expires == *at)
        };
        if self.expiry.len() != self.rows.len() || !self.expiry.iter().all(expiry) {
            return Err(Violation::InconsistentIndex("expiry times"));
        }
        if body_bytes != self.body_bytes {
            return Err(Violation::InconsistentIndex("answers"));
        }
        let open = |id: &RequestId| self.rows.get(id).is_some_and(|row| !row.copied);
        if !self.uncopied.iter().all(open) {
            return Err(Violation::InconsistentIndex("copies"));
        }
        Ok(())
    }

    fn evict_bodies(&mut self, limit: usize) {
        while self.body_bytes > limit {
            let Some((_, id)) = self.bodies.pop_first() else {
                return;
            };
            let Some(row) = self.rows.get_mut(&id) else {
                continue;
            };
            self.body_bytes -= body_len(&row.record);
            if let State::Done(answer) = &mut row.record.state {
                answer.body = None;
            }
        }
    }
}

fn body_len(record: &Record) -> usize {
    match &record.state {
        State::Claimed => 0,
        State::Done(answer) => answer.body.as_ref().map_or(0, |b| b.len()),
    }
}
