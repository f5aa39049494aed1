//! Key-value store of the fake platform: keys, revisions, leases and history of changes.

use std::collections::BTreeMap;

use crate::platform_wire::Blob;
use crate::platform_wire::Compare;
use crate::platform_wire::DeleteRangeRequest;
use crate::platform_wire::DeleteRangeResponse;
use crate::platform_wire::Header;
use crate::platform_wire::KeyValue;
use crate::platform_wire::Num;
use crate::platform_wire::PutRequest;
use crate::platform_wire::PutResponse;
use crate::platform_wire::RangeRequest;
use crate::platform_wire::RangeResponse;
use crate::platform_wire::RequestOp;
use crate::platform_wire::ResponseOp;
use crate::platform_wire::TxnRequest;
use crate::platform_wire::TxnResponse;
use crate::platform_wire::WatchEvent;

const CLUSTER_ID: Num = Num(7001);
const MEMBER_ID: Num = Num(7002);
/// Lease ids chosen by the store start after this one.
const LEASE_ID_BASE: i64 = 0x1000;

/// Why the store refuses a request. A refused request changes nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KvError {
    /// The requested revision has been compacted.
    Compacted,
    /// The lease does not exist.
    NoLease,
}

#[derive(Clone, Debug)]
struct Item {
    kv: KeyValue,
    /// Earlier values, oldest first.
    previous: Vec<Vec<u8>>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Time to live in seconds.
    ttl: i64,
    /// When the lease expires, in milliseconds.
    expiry: u64,
}

/// The store. Times are in milliseconds since the start of the fake.
#[derive(Debug, Default)]
pub struct Kv {
    revision: i64,
    /// First revision that watches can start from.
    compacted: i64,
    items: BTreeMap<Vec<u8>, Item>,
    /// Changes with their revisions, oldest first.
    history: Vec<(i64, WatchEvent)>,
    leases: BTreeMap<i64, Lease>,
    /// The lease id that the store chose last.
    last_lease: i64,
}

impl Kv {
    /// An empty store at revision 1.
    pub fn new() -> Kv {
        Kv {
            revision: 1,
            last_lease: LEASE_ID_BASE,
            ..Kv::default()
        }
    }

    /// The header of a response at the current revision.
    pub fn header(&self) -> Header {
        Header {
            cluster_id: CLUSTER_ID,
            member_id: MEMBER_ID,
            revision: Num(self.revision),
            raft_term: Num(1),
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The first revision that watches can start from.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Compacts the history: keeps only the last change of each key.
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

    /// Restores the previous value of a key under a new revision. Returns whether there was one.
    pub fn restore_previous(&mut self, key: &[u8]) -> bool {
        let Some(value) = self.items.get_mut(key).and_then(|i| i.previous.pop()) else {
            return false;
        };
        self.revision += 1;
        let revision = self.revision;
        let lease = self.items.get(key).map_or(Num(0), |i| i.kv.lease);
        self.write(key.to_vec(), value, lease, revision);
        true
    }

    /// Reads a range at the revision given in the request, or at the current one if it is zero.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, KvError> {
        if request.revision.0 == 0 {
            return Ok(self.range_now(request));
        }
        if request.revision.0 < self.compacted {
            return Err(KvError::Compacted);
        }
        let mut found = BTreeMap::new();
        for (revision, event) in &self.history {
            if *revision > request.revision.0 {
                break;
            }
            if in_range(&event.kv.key.0, &request.key.0, &request.range_end.0) {
                found.insert(&event.kv.key.0, event);
            }
        }
        let puts = found.into_values().filter(|e| e.kind.is_empty());
        Ok(self.range_response(puts.map(|e| e.kv.clone()).collect(), request))
    }

    fn range_now(&self, request: &RangeRequest) -> RangeResponse {
        let kvs = self
            .items
            .iter()
            .filter(|(key, _)| in_range(key, &request.key.0, &request.range_end.0))
            .map(|(_, item)| item.kv.clone())
            .collect();
        self.range_response(kvs, request)
    }

    fn range_response(&self, mut kvs: Vec<KeyValue>, request: &RangeRequest) -> RangeResponse {
        let count = Num(kvs.len() as i64);
        if request.limit.0 > 0 {
            kvs.truncate(request.limit.0 as usize);
        }
        RangeResponse {
            header: self.header(),
            more: (kvs.len() as i64) < count.0,
            kvs,
            count,
        }
    }

    /// Writes one key.
    pub fn put(&mut self, request: &PutRequest) -> Result<PutResponse, KvError> {
        self.check_lease(request.lease)?;
        self.revision += 1;
        let revision = self.revision;
        self.write(
            request.key.0.clone(),
            request.value.0.clone(),
            request.lease,
            revision,
        );
        Ok(PutResponse {
            header: self.header(),
        })
    }

    /// Deletes a range.
    pub fn delete(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let revision = self.revision + 1;
        let deleted = self.delete_keys(request, revision);
        if deleted > 0 {
            self.revision = revision;
        }
        DeleteRangeResponse {
            header: self.header(),
            deleted: Num(deleted),
        }
    }

    /// Evaluates the comparisons and applies one of the two lists of operations under one revision.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, KvError> {
        let succeeded = request.compare.iter().all(|c| self.compare_holds(c));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for op in ops {
            if let Some(put) = &op.request_put {
                self.check_lease(put.lease)?;
            }
        }
        let next = self.revision + 1;
        let mut responses = Vec::new();
        for op in ops {
            responses.push(self.apply_op(op, next));
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Grants a lease of `ttl` seconds and returns its id. If `id` is zero, the store chooses one.
    pub fn grant(&mut self, id: i64, ttl: i64, now: u64) -> i64 {
        let id = if id == 0 {
            self.last_lease += 1;
            self.last_lease
        } else {
            id
        };
        let expiry = now + ttl as u64 * 1000;
        self.leases.insert(id, Lease { ttl, expiry });
        id
    }

    /// Extends a lease by its time to live, and returns that in seconds. `None` if the lease does
    /// not exist.
    pub fn keep_alive(&mut self, id: i64, now: u64) -> Option<i64> {
        let lease = self.leases.get_mut(&id)?;
        lease.expiry = now + lease.ttl as u64 * 1000;
        Some(lease.ttl)
    }

    /// Revokes a lease and deletes the keys attached to it.
    pub fn revoke(&mut self, id: i64) -> Result<(), KvError> {
        self.leases.remove(&id).ok_or(KvError::NoLease)?;
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
            self.delete_key(&key, revision);
        }
        Ok(())
    }

    /// Revokes the leases that have expired. Returns whether there were any.
    pub fn expire(&mut self, now: u64) -> bool {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expiry <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            let _ = self.revoke(*id);
        }
        !expired.is_empty()
    }

