//! What every service of a daemon is given at its start.

use std::rc::Rc;

use base::Clock;
use base::DomainId;
use base::VmId;
use conf::node::NodeConfig;
use entry::Ready;
use kernel::ServiceRegistry;
use obs::Metrics;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use slog::Logger;

/// Shared parts of a daemon.
#[derive(Clone)]
pub struct Site {
    /// Settings of this daemon.
    pub node: Rc<NodeConfig>,
    /// This instance; a restarted daemon is another one.
    pub vm: VmId,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// The clock.
    pub clock: Clock,
    /// Services by name.
    pub names: ServiceRegistry,
    /// What the balancer is told.
    pub ready: Ready,
}

impl Site {
    /// The failure domain of this daemon.
    pub fn domain(&self) -> &DomainId {
        &self.node.domain
    }

    /// A generator that differs between daemons and between its uses.
    pub fn rng(&self, usage: &str) -> Pcg64 {
        Pcg64::seed_from_u64(self.seed(usage))
    }

    /// A seed that differs between daemons and between its uses.
    pub fn seed(&self, usage: &str) -> u64 {
        base::rank(usage, self.vm.as_str())
    }
}
