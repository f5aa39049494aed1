//! State of one peer.

use std::net::SocketAddr;
use std::rc::Rc;

use base::Millis;
use base::VmId;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::identity::LinkId;
use crate::outbox::Outbox;

/// Snapshot of the state of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInfo {
    /// VM of the peer.
    pub vm: VmId,
    /// The established link, if any.
    pub link: Option<LinkId>,
    /// When the last WebSocket message arrived from the peer or its link was established; zero if
    /// never.
    pub heard: Millis,
    /// Bytes in the send queue.
    pub queued: usize,
}

/// The established link to a peer.
pub(crate) struct ActiveLink {
    pub(crate) id: LinkId,
    /// Tells the task of the link to close it.
    pub(crate) stop: Rc<Notify>,
}

/// State of a peer that has a link or is to be dialed.
pub(crate) struct Peer {
    /// Address to dial; `None` if only its own dials are accepted.
    pub(crate) addr: Option<SocketAddr>,
    pub(crate) outbox: Outbox,
    /// Tells the writer of the link that the outbox has packets or that the links are closing.
    pub(crate) outbox_ready: Rc<Notify>,
    /// Tells the dialer that the link ended or that the peer is not to be dialed any more.
    pub(crate) link_ended: Rc<Notify>,
    pub(crate) link: Option<ActiveLink>,
    pub(crate) heard: Millis,
    /// Number of the last link that ended, sent in [`Hello`](crate::Hello) when dialing.
    pub(crate) lost: Option<u64>,
    pub(crate) dialer: Option<JoinHandle<()>>,
}

impl Peer {
    pub(crate) fn new(outbox: Outbox) -> Peer {
        Peer {
            addr: None,
            outbox,
            outbox_ready: Rc::new(Notify::new()),
            link_ended: Rc::new(Notify::new()),
            link: None,
            heard: Millis::ZERO,
            lost: None,
            dialer: None,
        }
    }
}
