//! Edits, operation ids and the history of changes.

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

/// Longest operation id or operator's name in bytes.
const MAX_NAME: usize = 64;

quick_error! {
    /// Why a text is not a name.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum NameError {
        /// The kind of name and the text.
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
            /// The name as text.
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
                let ok = |b: u8| b.is_ascii_alphanumeric() || b"-_.@".contains(&b);
                if text.is_empty() || text.len() > MAX_NAME || !text.bytes().all(ok) {
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
    /// The id of one operation; a resend carries the same one.
    OpId, "operation id";
    /// The name of the operator who asked for a change.
    Operator, "operator";
}

/// One edit of the tree.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "edit")]
pub enum Edit {
    /// Creates an organisation.
    AddOrg {
        /// The organisation.
        org: OrgId,
    },
    /// Adds copies of a guaranteed shape.
    AddShape {
        /// The organisation that holds it.
        org: OrgId,
        /// Where it is held.
        domain: DomainId,
        /// The shape.
        shape: Shape,
        /// Copies to add.
        count: u32,
    },
    /// Removes an organisation with all of its settings.
    RemoveOrg {
        /// The organisation.
        org: OrgId,
    },
    /// Removes copies of a guaranteed shape.
    RemoveShape {
        /// The organisation that holds it.
        org: OrgId,
        /// Where it is held.
        domain: DomainId,
        /// The shape.
        shape: Shape,
        /// Copies to remove.
        count: u32,
    },
    /// Sets a value.
    Set {
        /// Where.
        at: Place,
        /// Name of the setting.
        key: String,
        /// The value.
        value: Value,
    },
    /// Removes a value, so that it is inherited again.
    Unset {
        /// Where.
        at: Place,
        /// Name of the setting.
        key: String,
    },
}

/// One value that a change touched.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// Where.
    pub at: Place,
    /// Name of the setting; `org` stands for the organisation itself.
    pub key: String,
    /// The value set here before, if any.
    pub old: Option<Value>,
    /// The value set here since, if any.
    pub new: Option<Value>,
}

/// One change in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The operation.
    pub op: OpId,
    /// Who asked for it.
    pub who: Operator,
    /// When it was asked for, by the clock of the daemon that carried it out.
    pub when: Millis,
    /// The revision that it made.
    pub revision: Revision,
    /// What it touched.
    pub items: Vec<Item>,
}
