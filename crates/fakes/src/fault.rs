//! Faults that the fake platform injects on request.

use serde::Deserialize;
use serde::Serialize;

/// A fault of the fake platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Executes the call and responds with text that is not valid JSON.
    Garble,
    /// Accepts the call, does not execute it and sends no response while the fault lasts.
    Hang,
    /// Executes the call after this many milliseconds, even if the caller has disconnected, and
    /// sends no response.
    Late(u64),
    /// Executes the call and sends no response while the fault lasts.
    Lose,
    /// Closes the listening socket, so that connections are refused.
    Refuse,
    /// Responds with an error status and does not execute the call.
    Reject,
    /// Waits this many milliseconds before the call is executed.
    Slow(u64),
    /// Executes the call and closes the connection in the middle of the response.
    Truncate,
    /// No fault.
    #[default]
    Up,
    /// Ends every open watch, and every new one immediately; other calls are not affected.
    WatchBroken,
    /// Accepts watches but sends no messages on any of them; other calls are not affected.
    WatchSilent,
}

/// A fault and the calls to which it applies.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Fault to inject.
    pub fault: Fault,
    /// Kind of call to which the fault applies, for example `txn`; if absent, all kinds.
    #[serde(default)]
    pub kind: Option<String>,
    /// Number of calls to which the fault still applies; if absent, all until it is replaced.
    #[serde(default)]
    pub calls: Option<u64>,
}

impl FaultSpec {
    /// A fault of all calls until it is replaced.
    pub fn all(fault: Fault) -> FaultSpec {
        FaultSpec {
            fault,
            ..FaultSpec::default()
        }
    }

    /// A fault of the next `calls` calls of one kind.
    pub fn next(fault: Fault, kind: &str, calls: u64) -> FaultSpec {
        FaultSpec {
            fault,
            kind: Some(kind.to_string()),
            calls: Some(calls),
        }
    }

    /// Returns the fault that applies to a call of this kind, and reduces the number of calls left.
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
