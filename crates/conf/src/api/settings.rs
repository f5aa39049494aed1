//! Requests and responses about settings, organisations, shapes and failure domains.

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

/// Selects the settings to read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsQuery {
    /// Place at which the settings are looked up; the site when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<Place>,
    /// Reads only this setting; every setting when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Key>,
}

/// Effective settings at a place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsReply {
    /// Settings revision in force on the answering daemon.
    pub revision: Revision,
    /// Time since the revision was last confirmed to be the newest.
    pub age: Millis,
    /// The effective settings.
    pub settings: Vec<Setting>,
}

/// Effective value of one setting.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Setting {
    /// Name of the setting.
    pub key: Key,
    /// Effective value.
    pub value: Value,
    /// Place that the value is inherited from; absent for the default.
    pub from: Option<Place>,
}

/// Where the effective value of a setting comes from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainReply {
    /// Settings revision in force on the answering daemon.
    pub revision: Revision,
    /// Name of the setting.
    pub key: Key,
    /// Effective value.
    pub value: Value,
    /// Lookup chain: the most specific place first, the default last.
    pub chain: Vec<ChainLink>,
}

/// One place in the lookup chain of a setting.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChainLink {
    /// The place; absent for the built-in default.
    pub at: Option<Place>,
    /// Whether the setting can be set at this level.
    pub allowed: bool,
    /// Value set at this place, if any.
    pub value: Option<Value>,
    /// Whether this value is the effective one.
    pub used: bool,
}

/// Filter of the change history.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryQuery {
    /// Restricts the list to changes at this place.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<Place>,
    /// Restricts the list to changes of this setting.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Key>,
    /// Maximum number of changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// Recorded changes, newest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryReply {
    /// Settings revision in force on the answering daemon.
    pub revision: Revision,
    /// Changes that match the query.
    pub records: Vec<Record>,
}

/// Request to change the settings tree; all edits are applied or none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsRequest {
    /// Operation id; a resend must carry the same id.
    pub op: OpId,
    /// Operator who makes the request.
    pub who: Operator,
    /// Revision that the operator has seen; if a newer one exists, the request conflicts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<Revision>,
    /// Edits, applied in order.
    pub edits: Vec<Edit>,
}

/// Request to take a failure domain out of service or back into service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainRequest {
    /// Operation id; a resend must carry the same id.
    pub op: OpId,
    /// Operator who makes the request.
    pub who: Operator,
}

/// Response to an accepted change, sent once the change is durable.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeReply {
    /// Operation id of the change.
    pub op: OpId,
    /// Revision that the change created.
    pub revision: Revision,
    /// Whether an earlier send of the same operation created the revision.
    pub repeated: bool,
    /// Daemons that have the revision in force.
    pub in_force: Vec<VmId>,
    /// Live daemons that did not confirm the revision within the time limit.
    pub not_heard: Vec<VmId>,
}

/// Details of a conflict with changes that were made first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// Newest revision.
    pub revision: Revision,
    /// Changes after the expected revision, newest first, as far as the history reaches
    /// back.
    pub records: Vec<Record>,
}

/// Body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Whether the request was not run, or may have been run.
    pub outcome: Outcome,
    /// Human-readable reason.
    pub reason: String,
    /// Delay after which to retry, if a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry: Option<Millis>,
    /// Validation errors of the input.
    #[serde(default, skip_serializing_if = "Findings::is_empty")]
    pub findings: Findings,
    /// Set if other changes were made first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Conflict>,
}

impl Refusal {
    /// Refuses a request that has not run and will not run.
    pub fn not_run(reason: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::NotRun,
            reason: reason.into(),
            retry: None,
            findings: Findings::new(),
            conflict: None,
        }
    }

    /// Answers a request that may have been run.
    pub fn unknown(reason: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::Unknown,
            ..Refusal::not_run(reason)
        }
    }
}

/// List of all organisations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrgsReply {
    /// Settings revision in force on the answering daemon.
    pub revision: Revision,
    /// Organisations, ordered by name.
    pub orgs: Vec<OrgInfo>,
}

/// Summary of one organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrgInfo {
    /// Name of the organisation.
    pub org: OrgId,
    /// Value of its `weight` setting.
    pub weight: u64,
    /// Number of accelerators in all of its guarantees.
    pub guaranteed: u64,
}

/// Filter of the guaranteed shapes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShapesQuery {
    /// Restricts the list to this organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub org: Option<OrgId>,
    /// Restricts the list to this failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainId>,
}

/// List of guaranteed shapes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShapesReply {
    /// Settings revision in force on the answering daemon.
    pub revision: Revision,
    /// Shapes, ordered by organisation and failure domain.
    pub shapes: Vec<ShapeInfo>,
}

/// Copies of a shape guaranteed to an organisation in a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShapeInfo {
    /// Organisation that holds the guarantee.
    pub org: OrgId,
    /// Failure domain in which it applies.
    pub domain: DomainId,
    /// Guaranteed shape.
    pub shape: Shape,
    /// Number of guaranteed copies.
    pub count: u32,
}
