//! Types of the store client: entries, conditions, results and changes.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base::Millis;
use base::Revision;
use bytes::Bytes;

/// Id of a lease of the store.
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

/// A key with its value and revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create_revision: Revision,
    /// Revision of the last write.
    pub revision: Revision,
    /// The lease that the key is attached to. The store deletes the key when the lease ends.
    pub lease: Option<LeaseId>,
    /// Number of writes since the key was created, including its creation.
    pub version: u64,
}

/// All keys with a prefix as of one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The entries, ordered by key.
    pub entries: Vec<Entry>,
    /// Revision of the store at which the entries were read.
    pub revision: Revision,
}

/// Condition that a key must meet for a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// No condition: the write is unconditional.
    Any,
    /// The key was last written at this revision.
    At(Revision),
}

/// Result of a conditional write or deletion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The condition does not hold, and the write will not take effect. Holds the present entry,
    /// `None` if the key does not exist.
    Conflict(Option<Entry>),
    /// The write took effect at this revision.
    Done(Revision),
}

/// Result of a lease renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeepAlive {
    /// The lease ends after this time, counted from when the store processed the call.
    Alive(Millis),
    /// The lease has expired or was revoked, and the keys attached to it were deleted.
    Lapsed,
}

/// A change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was deleted by a call or by the end of its lease.
    Delete {
        /// The deleted key.
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
