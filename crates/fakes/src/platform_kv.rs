//! The key-value state of the platform stand-in: keys, revisions, leases and history.

use std::collections::BTreeMap;

use crate::platform_wire::Blob;
use crate::platform_wire::Compare;
use crate::platform_wire::DeleteCall;
use crate::platform_wire::DeleteReply;
use crate::platform_wire::Header;
use crate::platform_wire::KeyValue;
use crate::platform_wire::Num;
use crate::platform_wire::PutCall;
use crate::platform_wire::PutReply;
use crate::platform_wire::RangeCall;
use crate::platform_wire::RangeReply;
use crate::platform_wire::TxnCall;
use crate::platform_wire::TxnOp;
use crate::platform_wire::TxnOpReply;
use crate::platform_wire::TxnReply;
use crate::platform_wire::WatchEvent;

const CLUSTER: Num = Num(7001);
const MEMBER: Num = Num(7002);
const FIRST_LEASE: i64 = 0x1000;

/// Why the store refuses a call; nothing took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The revision is no longer known.
    Compacted,
    /// The lease is not known.
    NoLease,
}

#[derive(Clone, Debug)]
struct Item {
    kv: KeyValue,
    older: Vec<Vec<u8>>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: i64,
    due: u64,
}

/// The store. Times are milliseconds since the start of the stand-in.
#[derive(Debug, Default)]
pub struct Kv {
    revision: i64,
    compacted: i64,
    items: BTreeMap<Vec<u8>, Item>,
    history: Vec<(i64, WatchEvent)>,
    leases: BTreeMap<i64, Lease>,
    granted: i64,
}

impl Kv {
    /// An empty store at revision 1.
    pub fn new() -> Kv {
        Kv {
            revision: 1,
            granted: FIRST_LEASE,
            ..Kv::default()
        }
    }

