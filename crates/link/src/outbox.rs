//! Send queue of one peer.

use std::collections::VecDeque;

use crate::error::SendError;
use crate::packet::Packet;
use crate::packet::OVERHEAD_BYTES;

/// Most bytes of packets that are combined into one frame. A larger packet gets its own frame.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// FIFO queue of packets, bounded in bytes.
#[derive(Clone, Debug)]
pub struct Outbox {
    packets: VecDeque<Packet>,
    /// Sum of [`Packet::size`] of the packets.
    bytes: usize,
    /// Upper bound of `bytes`.
    limit: usize,
    /// Longest frame in bytes.
    max_frame: usize,
}

impl Outbox {
    /// Creates an empty queue of at most `limit` bytes for frames of at most `max_frame` bytes.
    pub fn new(limit: usize, max_frame: usize) -> Outbox {
        Outbox {
            packets: VecDeque::new(),
            bytes: 0,
            limit,
            max_frame,
        }
    }

    /// Appends a packet if the queue has room for it.
    pub fn push(&mut self, packet: Packet) -> Result<(), SendError> {
        let size = packet.size();
        if size + OVERHEAD_BYTES > self.max_frame {
            return Err(SendError::TooLarge);
        }
        if self.bytes + size > self.limit {
            return Err(SendError::Full);
        }
        self.bytes += size;
        self.packets.push_back(packet);
        Ok(())
    }

    /// Removes and returns the packets of the next frame in order; none if the queue is empty.
    pub fn take(&mut self) -> Vec<Packet> {
        let mut batch = Vec::new();
        let mut size = OVERHEAD_BYTES;
        let max = MAX_BATCH_BYTES.min(self.max_frame);
        while let Some(packet) = self.packets.front() {
            if !batch.is_empty() && size + packet.size() > max {
                break;
            }
            size += packet.size();
            batch.extend(self.packets.pop_front());
        }
        self.bytes -= batch.iter().map(Packet::size).sum::<usize>();
        batch
    }

    /// Discards all packets.
    pub fn clear(&mut self) {
        self.packets.clear();
        self.bytes = 0;
    }

    /// Whether the queue has no packets.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Upper bound of the encoded size of the queued packets.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Verifies that the byte count matches the packets and is within the limit.
    pub fn check(&self) -> Result<(), String> {
        let bytes: usize = self.packets.iter().map(Packet::size).sum();
        if bytes == self.bytes && bytes <= self.limit {
            return Ok(());
        }
        Err(format!(
            "the queue holds {bytes} bytes, but {} are counted; the limit is {}",
            self.bytes, self.limit
        ))
    }
}
