//! The outcome of a request or a job.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::IdError;

/// Whether the work of a request or job is known to have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work did not run and will not run.
    NotRun,
    /// The work ran, and its complete answer was received.
    Ran,
    /// The work may have run, may be running or may still run.
    Unknown,
}

impl Outcome {
    /// The name of the outcome in headers and logs.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Outcome {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Outcome, IdError> {
        match text {
            "not-run" => Ok(Outcome::NotRun),
            "ran" => Ok(Outcome::Ran),
            "unknown" => Ok(Outcome::Unknown),
            _ => Err(IdError::Malformed("outcome", text.to_string())),
        }
    }
}
