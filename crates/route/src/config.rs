//! Configuration of the balancer.

use base::DomainId;
use base::Millis;

/// Configuration of a [`crate::Balancer`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The failure domain whose upstreams are preferred.
    pub domain: DomainId,
    /// Largest number of queued requests, over all organisations and services.
    pub max_queued: usize,
    /// Longest time that a request may be queued.
    pub max_wait: Millis,
    /// Consecutive failures after which an upstream is isolated.
    pub failure_threshold: u32,
    /// Duration of the first isolation; doubled after each failed probe.
    pub isolation: Millis,
    /// Longest duration of an isolation.
    pub isolation_max: Millis,
    /// Largest share of a service's upstreams that may be isolated at the same time.
    pub isolated_share: f64,
}

impl Config {
    /// Default configuration for a failure domain.
    pub fn new(domain: DomainId) -> Config {
        Config {
            domain,
            max_queued: 1024,
            max_wait: Millis(2_000),
            failure_threshold: 5,
            isolation: Millis(1_000),
            isolation_max: Millis(30_000),
            isolated_share: 0.34,
        }
    }
}
