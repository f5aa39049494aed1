//! Settings of one daemon, read from a file in JSON with comments.
//!
//! [`load`] reports every problem of the file together and returns no settings unless
//! there is none. `docs/SETTINGS.md` lists the fields for operators.

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
mod wire;

pub use endpoint::Endpoint;
pub use endpoint::EndpointError;

use wire::NodeWire;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Identity of the VM; the daemon makes up a new one when absent.
    pub vm: Option<VmId>,
    /// The failure domain that the VM is in.
    pub domain: DomainId,
    /// All failure domains of the site in order, in service or not. The same on every
    /// daemon, because the home of a request id depends on it.
    pub domains: Vec<DomainId>,
    /// Where it listens.
    pub addresses: Addresses,
    /// How it reaches the platform.
    pub platform: Platform,
    /// Other daemons to try while the platform's list of VMs cannot be read.
    pub peers: Vec<SocketAddr>,
    /// What a worker offers when the platform does not say.
    pub service: Service,
    /// Logging.
    pub log: Log,
    /// The planned stop.
    pub stop: Stop,
    /// Periods and leases.
    pub timing: Timing,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// Where the daemon listens. Port 0 asks the system for a free one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Requests and jobs of callers.
    pub callers: SocketAddr,
    /// Operators, metrics and health.
    pub operators: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
}

/// How the daemon reaches the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Gateways of the key-value service, tried in this order. At least one.
    pub store: Vec<Endpoint>,
    /// The list of VMs and workers.
    pub vms: Endpoint,
    /// Calls a second that this daemon may make at most.
    pub calls: Rate,
}

/// What one worker offers a service when the platform does not say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Service {
    /// Requests that a worker runs at once.
    pub slots: u32,
    /// Connections that a worker accepts.
    pub connections: u32,
}

/// Logging.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Log {
    /// Whether debug events are written.
    pub debug: bool,
}

/// The planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Longest wait for requests in progress.
    pub bound: Millis,
}

/// Periods and leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Lease of a failure domain's coordinator.
    pub lease: Millis,
    /// Period of heartbeats between daemons.
    pub heartbeat: Millis,
    /// Age of the freshness proof of the operators' settings from which starts are held.
    pub freshness: Millis,
    /// Period of settings reads while the platform's watch is silent.
    pub poll: Millis,
    /// Lease of a task on its worker.
    pub task: Millis,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest body of a request or an answer.
    pub body: Bytes,
    /// Most requests in progress.
    pub requests: u32,
}

/// Reads node settings. `file` is the name shown in findings. All findings are reported
/// together, each as `file:line:column` with the problem and the remedy; unknown fields
/// are findings.
pub fn load(text: &str, file: &str) -> Result<Node, Findings> {
    let source = Source::new(file, text);
    let value = source.parse();
    let wire = value.map(|v| NodeWire::read(Section::top(&source, &v)));
    let mut found = source.close();
    match wire.map(Node::try_from) {
        Some(Ok(node)) => found.into_result(node),
        Some(Err(more)) => {
            found.append(more);
            Err(found)
        }
        None => Err(found),
    }
}
