//! Faults that the platform stand-in shows on request.

use serde::Deserialize;
use serde::Serialize;

/// How the stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Answers with a text that is not JSON, after the call took effect.
    Garble,
    /// Accepts calls and never answers; they do not take effect.
    Hang,
    /// Calls take effect after this many milliseconds, even if the caller has gone, and are
    /// never answered.
    Late(u64),
    /// Calls take effect and are never answered.
    Lose,
    /// Closes the listening socket: connections are refused.
    Refuse,
    /// Answers every call with an error status; nothing takes effect.
    Reject,
    /// Answers late, by this many milliseconds.
    Slow(u64),
    /// Ends the connection in the middle of the answer, after the call took effect.
    Truncate,
    /// Works.
    #[default]
    Up,
    /// Ends every watch, and each new one at once; other calls work.
    WatchBroken,
    /// Accepts watches and sends nothing more on any of them; other calls work.
    WatchSilent,
}

/// A fault with the calls that it applies to.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// The fault.
    pub fault: Fault,
    /// Only calls of this kind, for example `txn`; all kinds without it.
    #[serde(default)]
    pub kind: Option<String>,
    /// How many calls it applies to; without it, all until the next change.
    #[serde(default)]
    pub calls: Option<u64>,
}

impl FaultSpec {
    /// A fault of all calls until the next change.
    pub fn all(fault: Fault) -> FaultSpec {
        FaultSpec {
            fault,
            ..FaultSpec::default()
        }
    }

    /// A fault of the next calls of one kind.
    pub fn next(fault: Fault, kind: &str, calls: u64) -> FaultSpec {
        FaultSpec {
            fault,
            kind: Some(kind.to_string()),
            calls: Some(calls),
        }
    }

    /// The fault of this call; counts it.
    pub fn take(&mut self, kind: &str) -> Fault {
        if self.kind.as_deref().is_some_and(|k| k != kind) {
            return Fault::Up;
        }
        match &mut self.calls {
            None => self.fault,
            Some(0) => Fault::Up,
            Some(left) => {
                *left -= 1;
                self.fault
            }
        }
    }
}
