//! Settings of one daemon of a whole site's scheduler, read from a file in JSON with comments.

use std::net::SocketAddr;

use base::DomainId;
use base::Findings;
use base::Millis;
use base::VmId;

use crate::source::Section;
use crate::source::Source;

mod wire;

use wire::BatchWire;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Identity of the VM.
    pub vm: VmId,
    /// The failure domain that it is in.
    pub domain: DomainId,
    /// Where it listens.
    pub addresses: Addresses,
    /// The platform's store.
    pub store: StoreSettings,
    /// Who decides which workers may run the steps of some queues, if there is such a service.
    pub adviser: Option<SocketAddr>,
    /// The service that takes orders for machines.
    pub machines: MachineSettings,
    /// Bounds of the deployment.
    pub bounds: SiteBounds,
    /// Whether debug events are written.
    pub debug: bool,
}

/// Where the daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Jobs of callers.
    pub callers: SocketAddr,
    /// The balancer's question whether it is ready.
    pub ready: SocketAddr,
    /// Metrics.
    pub operators: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Where it is.
    pub address: SocketAddr,
    /// Shortest lease that it grants.
    pub min_ttl: Millis,
}

/// The service that lists machines and takes orders for them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineSettings {
    /// Where it is, if there is one.
    pub address: Option<SocketAddr>,
    /// Orders a second that it takes from all daemons together.
    pub orders: f64,
    /// Readings of the list a second that it serves to all daemons together.
    pub reads: f64,
}

/// Bounds of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SiteBounds {
    /// Longest time that a worker keeps running without a renewed lease.
    pub max_hold: Millis,
    /// Longest time that a worker takes to stop a task.
    pub stop_grace: Millis,
    /// Time in which a job of the highest priority within its guarantee begins.
    pub reclaim: Millis,
    /// Time in which a configuration is in force everywhere.
    pub config_apply: Millis,
    /// Time from a stop signal until the process is killed.
    pub stop: Millis,
    /// Period of a worker's own entry in the store.
    pub heartbeat: Millis,
    /// Time for which the state of an ended job stays known.
    pub status: Millis,
    /// Time after which a changed pace of a task is in force.
    pub pace: Millis,
    /// Time for which tasks that fill may keep a serving task over its target.
    pub harm: Millis,
    /// Time that a machine is down for its upkeep.
    pub upkeep: Millis,
    /// Time between orders of two coordinators for one machine.
    pub handover: Millis,
    /// How many times as long a task takes away from its data.
    pub remote_factor: u64,
}

/// Reads the settings. `file` is the name shown in findings, which are reported together.
pub fn load(text: &str, file: &str) -> Result<Batch, Findings> {
    let source = Source::new(file, text);
    let value = source.parse();
    let wire = value.map(|v| BatchWire::read(Section::top(&source, &v)));
    let mut found = source.close();
    match wire.map(Batch::try_from) {
        Some(Ok(batch)) => found.into_result(batch),
        Some(Err(more)) => {
            found.append(more);
            Err(found)
        }
        None => Err(found),
    }
}
