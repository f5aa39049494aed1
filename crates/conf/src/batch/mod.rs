//! Configuration of a daemon of the site-wide batch scheduler, read from a file in JSON with
//! comments.

use std::net::SocketAddr;

use base::Bytes;
use base::DomainId;
use base::Findings;
use base::Millis;
use base::VmId;

use crate::source::Section;
use crate::source::Source;

mod raw;

use raw::RawBatch;

/// Configuration of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchConfig {
    /// Id of the VM that the daemon runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Listen addresses.
    pub addresses: Addresses,
    /// Connection to the platform's store.
    pub store: StoreSettings,
    /// Service that decides which workers may run the steps of some queues, if deployed.
    pub adviser: Option<SocketAddr>,
    /// Connection to the machine service.
    pub machines: MachineSettings,
    /// Time limits and factors of the deployment.
    pub bounds: SiteBounds,
    /// Resources of the VM that the daemon may use.
    pub resources: VmResources,
    /// When and how many delegates a coordinator uses.
    pub delegates: DelegateSettings,
    /// Whether events of level debug are logged.
    pub debug: bool,
}

/// When and how many delegates a coordinator uses, daemons that carry its calls to workers out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DelegateSettings {
    /// Number of workers from which delegates are used.
    pub min_workers: usize,
    /// Number of workers for each delegate.
    pub workers_each: usize,
}

/// Resources of the VM that the daemon may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VmResources {
    /// Processor cores, as a fraction.
    pub cores: f64,
    /// Memory of the process.
    pub memory: Bytes,
    /// Bandwidth of the network link in Mbit/s.
    pub bandwidth: f64,
}

/// Listen addresses of the daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Job requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Metrics endpoint for operators.
    pub operators: SocketAddr,
    /// Links of other daemons; without it, this daemon passes no calls to workers on for others.
    pub links: Option<SocketAddr>,
}

/// Connection to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Shortest lease that the store grants.
    pub min_ttl: Millis,
    /// Writes per second that the store accepts from all daemons together.
    pub writes: f64,
    /// Most bytes of a value.
    pub value: usize,
}

/// Connection to the service that lists machines and accepts orders for them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineSettings {
    /// Address of the service, if deployed.
    pub address: Option<SocketAddr>,
    /// Orders per second that the service accepts from all daemons together.
    pub orders: f64,
    /// List requests per second that the service accepts from all daemons together.
    pub reads: f64,
}

/// Time limits and factors of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SiteBounds {
    /// Longest time for which a worker keeps running tasks after its last lease renewal.
    pub max_hold: Millis,
    /// Longest time that a worker needs to stop a task.
    pub stop_grace: Millis,
    /// Time within which a job of the highest priority starts if it is within its guarantee.
    pub reclaim: Millis,
    /// Time within which a configuration change takes effect on every daemon.
    pub config_apply: Millis,
    /// Time after which no task starts on a worker that is draining.
    pub drain: Millis,
    /// Time after which no task starts in a failure domain that was taken out of service.
    pub evacuate: Millis,
    /// Time after which no task of a cancelled job starts.
    pub cancel: Millis,
    /// Time between the stop signal and the kill of the process.
    pub stop: Millis,
    /// Interval at which a worker refreshes its entry in the store.
    pub heartbeat: Millis,
    /// Time after which a disruption counts as over.
    pub contact: Millis,
    /// Retention time of the state of an ended job.
    pub status: Millis,
    /// Time within which a changed execution rate of a task takes effect.
    pub pace: Millis,
    /// Longest time for which filler tasks may keep a serving task over its latency target.
    pub harm: Millis,
    /// Downtime of a machine for maintenance.
    pub upkeep: Millis,
    /// Shortest time between orders of two successive coordinators for one machine.
    pub handover: Millis,
    /// Slowdown of a task that runs away from its data, as a factor.
    pub remote_factor: u64,
}

/// Parses a configuration file. `file` is the name shown in findings, all of which are
/// reported together.
pub fn load(text: &str, file: &str) -> Result<BatchConfig, Findings> {
    let source = Source::new(file, text);
    let value = source.parse();
    let raw = value.map(|v| RawBatch::read(Section::root(&source, &v)));
    let mut findings = source.into_findings();
    match raw.map(BatchConfig::try_from) {
        Some(Ok(batch)) => findings.into_result(batch),
        Some(Err(more)) => {
            findings.append(more);
            Err(findings)
        }
        None => Err(findings),
    }
}
