//! JSON document in which the tree is stored and sent between daemons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Findings;
use base::OrgId;
use base::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::tree::change::OpId;
use crate::tree::change::Record;
use crate::tree::key::Key;
use crate::tree::place::Place;
use crate::tree::value::Value;
use crate::tree::KeyVersion;
use crate::tree::Tree;
use crate::tree::Values;

/// Largest document in bytes; the store accepts values of up to a megabyte.
pub const MAX_BYTES: usize = 900_000;
/// Largest size of the encoded history in the document.
pub const MAX_HISTORY: usize = 200_000;
/// Largest number of records in the history.
const MAX_RECORDS: usize = 256;
/// Number of recent operation ids that the document keeps to recognise resends.
pub const MAX_OPS: usize = 512;
/// Version of the document's format.
const FORMAT: u32 = 1;

type Raw = BTreeMap<String, BTreeMap<String, serde_json::Value>>;

/// The document as encoded.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct TreeWire {
    format: u32,
    revision: Revision,
    version: KeyVersion,
    orgs: BTreeSet<OrgId>,
    values: Raw,
    history: Vec<Record>,
    ops: Vec<(OpId, Revision)>,
}

impl From<&Tree> for TreeWire {
    fn from(tree: &Tree) -> TreeWire {
        let mut values = tree.foreign.clone();
        for (place, own) in &tree.values {
            let raw = values.entry(place.to_string()).or_default();
            raw.extend(own.iter().map(|(k, v)| (k.to_string(), raw_value(v))));
        }
        TreeWire {
            format: FORMAT,
            revision: tree.revision,
            version: tree.version,
            orgs: tree.orgs.clone(),
            values,
            history: tree.history.clone(),
            ops: tree.ops.clone(),
        }
    }
}

impl TryFrom<TreeWire> for Tree {
    type Error = Findings;

    fn try_from(wire: TreeWire) -> Result<Tree, Findings> {
        let mut found = Findings::new();
        if wire.format != FORMAT {
            let problem = format!("format {} is not known", wire.format);
            found.add("format", problem, "upgrade this daemon");
        }
        if wire.ops.last().map(|(_, r)| *r).unwrap_or_default() != wire.revision {
            let problem = "the last operation did not make the revision";
            found.add("ops", problem, "restore a whole document");
        }
        let mut tree = Tree {
            revision: wire.revision,
            version: wire.version,
            orgs: wire.orgs,
            history: wire.history,
            ops: wire.ops,
            ..Tree::default()
        };
        for (text, raw) in wire.values {
            tree.read_place(&text, raw, &mut found);
        }
        found.into_result(tree)
    }
}

impl Tree {
    /// Encodes the document.
    pub fn encode(&self) -> String {
        encode(&TreeWire::from(self))
    }

    /// Decodes a document. Settings and places that this version does not know are kept and
    /// written back unchanged; an invalid value of a known setting is a finding.
    pub fn decode(data: &[u8]) -> Result<Tree, Findings> {
        let mut found = Findings::new();
        if data.len() > MAX_BYTES {
            let problem = format!("{} bytes are too many", data.len());
            found.add("settings document", problem, format!("keep {MAX_BYTES}"));
            return Err(found);
        }
        match serde_json::from_slice::<TreeWire>(data) {
            Ok(wire) => wire.try_into(),
            Err(err) => {
                let remedy = "restore it with tackctl from a daemon that holds it";
                found.add("settings document", err.to_string(), remedy);
                Err(found)
            }
        }
    }

    fn read_place(
        &mut self,
        text: &str,
        raw: BTreeMap<String, serde_json::Value>,
        found: &mut Findings,
    ) {
        let place = text.parse::<Place>().ok();
        let mut own = Values::new();
        let mut foreign = BTreeMap::new();
        for (name, value) in raw {
            match name.parse::<Key>().ok().filter(|_| place.is_some()) {
                Some(key) => {
                    let at = format!("{text} {name}");
                    own.extend(read_value(key, value, &at, found).map(|v| (key, v)));
                }
                None => {
                    foreign.insert(name, value);
                }
            }
        }
        if let Some(place) = place.filter(|_| !own.is_empty()) {
            self.values.insert(place, own);
        }
        if !foreign.is_empty() {
            self.foreign.insert(text.to_string(), foreign);
        }
    }

    pub(super) fn check_size(&self, found: &mut Findings) {
        let len = self.encode().len();
        if len > MAX_BYTES {
            let problem = format!("the settings would take {len} bytes");
            found.add("edits", problem, format!("keep them under {MAX_BYTES}"));
        }
    }

    /// Removes the oldest history records and operation ids that exceed the limits.
    pub(super) fn trim(&mut self) {
        let extra = self.ops.len().saturating_sub(MAX_OPS);
        self.ops.drain(..extra);
        let mut bytes = 0;
        let mut kept = 0;
        for record in self.history.iter().rev().take(MAX_RECORDS) {
            bytes += encode(record).len();
            if bytes > MAX_HISTORY {
                break;
            }
            kept += 1;
        }
        self.history.drain(..self.history.len() - kept);
    }
}

fn read_value(key: Key, raw: serde_json::Value, at: &str, found: &mut Findings) -> Option<Value> {
    let Ok(value) = serde_json::from_value::<Value>(raw) else {
        found.add(
            at,
            "the value has the wrong type",
            format!("use {}", key.kind()),
        );
        return None;
    };
    key.kind().check(&value, at, found);
    Some(value)
}

fn raw_value(value: &Value) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
