//! Counts of the calls that the fake platform received.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Counts of one kind of call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCount {
    /// All calls since the start.
    pub total: u64,
    /// Calls in the second of the latest call.
    pub current: u64,
    /// Highest number of calls in any one second.
    pub peak: u64,
    /// Second since the start that `current` counts.
    second: u64,
}

impl CallCount {
    fn add(&mut self, second: u64) {
        if second != self.second {
            self.second = second;
            self.current = 0;
        }
        self.total += 1;
        self.current += 1;
        self.peak = self.peak.max(self.current);
    }
}

/// Calls by kind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Counts by kind: `range`, `put`, `deleterange`, `txn`, `grant`, `revoke`, `keepalive`,
    /// `watch`, `vms`.
    pub kinds: BTreeMap<String, CallCount>,
    /// Counts over all kinds.
    pub all: CallCount,
    /// Watches open now.
    pub watches: u64,
}

impl CallCounts {
    /// Counts a call of this kind, received in this second since the start.
    pub fn add(&mut self, kind: &str, second: u64) {
        self.kinds.entry(kind.to_string()).or_default().add(second);
        self.all.add(second);
    }

    /// Number of calls of a kind since the start.
    pub fn total(&self, kind: &str) -> u64 {
        self.kinds.get(kind).map_or(0, |c| c.total)
    }
}
