//! State that the tasks of all links share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use base::Clock;
use base::VmId;
use obs::emit;
use obs::Event;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use slog::Logger;
use tokio::sync::Notify;

use crate::config::LinkConfig;
use crate::error::LinkError;
use crate::error::SendError;
use crate::event::LinkEvent;
use crate::identity::judge;
use crate::identity::LinkId;
use crate::identity::Verdict;
use crate::outbox::Outbox;
use crate::packet::Packet;
use crate::peer::Attached;
use crate::peer::Peer;
use crate::requests::Pending;
use crate::stats::Stats;

/// State that the tasks of all links share.
pub(crate) struct Shared {
    pub(crate) config: LinkConfig,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) stats: Stats,
    pub(crate) peers: RefCell<BTreeMap<VmId, Peer>>,
    pub(crate) pending: RefCell<Pending>,
    pub(crate) closed: Cell<bool>,
    /// Wakes `close` when a link ends.
    pub(crate) detached: Notify,
    pub(crate) on_event: Box<dyn Fn(LinkEvent)>,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    pub(crate) number: Cell<u64>,
}

impl Shared {
    /// A random number of at least 0 and below 1.
    pub(crate) fn unit(&self) -> f64 {
        self.rng.borrow_mut().random::<f64>()
    }

    /// A number for a new dial, higher than all before.
    pub(crate) fn next_number(&self) -> u64 {
        let number = self.number.get() + 1;
        self.number.set(number);
        number
    }

    /// Queues a packet for a peer.
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
        peer.wake.notify_one();
        Ok(())
    }

    /// Makes a link the one to its peer, in place of another that it outranks.
    /// Answers what ends the link.
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
        let attached = Attached {
            id: id.clone(),
            stop: stop.clone(),
        };
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(vm.clone()).or_insert_with(|| self.new_peer());
        if let Some(existing) = &peer.link {
            if judge(&existing.id, id, lost) == Verdict::Keep {
                return Err(LinkError::Duplicate);
            }
        }
        let old = peer.link.replace(attached);
        peer.heard = self.clock.now();
        if let Some(old) = &old {
            peer.lost = Some(old.id.number);
            peer.outbox.clear();
            old.stop.notify_one();
        }
        drop(peers);
        if old.is_some() {
            self.announce_down(vm, &LinkError::Replaced);
        }
        self.announce_up(vm);
        Ok(stop)
    }

    /// Takes in that a link ended, unless another took its place before.
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
        peer.ended.notify_one();
        drop(peers);
        self.announce_down(vm, why);
        self.forget(vm);
        self.detached.notify_one();
    }

    pub(crate) fn new_peer(&self) -> Peer {
        Peer::new(Outbox::new(self.config.queue, self.config.frame))
    }

    /// Drops the state of a peer that has no link and is not to be dialed.
    pub(crate) fn forget(&self, vm: &VmId) {
        let mut peers = self.peers.borrow_mut();
        let gone = |peer: &Peer| peer.link.is_none() && peer.addr.is_none();
        if peers.get(vm).is_some_and(gone) {
            peers.remove(vm);
        }
    }

    fn announce_up(&self, vm: &VmId) {
        self.stats.up.set(&[], self.count_up());
        emit(&self.log, Event::LinkUp, vm.as_str());
        (self.on_event)(LinkEvent::Up(vm.clone()));
    }

    fn announce_down(&self, vm: &VmId, why: &LinkError) {
        self.stats.up.set(&[], self.count_up());
        self.stats.ended.add(&[("why", why.label())], 1);
        self.pending.borrow_mut().lose(vm);
        emit(&self.log, Event::LinkDown, &format!("{vm}: {why}"));
        (self.on_event)(LinkEvent::Down(vm.clone()));
    }

    fn count_up(&self) -> i64 {
        let peers = self.peers.borrow();
        peers.values().filter(|p| p.link.is_some()).count() as i64
    }
}
