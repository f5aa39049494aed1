//! Messages on settings, organisations, shapes and failure domains.

use base::DomainId;
use base::Findings;
use base::Millis;
use base::OrgId;
use base::Outcome;
use base::Revision;
use base::Shape;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::tree::Edit;
use crate::tree::Key;
use crate::tree::OpId;
use crate::tree::Operator;
use crate::tree::Place;
use crate::tree::Record;
use crate::tree::Value;

/// Which settings to read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsQuery {
    /// Where to look them up; the site when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<Place>,
    /// One setting; all when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Key>,
}

/// Settings as they are in force at a place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsReply {
    /// The revision that the daemon has in force.
    pub revision: Revision,
    /// Age of the proof that no newer revision exists.
    pub age: Millis,
    /// The settings.
    pub settings: Vec<Setting>,
}

/// One setting in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Setting {
    /// Its name.
    pub key: Key,
    /// Its value.
    pub value: Value,
    /// The place that gives it; absent for the default.
    pub from: Option<Place>,
}

/// Where the value of one setting comes from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainReply {
    /// The revision that the daemon has in force.
    pub revision: Revision,
    /// The setting.
    pub key: Key,
    /// Its value.
    pub value: Value,
    /// All places on the way, the most specific first, the default last.
    pub chain: Vec<ChainLink>,
}

/// One place on the way to a value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChainLink {
    /// The place; absent for the default.
    pub at: Option<Place>,
    /// Whether the setting can be set at this level.
    pub allowed: bool,
    /// The value set there, if any.
    pub value: Option<Value>,
    /// Whether this is the value in force.
    pub used: bool,
}

/// Which changes to list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryQuery {
    /// Only changes that touched this place.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<Place>,
    /// Only changes that touched this setting.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Key>,
    /// Most changes to list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// Changes, the latest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryReply {
    /// The revision that the daemon has in force.
    pub revision: Revision,
    /// The changes.
    pub records: Vec<Record>,
}

/// Changes the tree, whole or not at all.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsCall {
    /// The operation; a resend carries the same id.
    pub op: OpId,
    /// Who asks.
    pub who: Operator,
    /// The revision that the operator has seen; a later one is a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<Revision>,
    /// The edits, in order.
    pub edits: Vec<Edit>,
}

/// Takes a failure domain out of service or back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainCall {
    /// The operation; a resend carries the same id.
    pub op: OpId,
    /// Who asks.
    pub who: Operator,
}

/// An accepted change. It is durable when this is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeReply {
    /// The operation.
    pub op: OpId,
    /// The revision that it made.
    pub revision: Revision,
    /// Whether an earlier send of the same operation made it.
    pub repeated: bool,
    /// Daemons that have it in force.
    pub in_force: Vec<VmId>,
    /// Daemons not heard from within the bound.
    pub not_heard: Vec<VmId>,
}

/// A change that came first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// The newest revision.
    pub revision: Revision,
    /// The changes that the operator had not seen, the latest first, as far as the history
    /// goes back.
    pub records: Vec<Record>,
}

/// Why a call was not carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Not run, or unknown when it may have been carried out.
    pub outcome: Outcome,
    /// The reason.
    pub reason: String,
    /// When to come back, if that may help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry: Option<Millis>,
    /// Problems of the input.
    #[serde(default, skip_serializing_if = "Findings::is_empty")]
    pub findings: Findings,
    /// The change that came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Conflict>,
}

impl Refusal {
    /// A refusal of a call that did not run and will not run.
    pub fn not_run(reason: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::NotRun,
            reason: reason.into(),
            retry: None,
            findings: Findings::new(),
            conflict: None,
        }
    }

    /// The answer to a call that may have been carried out.
    pub fn unknown(reason: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::Unknown,
            ..Refusal::not_run(reason)
        }
    }
}

/// All organisations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrgsReply {
    /// The revision that the daemon has in force.
    pub revision: Revision,
    /// The organisations by name.
    pub orgs: Vec<OrgInfo>,
}

/// One organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrgInfo {
    /// The organisation.
    pub org: OrgId,
    /// Its `weight`.
    pub weight: u64,
    /// Accelerators of all of its guarantees.
    pub guaranteed: u64,
}

/// Which guaranteed shapes to list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShapesQuery {
    /// Only those of this organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub org: Option<OrgId>,
    /// Only those in this failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainId>,
}

/// Guaranteed shapes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShapesReply {
    /// The revision that the daemon has in force.
    pub revision: Revision,
    /// The shapes by organisation and failure domain.
    pub shapes: Vec<ShapeInfo>,
}

/// Copies of a shape that an organisation holds in a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShapeInfo {
    /// The organisation.
    pub org: OrgId,
    /// The failure domain.
    pub domain: DomainId,
    /// The shape.
    pub shape: Shape,
    /// Copies.
    pub count: u32,
}
