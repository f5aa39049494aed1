//! Bounds of the request policy.

use base::DomainId;
use base::Millis;

/// Bounds of a [`crate::Balancer`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The failure domain whose upstreams are preferred.
    pub domain: DomainId,
    /// Most requests that wait for an upstream, over all organisations.
    pub queue: usize,
    /// Longest wait for an upstream.
    pub wait: Millis,
    /// Consecutive failures after which an upstream is isolated.
    pub failures: u32,
    /// First isolation; doubled each time that a probe fails.
    pub isolation: Millis,
    /// Longest isolation.
    pub isolation_max: Millis,
    /// Largest share of a service's upstreams that are isolated at the same time.
    pub isolated_share: f64,
}

impl Config {
    /// The default bounds for a failure domain.
    pub fn new(domain: DomainId) -> Config {
        Config {
            domain,
            queue: 1024,
            wait: Millis(2_000),
            failures: 5,
            isolation: Millis(1_000),
            isolation_max: Millis(30_000),
            isolated_share: 0.34,
        }
    }
}
