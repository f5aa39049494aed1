//! Identifiers as distinct types.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Longest identifier in bytes.
const MAX_ID_LEN: usize = 128;

quick_error! {
    /// Why a text is not an identifier.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum IdError {
        /// The kind of identifier and the text.
        Malformed(kind: &'static str, text: String) {
            display("{text:?} is not a valid {kind}: use 1 to 128 letters, digits or '-_.~:/'")
        }
    }
}

fn is_valid(text: &str) -> bool {
    let ok = |b: u8| b.is_ascii_alphanumeric() || b"-_.~:/".contains(&b);
    !text.is_empty() && text.len() <= MAX_ID_LEN && text.bytes().all(ok)
}

macro_rules! text_id {
    ($(#[$doc:meta] $name:ident, $kind:literal;)*) => {$(
        #[$doc]
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
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
            type Err = IdError;

            fn from_str(text: &str) -> Result<$name, IdError> {
                if is_valid(text) {
                    Ok($name(Arc::from(text)))
                } else {
                    Err(IdError::Malformed($kind, text.to_string()))
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<$name, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }
    )*};
}

text_id! {
    /// A failure domain.
    DomainId, "failure domain";
    /// A job, named by its caller.
    JobId, "job id";
    /// A kind of job, within which run times resemble each other.
    JobKind, "job kind";
    /// A machine on which workers run, one life after the other.
    MachineId, "machine";
    /// An organisation.
    OrgId, "organisation";
    /// A rack of workers.
    RackId, "rack";
    /// A request, named by its caller.
    RequestId, "request id";
    /// A service that upstreams offer.
    ServiceId, "service";
    /// An entry VM; a replacement has another id.
    VmId, "VM id";
    /// A worker.
    WorkerId, "worker";
}

macro_rules! number_id {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number after this one.
            pub fn next(self) -> $name {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<$name, ParseIntError> {
                text.parse().map($name)
            }
        }
    )*};
}

number_id! {
    /// The count of a job's starts; the first is 1.
    Attempt;
    /// The term of a holder; a later holder has a higher one.
    Epoch;
    /// A revision of the operators' settings.
    Revision;
}
