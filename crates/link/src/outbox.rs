//! What waits to be sent to one peer.

use std::collections::VecDeque;

use crate::error::SendError;
use crate::packet::Packet;
use crate::packet::OVERHEAD;

/// Most bytes of packets that share a frame with others.
const BATCH: usize = 64 * 1024;

/// A queue bounded in bytes.
#[derive(Clone, Debug)]
pub struct Outbox {
    packets: VecDeque<Packet>,
    bytes: usize,
    limit: usize,
    frame: usize,
}

impl Outbox {
    /// An empty queue of at most `limit` bytes for frames of at most `frame` bytes.
    pub fn new(limit: usize, frame: usize) -> Outbox {
        Outbox {
            packets: VecDeque::new(),
            bytes: 0,
            limit,
            frame,
        }
    }

    /// Adds a packet if there is room for it.
    pub fn push(&mut self, packet: Packet) -> Result<(), SendError> {
        let size = packet.size();
        if size + OVERHEAD > self.frame {
            return Err(SendError::TooLarge);
        }
        if self.bytes + size > self.limit {
            return Err(SendError::Full);
        }
        self.bytes += size;
        self.packets.push_back(packet);
        Ok(())
    }

    /// Takes the packets of the next frame, in order; none if the queue is empty.
    pub fn take(&mut self) -> Vec<Packet> {
        let mut batch = Vec::new();
        let mut size = OVERHEAD;
        let most = BATCH.min(self.frame);
        while let Some(packet) = self.packets.front() {
            if !batch.is_empty() && size + packet.size() > most {
                break;
            }
            size += packet.size();
            batch.extend(self.packets.pop_front());
        }
        self.bytes -= batch.iter().map(Packet::size).sum::<usize>();
        batch
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.packets.clear();
        self.bytes = 0;
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Bytes that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Checks the bound and the count of bytes.
    pub fn check(&self) -> Result<(), String> {
        let bytes: usize = self.packets.iter().map(Packet::size).sum();
        if bytes == self.bytes && bytes <= self.limit {
            return Ok(());
        }
        Err(format!(
            "{bytes} bytes wait, {} counted, limit {}",
            self.bytes, self.limit
        ))
    }
}
