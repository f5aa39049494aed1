//! Messages of the etcd v3 JSON gateway, as the fake platform reads and writes them.
//!
//! Keys and values are base64 strings, and 64-bit integers are decimal strings. Fields with their
//! default value are omitted, as in the gateway.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde::Serialize;

/// A 64-bit integer, written as a decimal string and read from a string or a JSON number.
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

/// Bytes, encoded as a base64 string.
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

/// Header of every response.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Header {
    /// Id of the cluster.
    pub cluster_id: Num,
    /// Id of the member that responds.
    pub member_id: Num,
    /// Current revision of the store.
    pub revision: Num,
    /// Raft term.
    pub raft_term: Num,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KeyValue {
    /// Key in bytes.
    pub key: Blob,
    /// Revision of its creation.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub create_revision: Num,
    /// Revision of its last change.
    pub mod_revision: Num,
    /// Number of puts since its creation, which counts as the first.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub version: Num,
    /// Value in bytes; empty for a deleted key.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
    /// Lease that the key is attached to; zero for none.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub lease: Num,
}

/// Body of `range`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key of the range.
    pub key: Blob,
    /// End of the range, exclusive; empty for one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
    /// Maximum number of keys to return; zero for all.
    pub limit: Num,
    /// Revision to read at; zero for the current one.
    pub revision: Num,
}

/// Response of `range`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeResponse {
    /// Response header.
    pub header: Header,
    /// The keys with their values, in key order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit excluded keys of the range.
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    /// Number of keys in the range, regardless of the limit.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub count: Num,
}

/// Body of `put`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key to write.
    pub key: Blob,
    /// New value.
    pub value: Blob,
    /// Lease to attach the key to; zero for none.
    pub lease: Num,
}

/// Response of `put`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutResponse {
    /// Response header.
    pub header: Header,
}

/// Body of `deleterange`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// First key of the range.
    pub key: Blob,
    /// End of the range, exclusive; empty for one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
}

/// Response of `deleterange`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeleteRangeResponse {
    /// Response header.
    pub header: Header,
    /// Number of keys deleted.
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
    /// Key to compare; an absent key compares as all zeros.
    pub key: Blob,
    /// Value to compare with if the target is `CREATE`.
    #[serde(alias = "createRevision")]
    pub create_revision: Num,
    /// Value to compare with if the target is `MOD`.
    #[serde(alias = "modRevision")]
    pub mod_revision: Num,
    /// Value to compare with if the target is `VERSION`.
    pub version: Num,
    /// Value to compare with if the target is `VALUE`.
    pub value: Blob,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A `range`.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// A `put`.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// A `deleterange`.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// Body of `txn`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Comparisons, which must all hold for `success` to be applied.
    pub compare: Vec<Compare>,
    /// Operations to apply if all comparisons hold.
    pub success: Vec<RequestOp>,
    /// Operations to apply otherwise.
    pub failure: Vec<RequestOp>,
}

/// Response of one operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResponseOp {
    /// Response of a `range`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
    /// Response of a `put`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_put: Option<PutResponse>,
    /// Response of a `deleterange`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_delete_range: Option<DeleteRangeResponse>,
}

/// Response of `txn`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnResponse {
    /// Response header.
    pub header: Header,
    /// Whether all comparisons held.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// One response for each operation applied.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Body of the lease requests.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Id of the lease; if zero in `grant`, the store chooses one.
    #[serde(rename = "ID")]
    pub id: Num,
    /// Time to live in seconds; used by `grant`.
    #[serde(rename = "TTL")]
    pub ttl: Num,
}

/// Response of the lease requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseResponse {
    /// Response header.
    pub header: Header,
    /// Id of the lease.
    #[serde(rename = "ID", skip_serializing_if = "Num::is_zero")]
    pub id: Num,
    /// Time to live in seconds; absent if the lease has expired.
    #[serde(rename = "TTL", skip_serializing_if = "Num::is_zero")]
    pub ttl: Num,
}

/// One message of a streaming response.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Streamed<T> {
    /// Content of the message.
    pub result: T,
}

/// Body of `watch`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Parameters of the watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// A watch to create.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key of the range.
    pub key: Blob,
    /// End of the range, exclusive; empty for one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
    /// First revision whose changes are sent; zero for the next one.
    #[serde(alias = "startRevision")]
    pub start_revision: Num,
    /// Whether to send the current revision periodically while there are no changes.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// A change of one key.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchEvent {
    /// `DELETE`, or absent for a put.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The key after the change.
    pub kv: KeyValue,
}

/// One message of a watch. It is a progress notification if it has neither `created` nor `canceled`
/// nor events.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchResponse {
    /// Response header.
    pub header: Header,
    /// Whether this is the first message.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// Whether this is the last message.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// First revision that a watch can start from, if the requested one has been compacted.
    #[serde(skip_serializing_if = "Num::is_zero")]
    pub compact_revision: Num,
    /// The changes, oldest first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// Body of an error response.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ErrorResponse {
    /// Error text.
    pub error: String,
    /// The same text again, as the gateway sends it.
    pub message: String,
    /// gRPC status code.
    pub code: i32,
}