    /// The changes in a range since revision `from`, inclusive, oldest first.
    pub fn events(&self, key: &[u8], end: &[u8], from: i64) -> Vec<WatchEvent> {
        self.history
            .iter()
            .filter(|(revision, _)| *revision >= from)
            .filter(|(_, event)| in_range(&event.kv.key.0, key, end))
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn check_lease(&self, lease: Num) -> Result<(), KvError> {
        if lease.0 == 0 || self.leases.contains_key(&lease.0) {
            Ok(())
        } else {
            Err(KvError::NoLease)
        }
    }

    fn apply_op(&mut self, op: &RequestOp, next: i64) -> ResponseOp {
        let mut reply = ResponseOp::default();
        if let Some(request) = &op.request_range {
            reply.response_range = Some(self.range_now(request));
        }
        if let Some(request) = &op.request_put {
            self.revision = next;
            self.write(
                request.key.0.clone(),
                request.value.0.clone(),
                request.lease,
                next,
            );
            reply.response_put = Some(PutResponse {
                header: self.header(),
            });
        }
        if let Some(request) = &op.request_delete_range {
            let deleted = self.delete_keys(request, next);
            if deleted > 0 {
                self.revision = next;
            }
            reply.response_delete_range = Some(DeleteRangeResponse {
                header: self.header(),
                deleted: Num(deleted),
            });
        }
        reply
    }

    fn compare_holds(&self, compare: &Compare) -> bool {
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
        let mut previous = Vec::new();
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
            previous = old.previous;
            previous.push(old.kv.value.0);
        }
        let event = WatchEvent {
            kind: String::new(),
            kv: kv.clone(),
        };
        self.history.push((revision, event));
        self.items.insert(key, Item { kv, previous });
    }

    fn delete_keys(&mut self, request: &DeleteRangeRequest, revision: i64) -> i64 {
        let keys: Vec<Vec<u8>> = self
            .items
            .keys()
            .filter(|key| in_range(key, &request.key.0, &request.range_end.0))
            .cloned()
            .collect();
        for key in &keys {
            self.delete_key(key, revision);
        }
        keys.len() as i64
    }

    fn delete_key(&mut self, key: &[u8], revision: i64) {
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

/// Whether a key is in a range. As in etcd, an empty `end` means the key `first` alone, and an
/// `end` of one zero byte means all keys from `first` on.
fn in_range(key: &[u8], first: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == first,
        [0] => key >= first,
        _ => key >= first && key < end,
    }
}
