//! State shared by the tasks of all links.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use base::Clock;
use base::VmId;
use obs::emit;
use obs::Event;
use obs::LogLimiter;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use slog::Logger;
use tokio::sync::Notify;

use crate::config::LinkConfig;
use crate::error::LinkError;
use crate::error::SendError;
use crate::event::LinkEvent;
use crate::identity::resolve_duplicate;
use crate::identity::LinkId;
use crate::identity::Resolution;
use crate::outbox::Outbox;
use crate::packet::Packet;
use crate::peer::ActiveLink;
use crate::peer::Peer;
use crate::requests::Pending;
use crate::stats::Stats;
use crate::strangers::Strangers;

/// Configuration, peers, pending requests, event callback, log and metrics of all links.
pub(crate) struct Shared {
    pub(crate) config: LinkConfig,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) stats: Stats,
    pub(crate) peers: RefCell<BTreeMap<VmId, Peer>>,
    pub(crate) pending: RefCell<Pending>,
    pub(crate) strangers: Strangers,
    /// Limits log lines about refused connections.
    pub(crate) refused_log: LogLimiter,
    /// Set by `close`: no more messages or links are accepted.
    pub(crate) closed: Cell<bool>,
    /// Tells `close` that a link ended.
    pub(crate) detached: Notify,
    pub(crate) on_event: Box<dyn Fn(LinkEvent)>,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    /// Number of the last dial.
    pub(crate) last_dial: Cell<u64>,
}

impl Shared {
    /// A random number from 0 up to, but not including, 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random::<f64>()
    }

    /// Number for a new dial, higher than all previous ones.
    pub(crate) fn next_dial_number(&self) -> u64 {
        let number = self.last_dial.get() + 1;
        self.last_dial.set(number);
        number
    }

    /// Queues a packet for a peer and counts it if it is refused.
    pub(crate) fn push(&self, vm: &VmId, packet: Packet) -> Result<(), SendError> {
        let result = self.try_push(vm, packet);
        if let Err(error) = result {
            let why = match error {
                SendError::Closed => "closed",
                SendError::Down => "down",
                SendError::Full => "full",
                SendError::TooLarge => "too-large",
            };
            self.stats.refused.add(&[("why", why)], 1);
        }
        result
    }

    fn try_push(&self, vm: &VmId, packet: Packet) -> Result<(), SendError> {
        if self.closed.get() {
            return Err(SendError::Closed);
        }
        let mut peers = self.peers.borrow_mut();
        let peer = peers.get_mut(vm).ok_or(SendError::Down)?;
        if peer.link.is_none() {
            return Err(SendError::Down);
        }
        peer.outbox.push(packet)?;
        peer.outbox_ready.notify_one();
        Ok(())
    }

    /// Makes a link the active one of its peer, unless an existing link is to be kept. Returns
    /// the signal that closes the link.
    pub(crate) fn attach(
        &self,
        vm: &VmId,
        id: &LinkId,
        lost: Option<u64>,
    ) -> Result<Rc<Notify>, LinkError> {
        if self.closed.get() {
            return Err(LinkError::Closing);
        }
        let stop = Rc::new(Notify::new());
        let link = ActiveLink {
            id: id.clone(),
            stop: stop.clone(),
        };
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(vm.clone()).or_insert_with(|| self.new_peer());
        if let Some(existing) = &peer.link {
            if resolve_duplicate(&existing.id, id, lost) == Resolution::Keep {
                return Err(LinkError::Duplicate);
            }
        }
        let old = peer.link.replace(link);
        peer.heard = self.clock.now();
        if let Some(old) = &old {
            peer.lost = Some(old.id.number);
            peer.outbox.clear();
            old.stop.notify_one();
        }
        drop(peers);
        if old.is_some() {
            self.notify_down(vm, &LinkError::Replaced);
        }
        self.notify_up(vm);
        Ok(stop)
    }

    /// Records that a link ended, unless another one has already replaced it.
    pub(crate) fn detach(&self, vm: &VmId, id: &LinkId, why: &LinkError) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(vm) else {
            return;
        };
        if peer.link.as_ref().is_none_or(|l| l.id != *id) {
            return;
        }
        peer.link = None;
        peer.lost = Some(id.number);
        peer.outbox.clear();
        peer.link_ended.notify_one();
        drop(peers);
        self.notify_down(vm, why);
        self.remove_if_unused(vm);
        self.detached.notify_one();
    }

    pub(crate) fn new_peer(&self) -> Peer {
        Peer::new(Outbox::new(
            self.config.queue_limit,
            self.config.frame_limit,
        ))
    }

    /// Removes the state of a peer that has no link and is not to be dialed.
    pub(crate) fn remove_if_unused(&self, vm: &VmId) {
        let mut peers = self.peers.borrow_mut();
        let unused = |peer: &Peer| peer.link.is_none() && peer.addr.is_none();
        if peers.get(vm).is_some_and(unused) {
            peers.remove(vm);
        }
    }

    fn notify_up(&self, vm: &VmId) {
        self.stats.up.set(&[], self.links_up());
        emit(&self.log, Event::LinkUp, vm.as_str());
        (self.on_event)(LinkEvent::Up(vm.clone()));
    }

    fn notify_down(&self, vm: &VmId, why: &LinkError) {
        self.stats.up.set(&[], self.links_up());
        self.stats.ended.add(&[("why", why.label())], 1);
        self.pending.borrow_mut().fail_all(vm);
        emit(&self.log, Event::LinkDown, &format!("{vm}: {why}"));
        (self.on_event)(LinkEvent::Down(vm.clone()));
    }

    fn links_up(&self) -> i64 {
        let peers = self.peers.borrow();
        peers.values().filter(|p| p.link.is_some()).count() as i64
    }
}
