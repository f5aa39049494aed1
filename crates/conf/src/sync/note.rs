//! What daemons tell each other about settings, and the value in the store.

use base::Millis;
use base::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::tree::KeyVersion;
use crate::tree::OpId;

/// The store's revision at which a value was last written; 0 for an absent value.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StoreRev(pub u64);

/// The settings document as the store holds it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Stored {
    /// When it was last written.
    pub rev: StoreRev,
    /// How often it was written.
    pub version: KeyVersion,
    /// The document; absent before the first change.
    pub data: Option<Vec<u8>>,
}

/// A daemon's own time, which only that daemon reads again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Stamp {
    /// How often its clock has stepped back.
    pub era: u32,
    /// Its time.
    pub at: Millis,
}

/// A message between two daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Note {
    /// The revision that the sender holds; absent when it holds none.
    pub revision: Option<Revision>,
    /// The operation that made it.
    pub op: Option<OpId>,
    /// Age of the sender's proof that it is the newest.
    pub age: Option<Millis>,
    /// Whether a change may be on its way to the store from the sender.
    pub changing: bool,
    /// The sender's time; it comes back to the sender in [`Note::echo`].
    pub sent: Stamp,
    /// The receiver's time from the latest note that the sender has got from it.
    pub echo: Option<Stamp>,
    /// Whether the sender asks for an answer.
    pub ask: bool,
    /// Whether the sender asks for the document.
    pub want: bool,
    /// The document of the revision.
    pub doc: Option<String>,
}
