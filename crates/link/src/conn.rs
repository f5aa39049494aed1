//! Runs an established link: reads, writes, sends keepalives and closes it when the peer is
//! silent.

use std::rc::Rc;

use base::VmId;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::select;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use crate::error::CallError;
use crate::error::LinkError;
use crate::event::LinkEvent;
use crate::identity::LinkId;
use crate::packet::decode;
use crate::packet::encode;
use crate::packet::Packet;
use crate::requests::Replier;
use crate::shared::Shared;
use crate::socket::close_frame;
use crate::socket::link_error;
use crate::socket::unexpected_message;
use crate::socket::Socket;

/// An established link.
pub(crate) struct Conn {
    pub(crate) shared: Rc<Shared>,
    pub(crate) vm: VmId,
    pub(crate) id: LinkId,
    pub(crate) stop: Rc<Notify>,
}

impl Conn {
    /// Reads and writes until the link ends, then closes the WebSocket.
    pub(crate) async fn run(self, socket: Socket) {
        let (mut sink, mut stream) = socket.split();
        let why = select! {
            why = self.read(&mut stream) => why,
            why = self.write(&mut sink) => why,
            () = self.stop.notified() => LinkError::Replaced,
        };
        if why == LinkError::Closing {
            self.send_close(&mut sink, &why).await;
            // Closing a TCP socket with unread bytes resets the connection, and the peer could
            // lose the last packets: read until the peer closes the link.
            let drain = self.shared.config.drain_timeout.duration();
            let _ = timeout(drain, self.read(&mut stream)).await;
            self.shared.detach(&self.vm, &self.id, &why);
        } else {
            self.shared.detach(&self.vm, &self.id, &why);
            self.send_close(&mut sink, &why).await;
        }
    }

    /// Sends a close frame with the reason. The peer may be unreachable, so the wait is short.
    async fn send_close(&self, sink: &mut SplitSink<Socket, Message>, why: &LinkError) {
        let close = sink.send(Message::Close(Some(close_frame(why))));
        let _ = timeout(self.shared.config.keepalive_interval.duration(), close).await;
    }

    async fn read(&self, stream: &mut SplitStream<Socket>) -> LinkError {
        let idle_timeout = self.shared.config.idle_timeout.duration();
        loop {
            let message = match timeout(idle_timeout, stream.next()).await {
                Ok(Some(Ok(message))) => message,
                Ok(Some(Err(error))) => return link_error(&error),
                Ok(None) => return LinkError::Io("the peer ended the link".to_string()),
                Err(_) => return LinkError::Silent,
            };
            self.update_heard();
            let handled = match message {
                Message::Binary(frame) => self.handle(&frame),
                Message::Ping(_) | Message::Pong(_) => Ok(()),
                other => Err(unexpected_message(&other)),
            };
            if let Err(error) = handled {
                return error;
            }
        }
    }

    /// Records that the peer was heard now.
    fn update_heard(&self) {
        let now = self.shared.clock.now();
        if let Some(peer) = self.shared.peers.borrow_mut().get_mut(&self.vm) {
            peer.heard = now;
        }
    }

    fn handle(&self, frame: &[u8]) -> Result<(), LinkError> {
        let packets = decode(frame)?;
        self.shared
            .stats
            .count_frame("in", packets.len(), frame.len());
        for packet in packets {
            // After a link was replaced, none of its packets are delivered.
            if !self.is_current() {
                return Err(LinkError::Replaced);
            }
            self.deliver(packet);
        }
        Ok(())
    }

    /// Whether this link is still the active one of the peer.
    fn is_current(&self) -> bool {
        let peers = self.shared.peers.borrow();
        let link = peers.get(&self.vm).and_then(|p| p.link.as_ref());
        link.is_some_and(|l| l.id == self.id)
    }

    fn deliver(&self, packet: Packet) {
        let from = self.vm.clone();
        let pending = &self.shared.pending;
        match packet {
            Packet::Message { topic, body } => {
                (self.shared.on_event)(LinkEvent::Message { from, topic, body });
            }
            Packet::NoReply { id } => {
                pending
                    .borrow_mut()
                    .complete(&from, id, Err(CallError::NoReply));
            }
            Packet::Reply { id, body } => pending.borrow_mut().complete(&from, id, Ok(body)),
            Packet::Request { id, topic, body } => {
                let reply = Replier::new(&self.shared, from.clone(), id);
                (self.shared.on_event)(LinkEvent::Request {
                    from,
                    topic,
                    body,
                    reply,
                });
            }
        }
    }

    async fn write(&self, sink: &mut SplitSink<Socket, Message>) -> LinkError {
        let interval = self.shared.config.keepalive_interval.duration();
        let Some(ready) = self.outbox_ready() else {
            return LinkError::Closing;
        };
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                if self.shared.closed.get() {
                    return LinkError::Closing;
                }
                if timeout(interval, ready.notified()).await.is_ok() {
                    continue;
                }
            }
            if let Err(error) = self.send(sink, &batch).await {
                return error;
            }
        }
    }

    /// Sends packets in one frame, or a keepalive if there are none. The keepalive is an
    /// unsolicited pong: a ping would cause a reply, which is needless because the peer sends
    /// keepalives of its own.
    async fn send(
        &self,
        sink: &mut SplitSink<Socket, Message>,
        batch: &[Packet],
    ) -> Result<(), LinkError> {
        let message = if batch.is_empty() {
            Message::Pong(bytes::Bytes::new())
        } else {
            let frame = encode(batch)?;
            self.shared
                .stats
                .count_frame("out", batch.len(), frame.len());
            Message::Binary(frame)
        };
        sink.send(message).await.map_err(|e| link_error(&e))
    }

    /// Signal that the outbox has packets or that the links are closing; `None` if the peer was
    /// removed.
    fn outbox_ready(&self) -> Option<Rc<Notify>> {
        let peers = self.shared.peers.borrow();
        peers.get(&self.vm).map(|p| p.outbox_ready.clone())
    }

    /// Packets of the next frame; none if the link was replaced.
    fn next_batch(&self) -> Vec<Packet> {
        if !self.is_current() {
            return Vec::new();
        }
        let mut peers = self.shared.peers.borrow_mut();
        let peer = peers.get_mut(&self.vm);
        peer.map_or_else(Vec::new, |p| p.outbox.take())
    }
}
