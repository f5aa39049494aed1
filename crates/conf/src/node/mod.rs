//! Configuration of a daemon, read from a file in JSON with comments.
//!
//! [`load`] either returns a valid configuration or reports every problem of the file at
//! once. `docs/SETTINGS.md` describes the fields for operators.

use std::net::SocketAddr;

use base::Bytes;
use base::DomainId;
use base::Findings;
use base::Millis;
use base::Rate;
use base::VmId;

use crate::source::Section;
use crate::source::Source;

mod endpoint;
mod raw;

pub use endpoint::Endpoint;
pub use endpoint::EndpointError;

use raw::RawNode;

/// Configuration of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// Id of the VM; the daemon generates a new one if absent.
    pub vm: Option<VmId>,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Every failure domain of the site, sorted, whether in service or not. Must be the same
    /// on every daemon, because the home domain of a request id is computed from this list.
    pub domains: Vec<DomainId>,
    /// Listen addresses.
    pub addresses: Addresses,
    /// Connections to the platform.
    pub platform: Platform,
    /// Daemons to contact while the platform's list of VMs cannot be read.
    pub peers: Vec<SocketAddr>,
    /// Capacity assumed of a worker if the platform's list gives none.
    pub service: Service,
    /// Logging options.
    pub log: Log,
    /// Graceful shutdown.
    pub stop: Stop,
    /// Intervals and leases.
    pub timing: Timing,
    /// Limits on the requests of callers.
    pub limits: Limits,
}

/// Listen addresses of the daemon. Port 0 lets the system choose a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Port for requests and jobs of callers.
    pub callers: SocketAddr,
    /// Port for operators, metrics and health checks.
    pub operators: SocketAddr,
    /// Port for other daemons.
    pub peers: SocketAddr,
}

/// Connections to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Gateways of the key-value store, tried in this order; at least one.
    pub store: Vec<Endpoint>,
    /// Service that lists VMs and workers.
    pub vms: Endpoint,
    /// Maximum rate of this daemon's calls to the platform.
    pub calls: Rate,
}

/// Capacity assumed of a worker if the platform's list gives none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Service {
    /// Requests that a worker runs concurrently.
    pub slots: u32,
    /// Connections that a worker accepts.
    pub connections: u32,
}

/// Logging options.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Log {
    /// Whether events of level debug are logged.
    pub debug: bool,
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Longest wait for requests in progress to complete.
    pub bound: Millis,
}

/// Intervals and leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Lease of the coordinator of a failure domain.
    pub lease: Millis,
    /// Interval of heartbeats between daemons.
    pub heartbeat: Millis,
    /// Task starts are suspended once the operators' settings have not been confirmed to be
    /// the newest for this long.
    pub freshness: Millis,
    /// Interval of reads of the settings while the platform's watch reports nothing.
    pub poll: Millis,
    /// Lease of a task on its worker.
    pub task: Millis,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest body of a request or response.
    pub body: Bytes,
    /// Memory of the process, of which connections of clients may take a part.
    pub memory: Bytes,
    /// Largest number of requests in progress.
    pub requests: u32,
}

/// Parses a configuration file. `file` is the name shown in findings. All findings are
/// reported together, each as `file:line:column` with the problem and the remedy. Unknown
/// fields are findings too.
pub fn load(text: &str, file: &str) -> Result<NodeConfig, Findings> {
    let source = Source::new(file, text);
    let value = source.parse();
    let raw = value.map(|v| RawNode::read(Section::root(&source, &v)));
    let mut findings = source.into_findings();
    match raw.map(NodeConfig::try_from) {
        Some(Ok(node)) => findings.into_result(node),
        Some(Err(more)) => {
            findings.append(more);
            Err(findings)
        }
        None => Err(findings),
    }
}
