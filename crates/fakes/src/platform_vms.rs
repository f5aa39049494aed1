//! The list of VMs as the platform stand-in serves it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::worker::Worker;

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

impl VmRow {
    /// A live entry VM.
    pub fn entry(id: &str, domain: &str, callers: SocketAddr, peers: SocketAddr) -> VmRow {
        VmRow {
            id: id.to_string(),
            role: "entry".to_string(),
            domain: domain.to_string(),
            address: callers.to_string(),
            peers: Some(peers.to_string()),
            state: "live".to_string(),
            ..VmRow::default()
        }
    }

    /// A live worker of the size that the users have today, which offers the service `ledger`.
    pub fn worker(worker: &Worker, domain: &str, rack: &str) -> VmRow {
        let state = worker.state();
        VmRow {
            id: state.id().to_string(),
            role: "worker".to_string(),
            domain: domain.to_string(),
            rack: rack.to_string(),
            address: worker.address().to_string(),
            state: "live".to_string(),
            accels: 8,
            cores: 32,
            memory: 64 << 30,
            service: "ledger".to_string(),
            slots: state.slots() as u32,
            connections: 64,
            ..VmRow::default()
        }
    }
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
