//! Configuration of the links of a daemon.

use std::fmt;
use std::net::SocketAddr;

use base::DomainId;
use base::Millis;
use base::VmId;

/// Configuration of the links of a daemon.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// VM of this daemon.
    pub vm: VmId,
    /// Failure domain of this daemon.
    pub domain: DomainId,
    /// Name of the site; links from daemons of other sites are refused.
    pub site: String,
    /// Secret shared by all daemons of the site, if any.
    pub secret: Option<Secret>,
    /// Address on which links are accepted.
    pub listen: SocketAddr,
    /// Most bytes in the send queue of one peer.
    pub queue_limit: usize,
    /// Longest frame in bytes that is sent or accepted.
    pub frame_limit: usize,
    /// Time without a message from a peer after which its link is closed.
    pub idle_timeout: Millis,
    /// Time without a frame to a peer after which a keepalive is sent; well below `idle_timeout`.
    pub keepalive_interval: Millis,
    /// Time limit for a connection and its handshake.
    pub connect_timeout: Millis,
    /// Time that this daemon waits for a peer with a lower id to dial before it dials itself.
    pub dial_delay: Millis,
    /// Longest backoff between two dials.
    pub max_backoff: Millis,
    /// Time limit of `close` for sending the queued messages.
    pub drain_timeout: Millis,
    /// Seed for the backoff and for the first request id.
    pub seed: u64,
}

impl LinkConfig {
    /// Configuration with the default sizes and times, without a secret. The seed is derived from
    /// the VM id.
    pub fn new(vm: VmId, domain: DomainId, site: &str, listen: SocketAddr) -> LinkConfig {
        let seed = base::digest(vm.as_str().as_bytes());
        LinkConfig {
            vm,
            domain,
            site: site.to_string(),
            secret: None,
            listen,
            queue_limit: 4 * 1024 * 1024,
            frame_limit: 2 * 1024 * 1024,
            idle_timeout: Millis(1000),
            keepalive_interval: Millis(250),
            connect_timeout: Millis(500),
            dial_delay: Millis(200),
            max_backoff: Millis(1000),
            drain_timeout: Millis(500),
            seed,
        }
    }
}

/// A secret text. `Debug` does not print it, and comparison takes constant time for texts of the
/// same length.
#[derive(Clone)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl Eq for Secret {}

impl PartialEq for Secret {
    fn eq(&self, other: &Secret) -> bool {
        let pairs = self.0.bytes().zip(other.0.bytes());
        let differing = pairs.fold(0, |acc, (a, b)| acc | (a ^ b));
        self.0.len() == other.0.len() && differing == 0
    }
}
