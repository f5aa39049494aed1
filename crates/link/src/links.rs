//! The links of a daemon to its peers.

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
use crate::requests::Waiting;
use crate::shared::Shared;
use crate::stats::Stats;

/// Dial numbers of one run of the process start at its start time times this.
const NUMBERS_A_MILLISECOND: u64 = 1024;

/// The links of a daemon. Clones are the same links. They live on one arbiter.
#[derive(Clone)]
pub struct Links {
    shared: Rc<Shared>,
    addr: SocketAddr,
    accepting: Rc<JoinHandle<()>>,
}

impl Links {
    /// Starts to accept links. `on_event` is called on the present arbiter and must not
    /// block; it may send. Fails if the address cannot be bound.
    pub fn start(
        config: LinkConfig,
        log: Logger,
        metrics: &Metrics,
        clock: Clock,
        on_event: impl Fn(LinkEvent) + 'static,
    ) -> io::Result<Links> {
        let listener = std::net::TcpListener::bind(config.listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let number = clock.now().0.saturating_mul(NUMBERS_A_MILLISECOND);
        let shared = Rc::new(Shared {
            stats: Stats::new(metrics),
            peers: RefCell::new(BTreeMap::new()),
            pending: RefCell::new(Pending::new(rng.random::<u64>() ^ number)),
            closed: Cell::new(false),
            detached: Notify::new(),
            on_event: Box::new(on_event),
            rng: RefCell::new(rng),
            number: Cell::new(number),
            config,
            log,
            clock,
        });
        let accepting = Rc::new(spawn(accept::run(shared.clone(), listener)));
        Ok(Links {
            shared,
            addr,
            accepting,
        })
    }

    /// This daemon's VM.
    pub fn vm(&self) -> &VmId {
        &self.shared.config.vm
    }

    /// Where links are accepted.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the peers to dial. Links to others stay until they end.
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

    /// Sends a request and waits for its reply, at most until the deadline.
    pub async fn request(
        &self,
        vm: &VmId,
        topic: Topic,
        body: Bytes,
        deadline: Millis,
    ) -> Result<Bytes, CallError> {
        let (id, reply) = self.shared.pending.borrow_mut().add(vm);
        let waiting = Waiting {
            shared: self.shared.clone(),
            id,
        };
        self.shared.push(vm, Packet::Request { id, topic, body })?;
        let result = timeout(deadline.duration(), reply).await;
        drop(waiting);
        match result {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) => Err(CallError::Lost("the links were closed")),
            Err(_) => Err(CallError::Lost("no reply in time")),
        }
    }

    /// What is known of a peer.
    pub fn peer(&self, vm: &VmId) -> Option<PeerInfo> {
        let peers = self.shared.peers.borrow();
        peers.get(vm).map(|peer| info(vm, peer))
    }

    /// What is known of all peers, in the order of their ids.
    pub fn peers(&self) -> Vec<PeerInfo> {
        let peers = self.shared.peers.borrow();
        peers.iter().map(|(vm, peer)| info(vm, peer)).collect()
    }

    /// Takes no more messages, sends what waits and ends all links, within a bound.
    pub async fn close(self) {
        self.shared.closed.set(true);
        self.accepting.abort();
        for peer in self.shared.peers.borrow_mut().values_mut() {
            peer.wake.notify_one();
        }
        let drain = self.shared.config.drain.duration();
        let _ = timeout(drain, self.drained()).await;
        for peer in self.shared.peers.borrow_mut().values_mut() {
            if let Some(link) = &peer.link {
                link.stop.notify_one();
            }
            if let Some(dialer) = peer.dialer.take() {
                dialer.abort();
            }
        }
    }

    async fn drained(&self) {
        while self.peers().iter().any(|p| p.link.is_some()) {
            self.shared.detached.notified().await;
        }
    }

    fn drop_peer(&self, vm: &VmId) {
        if let Some(peer) = self.shared.peers.borrow_mut().get_mut(vm) {
            peer.addr = None;
            peer.ended.notify_one();
        }
        self.shared.forget(vm);
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

fn info(vm: &VmId, peer: &Peer) -> PeerInfo {
    PeerInfo {
        vm: vm.clone(),
        link: peer.link.as_ref().map(|l| l.id.clone()),
        heard: peer.heard,
        queued: peer.outbox.bytes(),
    }
}
