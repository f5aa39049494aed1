//! Edits, operation ids and history records.

use std::fmt;
use std::str::FromStr;

use base::DomainId;
use base::Millis;
use base::OrgId;
use base::Revision;
use base::Shape;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::tree::place::Place;
use crate::tree::value::Value;

/// Longest operation id or operator name.
const MAX_NAME_BYTES: usize = 64;

quick_error! {
    /// Error of parsing an operation id or operator name.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum NameError {
        /// Kind of name and the invalid text.
        Malformed(kind: &'static str, text: String) {
            display("{text:?} is not a valid {kind}: use 1 to 64 letters, digits or '-_.@'")
        }
    }
}

macro_rules! name {
    ($(#[$doc:meta] $name:ident, $kind:literal;)*) => {$(
        #[$doc]
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<$name, NameError> {
                let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.@".contains(&b);
                if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(is_allowed) {
                    return Err(NameError::Malformed($kind, text.to_string()));
                }
                Ok($name(text.to_string()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<$name, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    )*};
}

name! {
    /// Id of an operation; a resend carries the same id, which makes the operation idempotent.
    OpId, "operation id";
    /// Name of the operator who requested a change.
    Operator, "operator";
}

/// One edit of the settings tree.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "edit")]
pub enum Edit {
    /// Creates an organisation.
    AddOrg {
        /// Name of the new organisation.
        org: OrgId,
    },
    /// Adds copies of a guaranteed shape.
    AddShape {
        /// Organisation that the shape is guaranteed to.
        org: OrgId,
        /// Failure domain of the guarantee.
        domain: DomainId,
        /// Guaranteed shape.
        shape: Shape,
        /// Number of copies to add.
        count: u32,
    },
    /// Removes an organisation with all of its settings.
    RemoveOrg {
        /// Name of the organisation.
        org: OrgId,
    },
    /// Removes copies of a guaranteed shape.
    RemoveShape {
        /// Organisation that the shape is guaranteed to.
        org: OrgId,
        /// Failure domain of the guarantee.
        domain: DomainId,
        /// Guaranteed shape.
        shape: Shape,
        /// Number of copies to remove.
        count: u32,
    },
    /// Sets a value.
    Set {
        /// Place of the value.
        at: Place,
        /// Name of the setting.
        key: String,
        /// New value.
        value: Value,
    },
    /// Removes a value, so that it is inherited again.
    Unset {
        /// Place of the value.
        at: Place,
        /// Name of the setting.
        key: String,
    },
}

/// Effect of a change on one value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangedValue {
    /// Place of the value.
    pub at: Place,
    /// Name of the setting, or `org` if the organisation itself was added or removed.
    pub key: String,
    /// Value set at the place before the change, if any.
    pub old: Option<Value>,
    /// Value set at the place after the change, if any.
    pub new: Option<Value>,
}

/// History record of one change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Operation id of the change.
    pub op: OpId,
    /// Operator who requested the change.
    pub who: Operator,
    /// Time of the request by the clock of the daemon that processed it.
    pub when: Millis,
    /// Revision that the change created.
    pub revision: Revision,
    /// Changed values.
    pub items: Vec<ChangedValue>,
}
