//! Requests that wait for replies, and replies that wait to be given.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::rc::Weak;

use base::Map;
use base::VmId;
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::error::CallError;
use crate::error::SendError;
use crate::packet::Packet;
use crate::shared::Shared;

type Reply = Result<Bytes, CallError>;

/// Requests sent and not yet answered, by number.
#[derive(Default)]
pub(crate) struct Pending {
    next: u64,
    waiting: Map<u64, (VmId, oneshot::Sender<Reply>)>,
}

impl Pending {
    /// Starts to count at a number that earlier runs of the process did not use.
    pub(crate) fn new(first: u64) -> Pending {
        Pending {
            next: first,
            waiting: Map::default(),
        }
    }

    /// Registers a request to a peer.
    pub(crate) fn add(&mut self, vm: &VmId) -> (u64, oneshot::Receiver<Reply>) {
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(id, (vm.clone(), sender));
        (id, receiver)
    }

    /// Ends a request with its result. A reply from another peer is ignored.
    pub(crate) fn finish(&mut self, vm: &VmId, id: u64, reply: Reply) {
        if self.waiting.get(&id).is_none_or(|(to, _)| to != vm) {
            return;
        }
        if let Some((_, sender)) = self.waiting.remove(&id) {
            let _ = sender.send(reply);
        }
    }

    /// Forgets a request that nobody waits for.
    pub(crate) fn forget(&mut self, id: u64) {
        self.waiting.remove(&id);
    }

    /// Ends all requests to a peer whose link ended.
    pub(crate) fn lose(&mut self, vm: &VmId) {
        let lost = |(to, _): &mut (VmId, oneshot::Sender<Reply>)| to == vm;
        let ids: Vec<u64> = self
            .waiting
            .iter_mut()
            .filter_map(|(id, entry)| lost(entry).then_some(*id))
            .collect();
        for id in ids {
            self.finish(vm, id, Err(CallError::Lost("the link ended")));
        }
    }
}

/// Forgets a request when its caller stops waiting.
pub(crate) struct Waiting {
    pub(crate) shared: Rc<Shared>,
    pub(crate) id: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.shared.pending.borrow_mut().forget(self.id);
    }
}

/// Takes the reply to one request.
pub struct Replier {
    shared: Weak<Shared>,
    vm: VmId,
    id: u64,
    done: Cell<bool>,
}

impl Replier {
    pub(crate) fn new(shared: &Rc<Shared>, vm: VmId, id: u64) -> Replier {
        Replier {
            shared: Rc::downgrade(shared),
            vm,
            id,
            done: Cell::new(false),
        }
    }

    /// Sends the reply.
    pub fn send(self, body: Bytes) -> Result<(), SendError> {
        self.push(Packet::Reply { id: self.id, body })
    }

    fn push(&self, packet: Packet) -> Result<(), SendError> {
        self.done.set(true);
        let shared = self.shared.upgrade().ok_or(SendError::Closed)?;
        shared.push(&self.vm, packet)
    }
}

impl Drop for Replier {
    fn drop(&mut self) {
        if !self.done.get() {
            let _ = self.push(Packet::NoReply { id: self.id });
        }
    }
}

impl fmt::Debug for Replier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Replier({}, {})", self.vm, self.id)
    }
}
