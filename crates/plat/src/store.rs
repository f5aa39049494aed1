//! Client of the key-value service: reads, conditional writes and leases.

use std::rc::Rc;

use base::Clock;
use base::Millis;
use base::Revision;
use bytes::Bytes;
use obs::Metrics;
use serde::de::DeserializeOwned;
use serde::Serialize;
use slog::Logger;

use crate::budget::Priority;
use crate::config::StoreConfig;
use crate::error::StoreError;
use crate::health::HealthState;
use crate::inner::Idempotency;
use crate::inner::Inner;
use crate::types::Entry;
use crate::types::Expect;
use crate::types::KeepAlive;
use crate::types::LeaseId;
use crate::types::Listing;
use crate::types::WriteOutcome;
use crate::wire;
use crate::wire::to_base64;
use crate::wire::Compare;
use crate::wire::LeaseCall;
use crate::wire::LeaseReply;
use crate::wire::Num;
use crate::wire::Op;
use crate::wire::PutCall;
use crate::wire::RangeCall;
use crate::wire::RangeReply;
use crate::wire::Streamed;
use crate::wire::TxnCall;
use crate::wire::TxnReply;
use crate::wire::WireError;

const PATH_RANGE: &str = "/v3/kv/range";
const PATH_TXN: &str = "/v3/kv/txn";
const PATH_GRANT: &str = "/v3/lease/grant";
const PATH_KEEP_ALIVE: &str = "/v3/lease/keepalive";
const PATH_REVOKE: &str = "/v3/lease/revoke";

/// Client of the store. Clones share connections, call budget and health. It must be used on the
/// arbiter that created it.
#[derive(Clone)]
pub struct Store {
    pub(crate) inner: Rc<Inner>,
    priority: Priority,
}

impl Store {
    /// Creates a client whose calls have [`Priority::Records`].
    pub fn new(config: StoreConfig, log: Logger, metrics: &Metrics, clock: Clock) -> Store {
        let inner = Inner::new(config, log, metrics, clock);
        Store {
            inner: Rc::new(inner),
            priority: Priority::Records,
        }
    }

    /// Returns a clone whose calls have another priority.
    pub fn with_priority(&self, priority: Priority) -> Store {
        Store {
            inner: self.inner.clone(),
            priority,
        }
    }

    /// Priority of the calls of this clone.
    pub fn priority(&self) -> Priority {
        self.priority
    }

    /// Health of the store as seen by the calls of all clones.
    pub fn state(&self) -> HealthState {
        self.inner.state()
    }

