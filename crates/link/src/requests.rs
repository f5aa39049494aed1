//! Outgoing requests that wait for a reply, and handles to reply to incoming requests.

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

/// Outgoing requests without a reply yet, by id.
#[derive(Default)]
pub(crate) struct Pending {
    next: u64,
    waiting: Map<u64, (VmId, oneshot::Sender<Reply>)>,
}

impl Pending {
    /// Creates an empty table whose first request id is `first`. It must differ from the ids of
    /// earlier runs of the process, so that late replies to those match no request.
    pub(crate) fn new(first: u64) -> Pending {
        Pending {
            next: first,
            waiting: Map::default(),
        }
    }

    /// Registers a request to a peer. Returns its id and the receiver of its result.
    pub(crate) fn add(&mut self, vm: &VmId) -> (u64, oneshot::Receiver<Reply>) {
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(id, (vm.clone(), sender));
        (id, receiver)
    }

    /// Completes a request with its result. A reply from a peer other than the addressed one is
    /// ignored.
    pub(crate) fn complete(&mut self, vm: &VmId, id: u64, reply: Reply) {
        if self.waiting.get(&id).is_none_or(|(to, _)| to != vm) {
            return;
        }
        if let Some((_, sender)) = self.waiting.remove(&id) {
            let _ = sender.send(reply);
        }
    }

    /// Removes a request whose caller no longer waits.
    pub(crate) fn remove(&mut self, id: u64) {
        self.waiting.remove(&id);
    }

    /// Fails all requests to a peer whose link ended.
    pub(crate) fn fail_all(&mut self, vm: &VmId) {
        let is_to_peer = |(to, _): &mut (VmId, oneshot::Sender<Reply>)| to == vm;
        let ids: Vec<u64> = self
            .waiting
            .iter_mut()
            .filter_map(|(id, entry)| is_to_peer(entry).then_some(*id))
            .collect();
        for id in ids {
            self.complete(vm, id, Err(CallError::Lost("the link ended")));
        }
    }
}

/// Removes a request on drop, so that a cancelled caller leaves no entry behind.
pub(crate) struct PendingGuard {
    pub(crate) shared: Rc<Shared>,
    pub(crate) id: u64,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.shared.pending.borrow_mut().remove(self.id);
    }
}

/// Handle to reply to one request. Dropping it tells the requester that no reply will follow.
pub struct Replier {
    shared: Weak<Shared>,
    vm: VmId,
    id: u64,
    replied: Cell<bool>,
}

impl Replier {
    pub(crate) fn new(shared: &Rc<Shared>, vm: VmId, id: u64) -> Replier {
        Replier {
            shared: Rc::downgrade(shared),
            vm,
            id,
            replied: Cell::new(false),
        }
    }

    /// Queues the reply for the requester.
    pub fn send(self, body: Bytes) -> Result<(), SendError> {
        self.push(Packet::Reply { id: self.id, body })
    }

    fn push(&self, packet: Packet) -> Result<(), SendError> {
        self.replied.set(true);
        let shared = self.shared.upgrade().ok_or(SendError::Closed)?;
        shared.push(&self.vm, packet)
    }
}

impl Drop for Replier {
    fn drop(&mut self) {
        if !self.replied.get() {
            let _ = self.push(Packet::NoReply { id: self.id });
        }
    }
}

impl fmt::Debug for Replier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Replier({}, {})", self.vm, self.id)
    }
}
