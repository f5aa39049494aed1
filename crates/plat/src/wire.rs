//! Messages of the etcd v3 JSON gateway, as far as the client uses them.
//!
//! Keys and values are base64 strings, and 64-bit numbers are decimal strings. Absent fields have
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
    /// Why a response cannot be parsed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum WireError {
        /// A key or value is not base64.
        Base64(e: DecodeError) {
            from()
            display("not base64: {e}")
        }
        /// A field of a response is missing.
        Missing(field: &'static str) {
            display("{field} is missing")
        }
        /// A number is malformed.
        Number(e: ParseIntError) {
            from()
            display("not a number: {e}")
        }
        /// A key is not UTF-8.
        Utf8(e: Utf8Error) {
            from()
            display("the key is not UTF-8: {e}")
        }
    }
}

/// A 64-bit number as a decimal string; an empty string stands for zero.
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
    /// Parses the number.
    pub fn parse(&self) -> Result<i64, ParseIntError> {
        if self.0.is_empty() {
            return Ok(0);
        }
        self.0.parse()
    }

    /// Parses the number as a revision.
    pub fn parse_revision(&self) -> Result<Revision, ParseIntError> {
        if self.0.is_empty() {
            return Ok(Revision(0));
        }
        self.0.parse().map(Revision)
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Encodes bytes as base64.
pub fn to_base64(data: &[u8]) -> String {
    STANDARD.encode(data)
}

/// End, exclusive, of the range of keys that start with a prefix. For an empty prefix it is the
/// single byte 0, which stands for the end of all keys.
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

/// First key of the range of keys that start with a prefix. For an empty prefix it is the single
/// byte 0, the lowest key, because an empty key is not valid.
pub fn range_start(prefix: &str) -> Vec<u8> {
    if prefix.is_empty() {
        return vec![0];
    }
    prefix.as_bytes().to_vec()
}

/// Header of a response.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store when it processed the call.
    pub revision: Num,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key in base64.
    pub key: String,
    /// Revision at which the key was created.
    pub create_revision: Num,
    /// Revision of the last write.
    pub mod_revision: Num,
    /// Number of writes since the key was created, including its creation.
    pub version: Num,
    /// The value in base64.
    pub value: String,
    /// Id of the lease that the key is attached to; zero without one.
    pub lease: Num,
}

impl KeyValue {
    /// Decodes the key.
    pub fn decode_key(&self) -> Result<String, WireError> {
        let key = STANDARD.decode(&self.key)?;
        Ok(std::str::from_utf8(&key)?.to_string())
    }
}

impl TryFrom<KeyValue> for Entry {
    type Error = WireError;

    fn try_from(kv: KeyValue) -> Result<Entry, WireError> {
        let lease = kv.lease.parse()?;
        Ok(Entry {
            key: kv.decode_key()?,
            value: Bytes::from(STANDARD.decode(&kv.value)?),
            create_revision: kv.create_revision.parse_revision()?,
            revision: kv.mod_revision.parse_revision()?,
            lease: (lease != 0).then_some(LeaseId(lease)),
            version: kv.version.parse_revision()?.0,
        })
    }
}

/// Body of a range call, and key or range of a deletion.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeCall {
    /// First key in base64.
    pub key: String,
    /// End of the range in base64, exclusive; empty for a single key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// Revision to read at; zero for the latest.
    #[serde(skip_serializing_if = "Num::is_empty")]
    pub revision: Num,
}

/// Response to a range call.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RangeReply {
    /// Header with the revision of the store.
    pub header: Header,
    /// The keys found, with their values.
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
            revision: reply.header.revision.parse_revision()?,
        })
    }
}

/// Body of a put operation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutCall {
    /// The key in base64.
    pub key: String,
    /// The value in base64.
    pub value: String,
    /// Id of the lease to attach the key to; zero for none.
    #[serde(skip_serializing_if = "Num::is_empty")]
    pub lease: Num,
}

/// A comparison of a transaction.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Compare {
    /// Comparison operator.
    pub result: &'static str,
    /// Field of the key to compare.
    pub target: &'static str,
    /// The key in base64.
    pub key: String,
    /// Expected revision of the creation.
    #[serde(skip_serializing_if = "Num::is_empty")]
    pub create_revision: Num,
    /// Expected revision of the last write.
    #[serde(skip_serializing_if = "Num::is_empty")]
    pub mod_revision: Num,
}

impl Compare {
    /// The comparison for an expectation; `None` for [`Expect::Any`].
    pub fn new(key: &str, expect: Expect) -> Option<Compare> {
        let base = Compare {
            result: "EQUAL",
            key: to_base64(key.as_bytes()),
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
    /// Comparisons, all of which must hold for the transaction to succeed.
    pub compare: Vec<Compare>,
    /// Operations to carry out if all comparisons hold.
    pub success: Vec<Op>,
    /// Operations to carry out otherwise.
    pub failure: Vec<Op>,
}

/// Response to an operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct OpReply {
    /// Response to a range operation.
    pub response_range: Option<RangeReply>,
}

/// Response to a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct TxnReply {
    /// Header with the revision of the store.
    pub header: Header,
    /// Whether all comparisons held.
    #[serde(default)]
    pub succeeded: bool,
    /// Responses to the operations, in order.
    #[serde(default)]
    pub responses: Vec<OpReply>,
}

/// Body of a lease call.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseCall {
    /// Id of the lease.
    #[serde(rename = "ID", skip_serializing_if = "Num::is_empty")]
    pub id: Num,
    /// Time to live in seconds.
    #[serde(rename = "TTL", skip_serializing_if = "Num::is_empty")]
    pub ttl: Num,
}

/// Response to a lease call.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LeaseReply {
    /// Id of the lease.
    #[serde(default, rename = "ID")]
    pub id: Num,
    /// Time to live in seconds; zero if the lease has expired or was revoked.
    #[serde(default, rename = "TTL")]
    pub ttl: Num,
}

impl LeaseReply {
    /// Parses the time to live.
    pub fn time_to_live(&self) -> Result<Millis, ParseIntError> {
        let secs = self.ttl.parse()?;
        Ok(Millis::from_secs(secs.max(0) as u64))
    }
}

/// A message of a streaming response.
#[derive(Clone, Debug, Deserialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Body of an error response.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ErrorReply {
    /// Description of the error.
    pub message: String,
    /// gRPC status code.
    pub code: i32,
}
