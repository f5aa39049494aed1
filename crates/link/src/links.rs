//! Handle through which a daemon uses the links to its peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::spawn;
use base::Clock;
use base::Millis;
use base::VmId;
use bytes::Bytes;
use obs::LogLimiter;
use obs::Metrics;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::accept;
use crate::config::LinkConfig;
use crate::dial;
use crate::error::CallError;
use crate::error::SendError;
use crate::event::LinkEvent;
use crate::event::Topic;
use crate::packet::Packet;
use crate::peer::Peer;
use crate::peer::PeerInfo;
use crate::requests::Pending;
use crate::requests::PendingGuard;
use crate::shared::Shared;
use crate::stats::Stats;
use crate::strangers::Strangers;

/// Dial numbers start at the start time of the process in milliseconds times this factor, so that
/// they are higher than those of earlier runs of the process.
const DIALS_PER_MILLISECOND: u64 = 1024;

/// Handle to the links of a daemon. Clones share the same links. Their tasks run on one arbiter.
#[derive(Clone)]
pub struct Links {
    shared: Rc<Shared>,
    addr: SocketAddr,
    accept_task: Rc<JoinHandle<()>>,
}

impl Links {
    /// Binds the address and starts to accept links. `on_event` is called on the current
    /// arbiter; it must not block, but may send. Fails if the address cannot be bound.
    pub fn start(
        config: LinkConfig,
        log: Logger,
        metrics: &Metrics,
        clock: Clock,
        on_event: impl Fn(LinkEvent) + 'static,
    ) -> io::Result<Links> {
        let listener = base::listen(config.listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let number = clock.now().0.saturating_mul(DIALS_PER_MILLISECOND);
        let shared = Rc::new(Shared {
            stats: Stats::new(metrics),
            peers: RefCell::new(BTreeMap::new()),
            pending: RefCell::new(Pending::new(rng.random::<u64>() ^ number)),
            strangers: Strangers::default(),
            refused_log: LogLimiter::default(),
            closed: Cell::new(false),
            detached: Notify::new(),
            on_event: Box::new(on_event),
            rng: RefCell::new(rng),
            last_dial: Cell::new(number),
            config,
            log,
            clock,
        });
        let accept_task = Rc::new(spawn(accept::run(shared.clone(), listener)));
        Ok(Links {
            shared,
            addr,
            accept_task,
        })
    }

    /// VM of this daemon.
    pub fn vm(&self) -> &VmId {
        &self.shared.config.vm
    }

    /// Address on which links are accepted.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the list of peers to dial. Links to other peers remain until they end.
    pub fn set_peers(&self, peers: Vec<(VmId, SocketAddr)>) {
        let wanted: BTreeMap<VmId, SocketAddr> = peers.into_iter().collect();
        let known: Vec<VmId> = self.shared.peers.borrow().keys().cloned().collect();
        for vm in known.iter().filter(|vm| !wanted.contains_key(*vm)) {
            self.drop_peer(vm);
        }
        for (vm, addr) in wanted {
            if vm != self.shared.config.vm {
                self.dial_peer(&vm, addr);
            }
        }
    }

    /// Queues a one-way message. It may be lost if the link ends.
    pub fn send(&self, vm: &VmId, topic: Topic, body: Bytes) -> Result<(), SendError> {
        self.shared.push(vm, Packet::Message { topic, body })
    }

    /// Sends a request and waits for its reply. `max_wait` limits the wait for the reply.
    pub async fn request(
        &self,
        vm: &VmId,
        topic: Topic,
        body: Bytes,
        max_wait: Millis,
    ) -> Result<Bytes, CallError> {
        let (id, reply) = self.shared.pending.borrow_mut().add(vm);
        let guard = PendingGuard {
            shared: self.shared.clone(),
            id,
        };
        self.shared.push(vm, Packet::Request { id, topic, body })?;
        let result = timeout(max_wait.duration(), reply).await;
        drop(guard);
        match result {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) => Err(CallError::Lost("the links were closed")),
            Err(_) => Err(CallError::Lost("no reply in time")),
        }
    }

    /// State of a peer; `None` if it has no link and is not to be dialed.
    pub fn peer(&self, vm: &VmId) -> Option<PeerInfo> {
        let peers = self.shared.peers.borrow();
        peers.get(vm).map(|peer| peer_info(vm, peer))
    }

    /// State of all peers, ordered by id.
    pub fn peers(&self) -> Vec<PeerInfo> {
        let peers = self.shared.peers.borrow();
        peers.iter().map(|(vm, peer)| peer_info(vm, peer)).collect()
    }

    /// Refuses further messages, sends the queued ones and closes all links. Links that are still
    /// open after `drain_timeout` are closed with their queue unsent.
    pub async fn close(self) {
        self.shared.closed.set(true);
        self.accept_task.abort();
        for peer in self.shared.peers.borrow_mut().values_mut() {
            peer.outbox_ready.notify_one();
        }
        let drain = self.shared.config.drain_timeout.duration();
        let _ = timeout(drain, self.wait_until_closed()).await;
        for peer in self.shared.peers.borrow_mut().values_mut() {
            if let Some(link) = &peer.link {
                link.stop.notify_one();
            }
            if let Some(dialer) = peer.dialer.take() {
                dialer.abort();
            }
        }
    }

    /// Waits until no peer has a link.
    async fn wait_until_closed(&self) {
        while self.peers().iter().any(|p| p.link.is_some()) {
            self.shared.detached.notified().await;
        }
    }

    fn drop_peer(&self, vm: &VmId) {
        if let Some(peer) = self.shared.peers.borrow_mut().get_mut(vm) {
            peer.addr = None;
            peer.link_ended.notify_one();
        }
        self.shared.remove_if_unused(vm);
    }

    fn dial_peer(&self, vm: &VmId, addr: SocketAddr) {
        let mut peers = self.shared.peers.borrow_mut();
        let peer = peers
            .entry(vm.clone())
            .or_insert_with(|| self.shared.new_peer());
        peer.addr = Some(addr);
        let running = peer.dialer.as_ref().is_some_and(|d| !d.is_finished());
        if !running {
            peer.dialer = Some(spawn(dial::run(self.shared.clone(), vm.clone())));
        }
    }
}

fn peer_info(vm: &VmId, peer: &Peer) -> PeerInfo {
    PeerInfo {
        vm: vm.clone(),
        link: peer.link.as_ref().map(|l| l.id.clone()),
        heard: peer.heard,
        queued: peer.outbox.bytes(),
    }
}
