//! The list of VMs as the platform stand-in serves it.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// One VM in the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRow {
    /// Its id.
    pub id: String,
    /// `entry` or `worker`.
    pub role: String,
    /// Its failure domain.
    pub domain: String,
    /// Its rack.
    #[serde(default)]
    pub rack: String,
    /// Where it serves, as IP number and port.
    pub address: String,
    /// Where an entry VM accepts links from its peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<String>,
    /// `live` or `leaving`.
    pub state: String,
    /// Accelerators.
    #[serde(default)]
    pub accels: u32,
    /// Cores.
    #[serde(default)]
    pub cores: u32,
    /// Memory in bytes.
    #[serde(default)]
    pub memory: u64,
    /// The service that it offers.
    #[serde(default)]
    pub service: String,
    /// Requests that it takes at once.
    #[serde(default)]
    pub slots: u32,
    /// Connections that it accepts.
    #[serde(default)]
    pub connections: u32,
}

/// A list that shows each change only after a lag.
#[derive(Debug, Default)]
pub struct LaggingList {
    shown: Vec<VmRow>,
    coming: VecDeque<(u64, Vec<VmRow>)>,
    lag: u64,
}

impl LaggingList {
    /// Sets the lag in milliseconds of changes from now on.
    pub fn set_lag(&mut self, lag: u64) {
        self.lag = lag;
    }

    /// Sets the list; it shows after the lag.
    pub fn set(&mut self, now: u64, rows: Vec<VmRow>) {
        self.coming.push_back((now + self.lag, rows));
    }

    /// The list that shows at this time in milliseconds.
    pub fn rows(&mut self, now: u64) -> Vec<VmRow> {
        while self.coming.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, rows)) = self.coming.pop_front() {
                self.shown = rows;
            }
        }
        self.shown.clone()
    }
}
