//! Messages of watches in the etcd v3 JSON gateway.

use base::Revision;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::types::Change;
use crate::types::Entry;
use crate::wire;
use crate::wire::to_base64;
use crate::wire::Header;
use crate::wire::KeyValue;
use crate::wire::Num;
use crate::wire::Streamed;
use crate::wire::WireError;

quick_error! {
    /// Why a message of a watch cannot be parsed.
    #[derive(Debug)]
    pub enum MessageError {
        /// The message is not the expected JSON.
        Json(e: serde_json::Error) {
            from()
            display("malformed message: {e}")
        }
        /// A field is malformed.
        Wire(e: WireError) {
            from()
            display("malformed message: {e}")
        }
    }
}

/// Body of the call that opens a watch.
#[derive(Clone, Debug, Serialize)]
pub struct WatchCall {
    create_request: Create,
}

#[derive(Clone, Debug, Serialize)]
struct Create {
    key: String,
    range_end: String,
    start_revision: Num,
    progress_notify: bool,
}

impl WatchCall {
    /// Watches all keys with a prefix, starting with the changes of revision `start`.
    pub fn new(prefix: &str, start: Revision) -> WatchCall {
        WatchCall {
            create_request: Create {
                key: to_base64(&wire::range_start(prefix)),
                range_end: to_base64(&wire::range_end(prefix)),
                start_revision: Num::from(start),
                progress_notify: true,
            },
        }
    }
}

/// A message of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// The store canceled the watch.
    Canceled,
    /// Changes in the order of their revisions.
    Changes(Vec<Change>),
    /// The store has compacted the revision to start from.
    Compacted,
    /// The store has opened the watch.
    Created,
    /// All changes up to this revision have been sent.
    Progress(Revision),
}

impl Message {
    /// Parses a line of the response.
    pub fn parse(line: &[u8]) -> Result<Message, MessageError> {
        let streamed: Streamed<Reply> = serde_json::from_slice(line)?;
        Ok(Message::try_from(streamed.result)?)
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Reply {
    header: Header,
    created: bool,
    canceled: bool,
    compact_revision: Num,
    events: Vec<WireEvent>,
}

#[derive(Clone, Debug, Deserialize)]
struct WireEvent {
    #[serde(default, rename = "type")]
    kind: String,
    kv: KeyValue,
}

impl TryFrom<Reply> for Message {
    type Error = WireError;

    fn try_from(reply: Reply) -> Result<Message, WireError> {
        if reply.compact_revision.parse()? != 0 {
            return Ok(Message::Compacted);
        }
        if reply.canceled {
            return Ok(Message::Canceled);
        }
        if reply.created {
            return Ok(Message::Created);
        }
        if reply.events.is_empty() {
            return Ok(Message::Progress(reply.header.revision.parse_revision()?));
        }
        let changes: Result<Vec<Change>, WireError> =
            reply.events.into_iter().map(Change::try_from).collect();
        Ok(Message::Changes(changes?))
    }
}

impl TryFrom<WireEvent> for Change {
    type Error = WireError;

    fn try_from(event: WireEvent) -> Result<Change, WireError> {
        if event.kind == "DELETE" {
            return Ok(Change::Delete {
                key: event.kv.decode_key()?,
                revision: event.kv.mod_revision.parse_revision()?,
            });
        }
        Ok(Change::Put(Entry::try_from(event.kv)?))
    }
}
