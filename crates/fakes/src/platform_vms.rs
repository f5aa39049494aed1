//! The list of VMs that the fake platform serves.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::worker::Worker;

/// One VM in the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRow {
    /// VM id.
    pub id: String,
    /// `entry` or `worker`.
    pub role: String,
    /// Failure domain.
    pub domain: String,
    /// Rack; empty for an entry VM.
    #[serde(default)]
    pub rack: String,
    /// IP address and port at which the VM serves requests.
    pub address: String,
    /// IP address and port at which an entry VM accepts links from other daemons.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<String>,
    /// `live` or `leaving`.
    pub state: String,
    /// Number of accelerators.
    #[serde(default)]
    pub accels: u32,
    /// Number of cores.
    #[serde(default)]
    pub cores: u32,
    /// Memory in bytes.
    #[serde(default)]
    pub memory: u64,
    /// Service that a worker offers.
    #[serde(default)]
    pub service: String,
    /// Requests that a worker serves at the same time.
    #[serde(default)]
    pub slots: u32,
    /// Connections that a worker accepts at the same time.
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

    /// A live worker with the size of the users' present workers, offering the service `ledger`.
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

/// A list of VMs in which each change appears only after a delay.
#[derive(Debug, Default)]
pub struct DelayedList {
    current: Vec<VmRow>,
    /// Lists set but not yet served, with the time in milliseconds from which each is served.
    pending: VecDeque<(u64, Vec<VmRow>)>,
    /// Delay of a change in milliseconds.
    lag: u64,
}

impl DelayedList {
    /// Sets the delay in milliseconds of later changes.
    pub fn set_lag(&mut self, lag: u64) {
        self.lag = lag;
    }

    /// Sets the list that is served once the delay has passed. `now` is in milliseconds.
    pub fn set(&mut self, now: u64, rows: Vec<VmRow>) {
        self.pending.push_back((now + self.lag, rows));
    }

    /// The list served at this time in milliseconds.
    pub fn rows(&mut self, now: u64) -> Vec<VmRow> {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, rows)) = self.pending.pop_front() {
                self.current = rows;
            }
        }
        self.current.clone()
    }
}
