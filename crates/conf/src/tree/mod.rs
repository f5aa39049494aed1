//! The operators' settings as a pure value: organisations, values at places, history.
//!
//! A [`Tree`] never changes; [`Tree::apply`] makes a new one from a list of edits, whole
//! or not at all. Values are inherited along [`Place::chain`].

mod apply;
mod change;
mod key;
mod place;
mod resolve;
mod value;
mod views;
mod wire;

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
pub use change::Edit;
pub use change::Item;
pub use change::NameError;
pub use change::OpId;
pub use change::Operator;
pub use change::Record;
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
pub use wire::MAX_BYTES;
pub use wire::MAX_HISTORY;
pub use wire::MAX_OPS;

/// How often the store's key had been written when it was written with a document, this
/// write included; etcd calls it the key's version. 0 stands for an absent key.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct KeyVersion(pub u64);

impl KeyVersion {
    /// The version of the next write.
    pub fn next(self) -> KeyVersion {
        KeyVersion(self.0 + 1)
    }
}

/// Values set at one place.
type Values = BTreeMap<Key, Value>;

/// The operators' settings at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tree {
    revision: Revision,
    version: KeyVersion,
    orgs: BTreeSet<OrgId>,
    values: BTreeMap<Place, Values>,
    /// Settings of a later version of the program, kept as they are.
    foreign: BTreeMap<String, BTreeMap<String, serde_json::Value>>,
    history: Vec<Record>,
    ops: Vec<(OpId, Revision)>,
}

impl Tree {
    /// The tree before the first change: revision 0, no organisation, every default.
    pub fn new() -> Tree {
        Tree::default()
    }

    /// The number of changes that led to this tree. Unlike the store's own revision it
    /// moves with the content, so that an older content is known by it.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The key's version that this document was written for. In the store it differs from
    /// the key's own version if somebody put an older document back.
    pub fn version(&self) -> KeyVersion {
        self.version
    }

    /// The same tree as a document for another version of the key.
    pub fn with_version(&self, version: KeyVersion) -> Tree {
        Tree {
            version,
            ..self.clone()
        }
    }

    /// The last changes, the latest first.
    pub fn history(&self) -> impl Iterator<Item = &Record> {
        self.history.iter().rev()
    }

    /// The changes after a revision, the latest first, as far as the history goes back.
    pub fn since(&self, revision: Revision) -> Vec<Record> {
        let later = self.history().take_while(|r| r.revision > revision);
        later.cloned().collect()
    }

    /// The revision that an operation made, if it is among the last [`MAX_OPS`].
    pub fn made_by(&self, op: &OpId) -> Option<Revision> {
        let made = self.ops.iter().find(|(o, _)| o == op);
        made.map(|(_, r)| *r)
    }

    /// The operation that made this revision; absent before the first change.
    pub fn last_op(&self) -> Option<&OpId> {
        self.ops.last().map(|(o, _)| o)
    }
}
