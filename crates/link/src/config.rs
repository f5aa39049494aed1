//! Settings of the links of a daemon.

use std::fmt;
use std::net::SocketAddr;

use base::DomainId;
use base::Millis;
use base::VmId;

/// Settings of the links of a daemon.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// This daemon's VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Name of the site; daemons of other sites are refused.
    pub site: String,
    /// Secret that all daemons of the site share, if any.
    pub secret: Option<Secret>,
    /// Where to accept links.
    pub listen: SocketAddr,
    /// Most bytes that wait for one peer.
    pub queue: usize,
    /// Longest frame in bytes, sent or received.
    pub frame: usize,
    /// Time without a byte from a peer after which its link is replaced.
    pub silence: Millis,
    /// Time without a frame to a peer after which it gets a sign of life; well below `silence`.
    pub beat: Millis,
    /// Time for a connection with its handshake.
    pub connect: Millis,
    /// Time that the peer with the lower id has to dial before this daemon dials itself.
    pub patience: Millis,
    /// Longest pause between two dials.
    pub pause: Millis,
    /// Time that `close` has to send what waits.
    pub drain: Millis,
    /// Seed of the random pauses.
    pub seed: u64,
}

impl LinkConfig {
    /// Usual sizes and times.
    pub fn new(vm: VmId, domain: DomainId, site: &str, listen: SocketAddr) -> LinkConfig {
        let seed = base::digest(vm.as_str().as_bytes());
        LinkConfig {
            vm,
            domain,
            site: site.to_string(),
            secret: None,
            listen,
            queue: 4 * 1024 * 1024,
            frame: 2 * 1024 * 1024,
            silence: Millis(1000),
            beat: Millis(250),
            connect: Millis(500),
            patience: Millis(200),
            pause: Millis(1000),
            drain: Millis(500),
            seed,
        }
    }
}

/// A secret text. It is not printed, and comparing takes equally long for all texts of one
/// length.
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
