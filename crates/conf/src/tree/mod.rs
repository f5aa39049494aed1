//! The operators' settings: organisations, values set at places, and the change history.
//!
//! A [`Tree`] is immutable; [`Tree::apply`] returns a new one with all edits applied, or
//! the findings. Values are inherited along [`Place::chain`].

mod apply;
mod change;
mod document;
mod key;
mod place;
mod resolve;
mod value;
mod views;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::OrgId;
use base::Revision;
use serde::Deserialize;
use serde::Serialize;

pub use apply::Change;
pub use apply::MAX_EDITS;
pub use apply::MAX_ORGS;
pub use apply::MAX_PLACES;
pub use change::ChangedValue;
pub use change::Edit;
pub use change::NameError;
pub use change::OpId;
pub use change::Operator;
pub use change::Record;
pub use document::MAX_BYTES;
pub use document::MAX_HISTORY_BYTES;
pub use document::MAX_OPS;
pub use key::Key;
pub use key::KeyError;
pub use place::Level;
pub use place::Place;
pub use place::PlaceError;
pub use value::Guarantee;
pub use value::Type;
pub use value::Value;
pub use views::OnOut;
pub use views::Percent;
pub use views::StartsOffline;
pub use views::Weight;

/// Number of writes of the store's key up to and including the write of a document; the
/// version of a key in etcd. 0 stands for an absent key.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct KeyVersion(pub u64);

impl KeyVersion {
    /// Version after one more write.
    pub fn next(self) -> KeyVersion {
        KeyVersion(self.0 + 1)
    }
}

/// Values set at one place, not inherited.
type Values = BTreeMap<Key, Value>;

/// The operators' settings at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tree {
    revision: Revision,
    version: KeyVersion,
    orgs: BTreeSet<OrgId>,
    values: BTreeMap<Place, Values>,
    /// Settings and places that this version of the program does not know, by place and
    /// name. They are written back unchanged.
    unrecognised: BTreeMap<String, BTreeMap<String, serde_json::Value>>,
    history: Vec<Record>,
    ops: Vec<(OpId, Revision)>,
}

impl Tree {
    /// The tree before the first change: revision 0, no organisations, all defaults.
    pub fn new() -> Tree {
        Tree::default()
    }

    /// Number of changes that led to this tree. Unlike the store's own revision, it is part
    /// of the document, so a restored older document is recognised by it.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Key version that this document was written for. It differs from the key's current
    /// version if someone has written an older document back.
    pub fn version(&self) -> KeyVersion {
        self.version
    }

    /// Returns the same tree for another version of the key.
    pub fn with_version(&self, version: KeyVersion) -> Tree {
        Tree {
            version,
            ..self.clone()
        }
    }

    /// Recent changes, newest first.
    pub fn history(&self) -> impl Iterator<Item = &Record> {
        self.history.iter().rev()
    }

    /// Changes after a revision, newest first, as far as the history reaches back.
    pub fn changes_after(&self, revision: Revision) -> Vec<Record> {
        let later = self.history().take_while(|r| r.revision > revision);
        later.cloned().collect()
    }

    /// Revision created by an operation, if it is among the last [`MAX_OPS`] operations.
    pub fn revision_of(&self, op: &OpId) -> Option<Revision> {
        let known = self.ops.iter().find(|(o, _)| o == op);
        known.map(|(_, r)| *r)
    }

    /// Operation that created this revision; `None` before the first change.
    pub fn last_op(&self) -> Option<&OpId> {
        self.ops.last().map(|(o, _)| o)
    }
}
