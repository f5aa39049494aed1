//! Where the store is and how to treat it.

use std::net::SocketAddr;

use base::Millis;
use base::Rate;

/// Where the store is and how to treat it.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Its endpoints, tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// Time for one call, all tries together.
    pub deadline: Millis,
    /// Time for one connection to be made; shorter than `deadline`.
    pub connect: Millis,
    /// Time without any message after which a watch is replaced by a new one.
    pub quiet: Millis,
    /// Calls a second of this node, a waiting watch counted as one.
    pub rate: Rate,
    /// Seed of the random pauses.
    pub seed: u64,
}

impl StoreConfig {
    /// Usual times for these endpoints.
    pub fn new(endpoints: Vec<SocketAddr>, seed: u64) -> StoreConfig {
        StoreConfig {
            endpoints,
            deadline: Millis(1000),
            connect: Millis(300),
            quiet: Millis(2000),
            rate: Rate(100.0),
            seed,
        }
    }
}
