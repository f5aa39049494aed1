//! Context that the services of a daemon share.

use std::rc::Rc;

use base::Clock;
use base::DomainId;
use base::VmId;
use conf::node::NodeConfig;
use entry::Connections;
use entry::Ready;
use kernel::ServiceRegistry;
use obs::Metrics;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use slog::Logger;

/// Configuration and shared handles that every service of a daemon gets at its start.
#[derive(Clone)]
pub struct DaemonContext {
    /// Contents of this daemon's settings file.
    pub node: Rc<NodeConfig>,
    /// Id of this start of the daemon; a restarted daemon has another one.
    pub vm: VmId,
    /// Logger with the daemon's id and failure domain.
    pub log: Logger,
    /// Metrics that the operators' port serves.
    pub metrics: Metrics,
    /// Connections of the clients of all ports.
    pub connections: Connections,
    /// Clock that all services read.
    pub clock: Clock,
    /// Handles of the running services, by name.
    pub registry: ServiceRegistry,
    /// Readiness as reported to the load balancer.
    pub ready: Ready,
}

impl DaemonContext {
    /// The failure domain of this daemon.
    pub fn domain(&self) -> &DomainId {
        &self.node.domain
    }

    /// Random number generator seeded with [`DaemonContext::seed`].
    pub fn rng(&self, usage: &str) -> Pcg64 {
        Pcg64::seed_from_u64(self.seed(usage))
    }

    /// Seed that differs between daemon starts and between uses.
    pub fn seed(&self, usage: &str) -> u64 {
        base::rank(usage, self.vm.as_str())
    }
}
