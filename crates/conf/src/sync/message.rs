//! Messages between daemons about settings, and the stored document.

use base::Millis;
use base::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::tree::KeyVersion;
use crate::tree::OpId;

/// Store revision at which the value was last written; 0 for an absent value.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StoreRev(pub u64);

/// The settings document as the store holds it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct StoredDoc {
    /// Store revision of the last write.
    pub rev: StoreRev,
    /// Number of writes of the key.
    pub version: KeyVersion,
    /// Encoded document; absent before the first change.
    pub data: Option<Vec<u8>>,
}

/// Reading of a daemon's own clock. Peers echo it unchanged; only its sender compares it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Stamp {
    /// Number of times that the clock has stepped back.
    pub era: u32,
    /// Time by that clock.
    pub at: Millis,
}

/// Message about settings between two daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PeerMessage {
    /// Revision in force on the sender; absent if there is none.
    pub revision: Option<Revision>,
    /// Operation that created the revision.
    pub op: Option<OpId>,
    /// Time since the sender's last confirmation that the revision is the newest.
    pub age: Option<Millis>,
    /// Whether a write by the sender may still take effect.
    pub changing: bool,
    /// Sender's clock; the receiver returns it in [`PeerMessage::echo`].
    pub sent: Stamp,
    /// Receiver's clock, from the latest message that the sender has received from it.
    pub echo: Option<Stamp>,
    /// Whether the sender requests a reply.
    pub ask: bool,
    /// Whether the sender requests the document.
    pub want: bool,
    /// Encoded document, if requested.
    pub doc: Option<String>,
}
