//! Configuration of the store client.

use std::net::SocketAddr;

use base::Millis;
use base::Rate;

/// Configuration of a [`Store`](crate::Store).
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Endpoints of the store. After a failure, the client uses the next one.
    pub endpoints: Vec<SocketAddr>,
    /// Longest duration of a call, including all of its attempts.
    pub call_timeout: Millis,
    /// Longest time to open a connection; must be less than the time for a call.
    pub connect_timeout: Millis,
    /// Time without any message after which a watch is opened again.
    pub idle_timeout: Millis,
    /// Call budget of the node in calls per second. A waiting watch uses one call per second.
    pub rate: Rate,
    /// Seed of the random generator that spreads pauses.
    pub seed: u64,
}

impl StoreConfig {
    /// Configuration with default times and rate.
    pub fn new(endpoints: Vec<SocketAddr>, seed: u64) -> StoreConfig {
        StoreConfig {
            endpoints,
            call_timeout: Millis(1000),
            connect_timeout: Millis(300),
            idle_timeout: Millis(2000),
            rate: Rate(100.0),
            seed,
        }
    }
}