    /// Reads a key. Returns `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.get_at(key, Revision(0)).await
    }

    /// Reads a key as of a revision; revision 0 means the latest. The store refuses a revision that
    /// it has compacted.
    pub async fn get_at(&self, key: &str, at: Revision) -> Result<Option<Entry>, StoreError> {
        let mut call = key_range(key);
        if at.0 > 0 {
            call.revision = Num::from(at);
        }
        let reply: RangeReply = self
            .call(PATH_RANGE, Idempotency::Idempotent, &call)
            .await?;
        let listing = Listing::try_from(reply).map_err(|e| self.malformed(&e))?;
        Ok(listing.entries.into_iter().next())
    }

    /// Reads all keys that start with a prefix; an empty prefix selects all keys.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let call = RangeCall {
            key: to_base64(&wire::range_start(prefix)),
            range_end: to_base64(&wire::range_end(prefix)),
            ..RangeCall::default()
        };
        let reply: RangeReply = self
            .call(PATH_RANGE, Idempotency::Idempotent, &call)
            .await?;
        Listing::try_from(reply).map_err(|e| self.malformed(&e))
    }

    /// Writes a key if it is as expected, and attaches it to a lease if one is given.
    pub async fn put_if(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome, StoreError> {
        let put = Op::Put(PutCall {
            key: to_base64(key.as_bytes()),
            value: to_base64(&value),
            lease: lease.map_or(Num::default(), |l| Num::from(l.0)),
        });
        self.write_if(key, expect, put).await
    }

    /// Deletes a key if it is as expected.
    pub async fn delete_if(&self, key: &str, expect: Expect) -> Result<WriteOutcome, StoreError> {
        let delete = Op::Delete(key_range(key));
        self.write_if(key, expect, delete).await
    }

    /// Grants a lease. Its time to live is rounded up to seconds.
    pub async fn grant_lease(&self, ttl: Millis) -> Result<LeaseId, StoreError> {
        let call = LeaseCall {
            ttl: Num::from(ttl.0.div_ceil(1000).max(1) as i64),
            ..LeaseCall::default()
        };
        let store = self.with_priority(Priority::Lease);
        let reply: LeaseReply = store
            .call(PATH_GRANT, Idempotency::Idempotent, &call)
            .await?;
        let id = reply.id.parse().map_err(|e| self.malformed(&e.into()))?;
        Ok(LeaseId(id))
    }

    /// Renews a lease for another time to live.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<KeepAlive, StoreError> {
        let store = self.with_priority(Priority::Lease);
        let call = lease_call(lease);
        let reply: Streamed<LeaseReply> = store
            .call(PATH_KEEP_ALIVE, Idempotency::Idempotent, &call)
            .await?;
        let ttl = reply
            .result
            .time_to_live()
            .map_err(|e| self.malformed(&e.into()))?;
        if ttl == Millis::ZERO {
            return Ok(KeepAlive::Lapsed);
        }
        Ok(KeepAlive::Alive(ttl))
    }

    /// Revokes a lease, which deletes the keys attached to it. The store refuses a lease that has
    /// expired or was revoked.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let store = self.with_priority(Priority::Lease);
        let call = lease_call(lease);
        let reply: Result<LeaseReply, StoreError> = store
            .call(PATH_REVOKE, Idempotency::Idempotent, &call)
            .await;
        reply.map(|_| ())
    }

    /// Makes all further calls of every clone fail. Calls in progress continue.
    pub fn close(self) {
        self.inner.close();
    }

    async fn write_if(
        &self,
        key: &str,
        expect: Expect,
        op: Op,
    ) -> Result<WriteOutcome, StoreError> {
        let call = TxnCall {
            compare: Compare::new(key, expect).into_iter().collect(),
            success: vec![op],
            failure: vec![Op::Range(key_range(key))],
        };
        let reply: TxnReply = self
            .call(PATH_TXN, Idempotency::NotIdempotent, &call)
            .await?;
        parse_write(reply).map_err(|e| self.malformed(&e))
    }

    async fn call<C, R>(
        &self,
        path: &str,
        idempotency: Idempotency,
        body: &C,
    ) -> Result<R, StoreError>
    where
        C: Serialize,
        R: DeserializeOwned,
    {
        self.inner
            .call(self.priority, path, idempotency, body)
            .await
    }

    fn malformed(&self, error: &WireError) -> StoreError {
        let text = format!("malformed answer: {error}");
        StoreError::OutcomeUnknown(text, self.inner.retry_pause())
    }
}

fn key_range(key: &str) -> RangeCall {
    RangeCall {
        key: to_base64(key.as_bytes()),
        ..RangeCall::default()
    }
}

fn lease_call(lease: LeaseId) -> LeaseCall {
    LeaseCall {
        id: Num::from(lease.0),
        ..LeaseCall::default()
    }
}

fn parse_write(reply: TxnReply) -> Result<WriteOutcome, WireError> {
    if reply.succeeded {
        return Ok(WriteOutcome::Done(reply.header.revision.parse_revision()?));
    }
    let first = reply.responses.into_iter().next();
    let range = first.and_then(|r| r.response_range);
    let range = range.ok_or(WireError::Missing("response_range"))?;
    let listing = Listing::try_from(range)?;
    Ok(WriteOutcome::Conflict(listing.entries.into_iter().next()))
}