    /// The header of an answer.
    pub fn header(&self) -> Header {
        Header {
            cluster_id: CLUSTER,
            member_id: MEMBER,
            revision: Num(self.revision),
            raft_term: Num(1),
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The first revision that watches can still start from.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Forgets the history of changes, all but the last change of each key.
    pub fn compact(&mut self) {
        let mut last = BTreeMap::new();
        for (revision, event) in self.history.drain(..) {
            last.insert(event.kv.key.0.clone(), (revision, event));
        }
        self.history = last.into_values().collect();
        self.history.sort_by_key(|(revision, _)| *revision);
        self.compacted = self.revision + 1;
    }

    /// The value of a key.
    pub fn value(&self, key: &[u8]) -> Option<&[u8]> {
        self.items.get(key).map(|i| i.kv.value.0.as_slice())
    }

    /// Puts back the value that the key had before its present one.
    /// Answers whether there was one.
    pub fn restore_older(&mut self, key: &[u8]) -> bool {
        let Some(older) = self.items.get_mut(key).and_then(|i| i.older.pop()) else {
            return false;
        };
        self.revision += 1;
        let revision = self.revision;
        let lease = self.items.get(key).map_or(Num(0), |i| i.kv.lease);
        self.write(key.to_vec(), older, lease, revision);
        true
    }

    /// Reads a range, at an earlier revision if the call says so.
    pub fn range(&self, call: &RangeCall) -> Result<RangeReply, Refusal> {
        if call.revision.0 == 0 {
            return Ok(self.range_now(call));
        }
        if call.revision.0 < self.compacted {
            return Err(Refusal::Compacted);
        }
        let mut found = BTreeMap::new();
        for (revision, event) in &self.history {
            if *revision > call.revision.0 {
                break;
            }
            if within(&event.kv.key.0, &call.key.0, &call.range_end.0) {
                found.insert(&event.kv.key.0, event);
            }
        }
        let present = found.into_values().filter(|e| e.kind.is_empty());
        Ok(self.listing(present.map(|e| e.kv.clone()).collect(), call))
    }

    fn range_now(&self, call: &RangeCall) -> RangeReply {
        let kvs = self
            .items
            .iter()
            .filter(|(key, _)| within(key, &call.key.0, &call.range_end.0))
            .map(|(_, item)| item.kv.clone())
            .collect();
        self.listing(kvs, call)
    }

    fn listing(&self, mut kvs: Vec<KeyValue>, call: &RangeCall) -> RangeReply {
        let count = Num(kvs.len() as i64);
        if call.limit.0 > 0 {
            kvs.truncate(call.limit.0 as usize);
        }
        RangeReply {
            header: self.header(),
            more: (kvs.len() as i64) < count.0,
            kvs,
            count,
        }
    }

    /// Writes one key.
    pub fn put(&mut self, call: &PutCall) -> Result<PutReply, Refusal> {
        self.check_lease(call.lease)?;
        self.revision += 1;
        let revision = self.revision;
        self.write(
            call.key.0.clone(),
            call.value.0.clone(),
            call.lease,
            revision,
        );
        Ok(PutReply {
            header: self.header(),
        })
    }

    /// Deletes a range.
    pub fn delete(&mut self, call: &DeleteCall) -> DeleteReply {
        let revision = self.revision + 1;
        let deleted = self.erase(call, revision);
        if deleted > 0 {
            self.revision = revision;
        }
        DeleteReply {
            header: self.header(),
            deleted: Num(deleted),
        }
    }

    /// Compares and then carries out one of the two lists of operations under one revision.
    pub fn txn(&mut self, call: &TxnCall) -> Result<TxnReply, Refusal> {
        let succeeded = call.compare.iter().all(|c| self.holds(c));
        let ops = if succeeded {
            &call.success
        } else {
            &call.failure
        };
        for op in ops {
            if let Some(put) = &op.request_put {
                self.check_lease(put.lease)?;
            }
        }
        let next = self.revision + 1;
        let mut responses = Vec::new();
        for op in ops {
            responses.push(self.step(op, next));
        }
        Ok(TxnReply {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Grants a lease of `ttl` seconds; answers its id.
    pub fn grant(&mut self, id: i64, ttl: i64, now: u64) -> i64 {
        let id = if id == 0 {
            self.granted += 1;
            self.granted
        } else {
            id
        };
        let due = now + ttl as u64 * 1000;
        self.leases.insert(id, Lease { ttl, due });
        id
    }

    /// Extends a lease; answers its seconds to live unless it has lapsed.
    pub fn keep_alive(&mut self, id: i64, now: u64) -> Option<i64> {
        let lease = self.leases.get_mut(&id)?;
        lease.due = now + lease.ttl as u64 * 1000;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) -> Result<(), Refusal> {
        self.leases.remove(&id).ok_or(Refusal::NoLease)?;
        let attached: Vec<Vec<u8>> = self
            .items
            .iter()
            .filter(|(_, item)| item.kv.lease.0 == id)
            .map(|(key, _)| key.clone())
            .collect();
        if attached.is_empty() {
            return Ok(());
        }
        self.revision += 1;
        let revision = self.revision;
        for key in attached {
            self.erase_one(&key, revision);
        }
        Ok(())
    }

    /// Ends the leases that are due; answers whether there were any.
    pub fn expire(&mut self, now: u64) -> bool {
        let due: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.due <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &due {
            let _ = self.revoke(*id);
        }
        !due.is_empty()
    }

    /// The changes of a range from a revision on, oldest first.
    pub fn events(&self, key: &[u8], end: &[u8], from: i64) -> Vec<WatchEvent> {
        self.history
            .iter()
            .filter(|(revision, _)| *revision >= from)
            .filter(|(_, event)| within(&event.kv.key.0, key, end))
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn check_lease(&self, lease: Num) -> Result<(), Refusal> {
        if lease.0 == 0 || self.leases.contains_key(&lease.0) {
            Ok(())
        } else {
            Err(Refusal::NoLease)
        }
    }

    fn step(&mut self, op: &TxnOp, next: i64) -> TxnOpReply {
        let mut reply = TxnOpReply::default();
        if let Some(call) = &op.request_range {
            reply.response_range = Some(self.range_now(call));
        }
        if let Some(call) = &op.request_put {
            self.revision = next;
            self.write(call.key.0.clone(), call.value.0.clone(), call.lease, next);
            reply.response_put = Some(PutReply {
                header: self.header(),
            });
        }
        if let Some(call) = &op.request_delete_range {
            let deleted = self.erase(call, next);
            if deleted > 0 {
                self.revision = next;
            }
            reply.response_delete_range = Some(DeleteReply {
                header: self.header(),
                deleted: Num(deleted),
            });
        }
        reply
    }

    fn holds(&self, compare: &Compare) -> bool {
        let none = KeyValue::default();
        let kv = self.items.get(&compare.key.0).map_or(&none, |i| &i.kv);
        let order = match compare.target.as_str() {
            "CREATE" => kv.create_revision.0.cmp(&compare.create_revision.0),
            "MOD" => kv.mod_revision.0.cmp(&compare.mod_revision.0),
            "VALUE" => kv.value.0.cmp(&compare.value.0),
            _ => kv.version.0.cmp(&compare.version.0),
        };
        match compare.result.as_str() {
            "GREATER" => order.is_gt(),
            "LESS" => order.is_lt(),
            "NOT_EQUAL" => order.is_ne(),
            _ => order.is_eq(),
        }
    }

    fn write(&mut self, key: Vec<u8>, value: Vec<u8>, lease: Num, revision: i64) {
        let old = self.items.remove(&key);
        let mut older = Vec::new();
        let mut kv = KeyValue {
            key: Blob(key.clone()),
            create_revision: Num(revision),
            mod_revision: Num(revision),
            version: Num(1),
            value: Blob(value),
            lease,
        };
        if let Some(old) = old {
            kv.create_revision = old.kv.create_revision;
            kv.version = Num(old.kv.version.0 + 1);
            older = old.older;
            older.push(old.kv.value.0);
        }
        let event = WatchEvent {
            kind: String::new(),
            kv: kv.clone(),
        };
        self.history.push((revision, event));
        self.items.insert(key, Item { kv, older });
    }

    fn erase(&mut self, call: &DeleteCall, revision: i64) -> i64 {
        let keys: Vec<Vec<u8>> = self
            .items
            .keys()
            .filter(|key| within(key, &call.key.0, &call.range_end.0))
            .cloned()
            .collect();
        for key in &keys {
            self.erase_one(key, revision);
        }
        keys.len() as i64
    }

    fn erase_one(&mut self, key: &[u8], revision: i64) {
        self.items.remove(key);
        let kv = KeyValue {
            key: Blob(key.to_vec()),
            mod_revision: Num(revision),
            ..KeyValue::default()
        };
        let kind = "DELETE".to_string();
        self.history.push((revision, WatchEvent { kind, kv }));
    }
}

/// Whether a key lies in a range. An end of one zero byte means all keys from the first on.
fn within(key: &[u8], first: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == first,
        [0] => key >= first,
        _ => key >= first && key < end,
    }
}
