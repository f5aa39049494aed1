//! What the store holds and answers.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base::Millis;
use base::Revision;
use bytes::Bytes;

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for LeaseId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<LeaseId, ParseIntError> {
        text.parse().map(LeaseId)
    }
}

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create: Revision,
    /// Revision of the last change.
    pub revision: Revision,
    /// The lease that the key ends with.
    pub lease: Option<LeaseId>,
    /// How often the key was written since it was created.
    pub version: u64,
}

/// All keys below a prefix at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The entries in the order of their keys.
    pub entries: Vec<Entry>,
    /// The store's revision that they were read at.
    pub revision: Revision,
}

/// What a conditional write expects of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// Anything.
    Any,
    /// The key was last changed at this revision.
    At(Revision),
}

/// Result of a conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Put {
    /// Not written, and it will not be; the key as it is.
    Conflict(Option<Entry>),
    /// Written at this revision.
    Done(Revision),
}

/// Result of a lease renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeepAlive {
    /// The lease runs for this long from when the store handled the call.
    Alive(Millis),
    /// The lease is over; keys under it are deleted.
    Lapsed,
}

/// One change that a watch tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was deleted or its lease ended.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
    /// A key was written.
    Put(Entry),
}

impl Change {
    /// Revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Delete { revision, .. } => *revision,
            Change::Put(entry) => entry.revision,
        }
    }
}
