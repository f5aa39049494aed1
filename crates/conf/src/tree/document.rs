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
pub const MAX_HISTORY_BYTES: usize = 200_000;
/// Largest number of records in the history.
const MAX_RECORDS: usize = 256;
/// Number of recent operation ids that the document keeps to recognise resends.
pub const MAX_OPS: usize = 512;
/// Version of the document's format.
const FORMAT: u32 = 1;

type RawValues = BTreeMap<String, BTreeMap<String, serde_json::Value>>;

/// The document as encoded.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct TreeDocument {
    format: u32,
    revision: Revision,
    version: KeyVersion,
    orgs: BTreeSet<OrgId>,
    values: RawValues,
    history: Vec<Record>,
    ops: Vec<(OpId, Revision)>,
}

impl From<&Tree> for TreeDocument {
    fn from(tree: &Tree) -> TreeDocument {
        let mut values = tree.unrecognised.clone();
        for (place, known) in &tree.values {
            let raw = values.entry(place.to_string()).or_default();
            raw.extend(known.iter().map(|(k, v)| (k.to_string(), raw_value(v))));
        }
        TreeDocument {
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

impl TryFrom<TreeDocument> for Tree {
    type Error = Findings;

    fn try_from(document: TreeDocument) -> Result<Tree, Findings> {
        let mut findings = Findings::new();
        if document.format != FORMAT {
            let problem = format!("format {} is not known", document.format);
            findings.add("format", problem, "upgrade this daemon");
        }
        if document.ops.last().map(|(_, r)| *r).unwrap_or_default() != document.revision {
            let problem = "the last operation did not make the revision";
            findings.add("ops", problem, "restore a whole document");
        }
        let mut tree = Tree {
            revision: document.revision,
            version: document.version,
            orgs: document.orgs,
            history: document.history,
            ops: document.ops,
            ..Tree::default()
        };
        for (text, raw) in document.values {
            tree.read_place(&text, raw, &mut findings);
        }
        findings.into_result(tree)
    }
}

impl Tree {
    /// Encodes the document.
    pub fn encode(&self) -> String {
        encode(&TreeDocument::from(self))
    }

    /// Decodes a document. Settings and places that this version does not know are kept and
    /// written back unchanged; an invalid value of a known setting is a finding.
    pub fn decode(data: &[u8]) -> Result<Tree, Findings> {
        let mut findings = Findings::new();
        if data.len() > MAX_BYTES {
            let problem = format!("{} bytes are too many", data.len());
            findings.add("settings document", problem, format!("keep {MAX_BYTES}"));
            return Err(findings);
        }
        match serde_json::from_slice::<TreeDocument>(data) {
            Ok(document) => document.try_into(),
            Err(err) => {
                let remedy = "restore it with tackctl from a daemon that holds it";
                findings.add("settings document", err.to_string(), remedy);
                Err(findings)
            }
        }
    }

    fn read_place(
        &mut self,
        text: &str,
        raw: BTreeMap<String, serde_json::Value>,
        findings: &mut Findings,
    ) {
        let place = text.parse::<Place>().ok();
        let mut known = Values::new();
        let mut unrecognised = BTreeMap::new();
        for (name, value) in raw {
            match name.parse::<Key>().ok().filter(|_| place.is_some()) {
                Some(key) => {
                    let location = format!("{text} {name}");
                    known.extend(read_value(key, value, &location, findings).map(|v| (key, v)));
                }
                None => {
                    unrecognised.insert(name, value);
                }
            }
        }
        if let Some(place) = place.filter(|_| !known.is_empty()) {
            self.values.insert(place, known);
        }
        if !unrecognised.is_empty() {
            self.unrecognised.insert(text.to_string(), unrecognised);
        }
    }

    pub(super) fn check_size(&self, findings: &mut Findings) {
        let len = self.encode().len();
        if len > MAX_BYTES {
            let problem = format!("the settings would take {len} bytes");
            findings.add("edits", problem, format!("keep them under {MAX_BYTES}"));
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
            if bytes > MAX_HISTORY_BYTES {
                break;
            }
            kept += 1;
        }
        self.history.drain(..self.history.len() - kept);
    }
}

fn read_value(
    key: Key,
    raw: serde_json::Value,
    location: &str,
    findings: &mut Findings,
) -> Option<Value> {
    let Ok(value) = serde_json::from_value::<Value>(raw) else {
        findings.add(
            location,
            "the value has the wrong type",
            format!("use {}", key.kind()),
        );
        return None;
    };
    key.kind().check(&value, location, findings);
    Some(value)
}

fn raw_value(value: &Value) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
