//! Identifiers, each kind with a type of its own.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Longest identifier. The message of [`IdError`] states the same number.
const MAX_ID_BYTES: usize = 128;

quick_error! {
    /// A text that is not a valid identifier.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum IdError {
        /// The kind of identifier expected and the text that was given.
        Malformed(kind: &'static str, text: String) {
            display("{text:?} is not a valid {kind}: use 1 to 128 letters, digits or '-_.~:/'")
        }
    }
}

fn is_valid(text: &str) -> bool {
    let ok = |b: u8| b.is_ascii_alphanumeric() || b"-_.~:/".contains(&b);
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(ok)
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
    /// A failure domain: workers and entry VMs that can fail together.
    DomainId, "failure domain";
    /// A job; the id is chosen by the caller that submits it.
    JobId, "job id";
    /// A kind of job. Jobs of the same kind have similar run times.
    JobKind, "job kind";
    /// A machine on which workers run, one after another.
    MachineId, "machine";
    /// An organisation, on whose behalf jobs run and requests are sent.
    OrgId, "organisation";
    /// A rack in which workers are installed.
    RackId, "rack";
    /// A request; the id is chosen by the caller that sends it.
    RequestId, "request id";
    /// A service that upstreams provide.
    ServiceId, "service";
    /// An entry VM. A VM that replaces another one has a new id.
    VmId, "VM id";
    /// A worker, on which tasks run.
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
            /// The next higher number.
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
    /// Number of an attempt to run a job, from 1.
    Attempt;
    /// Term of a coordinator or another exclusive holder. Each new holder has a higher term.
    Epoch;
    /// Fencing token of a call: whoever has seen a higher one refuses the call.
    Fence;
    /// Revision number of the operators' settings.
    Revision;
}
