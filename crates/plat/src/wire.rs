//! Messages of the etcd v3 JSON gateway that the client uses.
//!
//! Keys and values are base64 texts and 64-bit numbers are decimal texts; absent fields have
//! their default value.

use std::num::ParseIntError;
use std::str::Utf8Error;

use base::Millis;
use base::Revision;
use base64::engine::general_purpose::STANDARD;
use base64::DecodeError;
use base64::Engine;
use bytes::Bytes;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::types::Entry;
use crate::types::Expect;
use crate::types::LeaseId;
use crate::types::Listing;

quick_error! {
    /// Why an answer cannot be understood.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum WireError {
        /// Base64 expected.
        Base64(e: DecodeError) {
            from()
            display("not base64: {e}")
        }
        /// A field of an operation's answer is missing.
        Missing(field: &'static str) {
            display("{field} is missing")
        }
        /// A number expected.
        Number(e: ParseIntError) {
            from()
            display("not a number: {e}")
        }
        /// A key expected.
        Utf8(e: Utf8Error) {
            from()
            display("the key is not UTF-8: {e}")
        }
    }
}

/// A 64-bit number as text; empty for zero.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Num(pub String);

impl From<i64> for Num {
    fn from(num: i64) -> Num {
        Num(num.to_string())
    }
}

impl From<Revision> for Num {
    fn from(revision: Revision) -> Num {
        Num(revision.0.to_string())
    }
}

impl Num {
    /// The number.
    pub fn read(&self) -> Result<i64, ParseIntError> {
        if self.0.is_empty() {
            return Ok(0);
        }
        self.0.parse()
    }

    /// The number as a revision.
    pub fn revision(&self) -> Result<Revision, ParseIntError> {
        if self.0.is_empty() {
            return Ok(Revision(0));
        }
        self.0.parse().map(Revision)
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Base64 text of some bytes.
pub fn blob(data: &[u8]) -> String {
    STANDARD.encode(data)
}

/// End of the range of keys that start with a prefix; all keys for an empty prefix.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// First key of the range of keys that start with a prefix.
pub fn range_start(prefix: &str) -> Vec<u8> {
    if prefix.is_empty() {
        return vec![0];
    }
    prefix.as_bytes().to_vec()
}

/// Header of an answer.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision.
    pub revision: Num,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Revision of the creation.
    pub create_revision: Num,
    /// Revision of the last change.
    pub mod_revision: Num,
    /// How often it was written since its creation.
    pub version: Num,
    /// The value.
    pub value: String,
    /// The lease.
    pub lease: Num,
}

impl KeyValue {
    /// The key as text.
    pub fn read_key(&self) -> Result<String, WireError> {
        let key = STANDARD.decode(&self.key)?;
        Ok(std::str::from_utf8(&key)?.to_string())
    }
}

impl TryFrom<KeyValue> for Entry {
    type Error = WireError;

    fn try_from(kv: KeyValue) -> Result<Entry, WireError> {
        let lease = kv.lease.read()?;
        Ok(Entry {
            key: kv.read_key()?,
            value: Bytes::from(STANDARD.decode(&kv.value)?),
            create: kv.create_revision.revision()?,
            revision: kv.mod_revision.revision()?,
            lease: (lease != 0).then_some(LeaseId(lease)),
            version: kv.version.revision()?.0,
        })
    }
}

/// Body of a range.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeCall {
    /// First key.
    pub key: String,
    /// End of the range, exclusive.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// Revision to read at.
    #[serde(skip_serializing_if = "Num::is_empty")]
    pub revision: Num,
}

/// Answer of a range.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RangeReply {
    /// The header.
    pub header: Header,
    /// The keys.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

impl TryFrom<RangeReply> for Listing {
    type Error = WireError;

    fn try_from(reply: RangeReply) -> Result<Listing, WireError> {
        let entries: Result<Vec<Entry>, WireError> =
            reply.kvs.into_iter().map(Entry::try_from).collect();
        Ok(Listing {
            entries: entries?,
            revision: reply.header.revision.revision()?,
        })
    }
}

/// Body of a put.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutCall {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The lease.
    #[serde(skip_serializing_if = "Num::is_empty")]
    pub lease: Num,
}

/// A comparison of a transaction.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Compare {
    /// How to compare.
    pub result: &'static str,
    /// What to compare.
    pub target: &'static str,
    /// The key.
    pub key: String,
    /// Revision of the creation.
    #[serde(skip_serializing_if = "Num::is_empty")]
    pub create_revision: Num,
    /// Revision of the last change.
    #[serde(skip_serializing_if = "Num::is_empty")]
    pub mod_revision: Num,
}

impl Compare {
    /// The comparison that an expectation stands for, if any.
    pub fn new(key: &str, expect: Expect) -> Option<Compare> {
        let base = Compare {
            result: "EQUAL",
            key: blob(key.as_bytes()),
            ..Compare::default()
        };
        match expect {
            Expect::Absent => Some(Compare {
                target: "CREATE",
                create_revision: Num::from(0),
                ..base
            }),
            Expect::Any => None,
            Expect::At(revision) => Some(Compare {
                target: "MOD",
                mod_revision: Num::from(revision),
                ..base
            }),
        }
    }
}

/// An operation of a transaction.
#[derive(Clone, Debug, Serialize)]
pub enum Op {
    /// Deletes keys.
    #[serde(rename = "request_delete_range")]
    Delete(RangeCall),
    /// Writes a key.
    #[serde(rename = "request_put")]
    Put(PutCall),
    /// Reads keys.
    #[serde(rename = "request_range")]
    Range(RangeCall),
}

/// Body of a transaction.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnCall {
    /// Comparisons that all have to hold.
    pub compare: Vec<Compare>,
    /// Operations if they hold.
    pub success: Vec<Op>,
    /// Operations otherwise.
    pub failure: Vec<Op>,
}

/// Answer of an operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct OpReply {
    /// Of a range.
    pub response_range: Option<RangeReply>,
}

/// Answer of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct TxnReply {
    /// The header.
    pub header: Header,
    /// Whether the comparisons held.
    #[serde(default)]
    pub succeeded: bool,
    /// Answers of the operations.
    #[serde(default)]
    pub responses: Vec<OpReply>,
}

/// Body of the lease calls.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseCall {
    /// The lease.
    #[serde(rename = "ID", skip_serializing_if = "Num::is_empty")]
    pub id: Num,
    /// Seconds to live.
    #[serde(rename = "TTL", skip_serializing_if = "Num::is_empty")]
    pub ttl: Num,
}

/// Answer of the lease calls.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LeaseReply {
    /// The lease.
    #[serde(default, rename = "ID")]
    pub id: Num,
    /// Seconds to live; zero once the lease has lapsed.
    #[serde(default, rename = "TTL")]
    pub ttl: Num,
}

impl LeaseReply {
    /// Time to live.
    pub fn span(&self) -> Result<Millis, ParseIntError> {
        let secs = self.ttl.read()?;
        Ok(Millis::from_secs(secs.max(0) as u64))
    }
}

/// One message of a streaming answer.
#[derive(Clone, Debug, Deserialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// An error answer.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ErrorReply {
    /// The problem.
    pub message: String,
    /// Number of the kind of error, as in gRPC.
    pub code: i32,
}
