//! Runs one link that is up: reads, writes, shows life, and ends it when it is silent.

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
use crate::socket::ended;
use crate::socket::failure;
use crate::socket::Socket;

/// A link that is up.
pub(crate) struct Conn {
    pub(crate) shared: Rc<Shared>,
    pub(crate) vm: VmId,
    pub(crate) id: LinkId,
    pub(crate) stop: Rc<Notify>,
}

impl Conn {
    /// Runs the link until it ends.
    pub(crate) async fn run(self, socket: Socket) {
        let (mut sink, mut stream) = socket.split();
        let why = select! {
            why = self.read(&mut stream) => why,
            why = self.write(&mut sink) => why,
            () = self.stop.notified() => LinkError::Replaced,
        };
        if why == LinkError::Closing {
            self.say(&mut sink, &why).await;
            // Closing a socket with unread bytes resets it, and the peer could lose what was
            // sent last: read until the peer ends the link.
            let drain = self.shared.config.drain.duration();
            let _ = timeout(drain, self.read(&mut stream)).await;
            self.shared.detach(&self.vm, &self.id, &why);
        } else {
            self.shared.detach(&self.vm, &self.id, &why);
            self.say(&mut sink, &why).await;
        }
    }

    /// Tells the peer why the link ends. The peer may be gone, so this does not wait long.
    async fn say(&self, sink: &mut SplitSink<Socket, Message>, why: &LinkError) {
        let close = sink.send(Message::Close(Some(close_frame(why))));
        let _ = timeout(self.shared.config.beat.duration(), close).await;
    }

    async fn read(&self, stream: &mut SplitStream<Socket>) -> LinkError {
        let silence = self.shared.config.silence.duration();
        loop {
            let message = match timeout(silence, stream.next()).await {
                Ok(Some(Ok(message))) => message,
                Ok(Some(Err(error))) => return failure(&error),
                Ok(None) => return LinkError::Io("the peer ended the link".to_string()),
                Err(_) => return LinkError::Silent,
            };
            self.hear();
            let handled = match message {
                Message::Binary(frame) => self.handle(&frame),
                Message::Ping(_) | Message::Pong(_) => Ok(()),
                other => Err(ended(&other)),
            };
            if let Err(error) = handled {
                return error;
            }
        }
    }

    fn hear(&self) {
        let now = self.shared.clock.now();
        if let Some(peer) = self.shared.peers.borrow_mut().get_mut(&self.vm) {
            peer.heard = now;
        }
    }

    fn handle(&self, frame: &[u8]) -> Result<(), LinkError> {
        let packets = decode(frame)?;
        self.shared.stats.count("in", packets.len(), frame.len());
        for packet in packets {
            // A link that was replaced delivers nothing after its successor is up.
            if !self.is_current() {
                return Err(LinkError::Replaced);
            }
            self.deliver(packet);
        }
        Ok(())
    }

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
                    .finish(&from, id, Err(CallError::Refused));
            }
            Packet::Reply { id, body } => pending.borrow_mut().finish(&from, id, Ok(body)),
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
        let beat = self.shared.config.beat.duration();
        let Some(wake) = self.wake() else {
            return LinkError::Closing;
        };
        loop {
            let batch = self.take();
            if batch.is_empty() {
                if self.shared.closed.get() {
                    return LinkError::Closing;
                }
                if timeout(beat, wake.notified()).await.is_ok() {
                    continue;
                }
            }
            if let Err(error) = self.send(sink, &batch).await {
                return error;
            }
        }
    }

    /// Sends packets in one frame, or a sign of life if there are none: a pong that nobody asked
    /// for, since a ping would cost an answer that the peer's own signs of life make useless.
    async fn send(
        &self,
        sink: &mut SplitSink<Socket, Message>,
        batch: &[Packet],
    ) -> Result<(), LinkError> {
        let message = if batch.is_empty() {
            Message::Pong(bytes::Bytes::new())
        } else {
            let frame = encode(batch)?;
            self.shared.stats.count("out", batch.len(), frame.len());
            Message::Binary(frame)
        };
        sink.send(message).await.map_err(|e| failure(&e))
    }

    fn wake(&self) -> Option<Rc<Notify>> {
        let peers = self.shared.peers.borrow();
        peers.get(&self.vm).map(|p| p.wake.clone())
    }

    fn take(&self) -> Vec<Packet> {
        if !self.is_current() {
            return Vec::new();
        }
        let mut peers = self.shared.peers.borrow_mut();
        let peer = peers.get_mut(&self.vm);
        peer.map_or_else(Vec::new, |p| p.outbox.take())
    }
}
