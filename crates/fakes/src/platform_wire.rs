//! Messages of the etcd v3 JSON gateway, as the stand-in reads and writes them.
//!
//! Keys and values are base64 texts and 64-bit numbers are decimal texts. Fields with their
//! default value are left out, as the gateway does.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde::Serialize;

/// A 64-bit number as decimal text; a plain number is read too.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "NumText", into = "NumText")]
pub struct Num(pub i64);

#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum NumText {
    Num(i64),
    Text(String),
}

impl From<NumText> for Num {
    fn from(text: NumText) -> Num {
        match text {
            NumText::Num(n) => Num(n),
            NumText::Text(t) => Num(t.parse().unwrap_or(0)),
        }
    }
}

impl From<Num> for NumText {
    fn from(num: Num) -> NumText {
        NumText::Text(num.0.to_string())
    }
}

impl Num {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

/// Bytes as base64 text.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Blob(pub Vec<u8>);

impl TryFrom<String> for Blob {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Blob, base64::DecodeError> {
        STANDARD.decode(text).map(Blob)
    }
}

impl From<Blob> for String {
    fn from(blob: Blob) -> String {
        STANDARD.encode(blob.0)
    }
}

impl Blob {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Header of every answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Header {
    /// The cluster.
    pub cluster_id: Num,
    /// The member that answers.
    pub member_id: Num,
    /// The store's revision.
    pub revision: Num,
    /// The consensus term.
    pub raft_term: Num,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// Revision of its creation.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub create_revision: Num,
    /// Revision of its last change.
    pub mod_revision: Num,
    /// Changes since its creation.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub version: Num,
    /// The value.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
    /// The lease that it is attached to.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub lease: Num,
}

/// Body of `range`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeCall {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
    /// Most keys to answer; zero for all.
    pub limit: Num,
    /// Revision to read at; zero for the last.
    pub revision: Num,
}

/// Answer of `range`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeReply {
    /// The header.
    pub header: Header,
    /// The keys in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit left keys out.
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    /// Number of keys in the range.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub count: Num,
}

/// Body of `put`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutCall {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// The lease, zero for none.
    pub lease: Num,
}

/// Answer of `put`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutReply {
    /// The header.
    pub header: Header,
}

/// Body of `deleterange`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteCall {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
}

/// Answer of `deleterange`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeleteReply {
    /// The header.
    pub header: Header,
    /// Keys deleted.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub deleted: Num,
}

/// One comparison of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// `EQUAL`, `GREATER`, `LESS` or `NOT_EQUAL`.
    pub result: String,
    /// `CREATE`, `MOD`, `VERSION` or `VALUE`.
    pub target: String,
    /// The key.
    pub key: Blob,
    /// Compared with a `CREATE` target.
    #[serde(alias = "createRevision")]
    pub create_revision: Num,
    /// Compared with a `MOD` target.
    #[serde(alias = "modRevision")]
    pub mod_revision: Num,
    /// Compared with a `VERSION` target.
    pub version: Num,
    /// Compared with a `VALUE` target.
    pub value: Blob,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnOp {
    /// A `range`.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeCall>,
    /// A `put`.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutCall>,
    /// A `deleterange`.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteCall>,
}

/// Body of `txn`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnCall {
    /// Comparisons that all have to hold.
    pub compare: Vec<Compare>,
    /// Operations if they hold.
    pub success: Vec<TxnOp>,
    /// Operations otherwise.
    pub failure: Vec<TxnOp>,
}

/// Answer of one operation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnOpReply {
    /// Of a `range`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReply>,
    /// Of a `put`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_put: Option<PutReply>,
    /// Of a `deleterange`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_delete_range: Option<DeleteReply>,
}

/// Answer of `txn`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnReply {
    /// The header.
    pub header: Header,
    /// Whether the comparisons held.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// One answer an operation.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<TxnOpReply>,
}

/// Body of the lease calls.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseCall {
    /// The lease; zero in `grant` lets the store choose.
    #[serde(rename = "ID")]
    pub id: Num,
    /// Seconds to live, in `grant`.
    #[serde(rename = "TTL")]
    pub ttl: Num,
}

/// Answer of the lease calls.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseReply {
    /// The header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID", skip_serializing_if = "Num::is_zero")]
    pub id: Num,
    /// Seconds to live; absent once the lease has lapsed.
    #[serde(rename = "TTL", skip_serializing_if = "Num::is_zero")]
    pub ttl: Num,
}

/// One message of a streaming answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Body of `watch`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCall {
    /// The watch to create.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// A watch to create.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
    /// First revision to tell; zero for the next.
    #[serde(alias = "startRevision")]
    pub start_revision: Num,
    /// Whether to tell the revision from time to time without changes.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// One change.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchEvent {
    /// `DELETE`, or absent for a put.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The key afterwards.
    pub kv: KeyValue,
}

/// One message of a watch. Without `created`, `canceled` and events it tells progress.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchReply {
    /// The header.
    pub header: Header,
    /// Whether this is the first message.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// Whether this is the last message.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// First revision still known, if the start was compacted away.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub compact_revision: Num,
    /// The changes in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// An error answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ErrorReply {
    /// The problem.
    pub error: String,
    /// The same text.
    pub message: String,
    /// The number of the kind of error.
    pub code: i32,
}
