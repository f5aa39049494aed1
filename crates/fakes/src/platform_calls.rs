//! Counts of the calls that the platform stand-in received.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Calls of one kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCount {
    /// All calls since the start.
    pub total: u64,
    /// Calls in the current second.
    pub current: u64,
    /// Most calls in any one second.
    pub peak: u64,
    /// The current second.
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
    /// All kinds together.
    pub all: CallCount,
    /// Watches that wait now.
    pub watches: u64,
}

impl CallCounts {
    /// Counts a call in this second since the start.
    pub fn add(&mut self, kind: &str, second: u64) {
        self.kinds.entry(kind.to_string()).or_default().add(second);
        self.all.add(second);
    }

    /// All calls of a kind since the start.
    pub fn total(&self, kind: &str) -> u64 {
        self.kinds.get(kind).map_or(0, |c| c.total)
    }
}
