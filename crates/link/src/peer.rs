//! What is known of one peer.

use std::net::SocketAddr;
use std::rc::Rc;

use base::Millis;
use base::VmId;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::identity::LinkId;
use crate::outbox::Outbox;

/// A peer as the links see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInfo {
    /// The peer.
    pub vm: VmId,
    /// The link that is up, if one is.
    pub link: Option<LinkId>,
    /// When the last byte came from it; zero if never.
    pub heard: Millis,
    /// Bytes that wait to be sent.
    pub queued: usize,
}

/// The link that is up.
pub(crate) struct Attached {
    pub(crate) id: LinkId,
    /// Wakes the link's task to end it.
    pub(crate) stop: Rc<Notify>,
}

/// State of one peer.
pub(crate) struct Peer {
    /// Where to dial it, if it is to be dialed.
    pub(crate) addr: Option<SocketAddr>,
    pub(crate) outbox: Outbox,
    /// Wakes the link's writer.
    pub(crate) wake: Rc<Notify>,
    /// Wakes the dialer when the link ends.
    pub(crate) ended: Rc<Notify>,
    pub(crate) link: Option<Attached>,
    pub(crate) heard: Millis,
    /// Number of the last link that ended.
    pub(crate) lost: Option<u64>,
    pub(crate) dialer: Option<JoinHandle<()>>,
}

impl Peer {
    pub(crate) fn new(outbox: Outbox) -> Peer {
        Peer {
            addr: None,
            outbox,
            wake: Rc::new(Notify::new()),
            ended: Rc::new(Notify::new()),
            link: None,
            heard: Millis::ZERO,
            lost: None,
            dialer: None,
        }
    }
}
