//! When items of the store may have been written, by their revisions.
//!
//! Load pattern: workers write their entries once a heartbeat, and an outage of the store stops that. When it
//! is back, a read shows at once that nothing has changed, while the workers have, and will say so only with
//! their next heartbeat. That a read is current says nothing about the age of what it returns.

use std::collections::VecDeque;

use base::Millis;
use base::Revision;

/// Number of reads that are remembered.
const MAX_READS: usize = 64;

/// Reads of the store, each with the store's revision at the time of its response. What has a higher revision
/// was written after the read was sent.
#[derive(Clone, Debug, Default)]
pub struct RevisionTimes {
    reads: VecDeque<(Millis, Revision)>,
}

impl RevisionTimes {
    /// Records that a read sent at `sent` was answered at this revision of the store.
    pub fn record(&mut self, sent: Millis, revision: Revision) {
        match self.reads.back_mut() {
            Some(last) if last.1 == revision => last.0 = last.0.max(sent),
            // Another read that was sent later has been answered before.
            Some(last) if last.1 > revision || last.0 > sent => {}
            _ => self.reads.push_back((sent, revision)),
        }
        if self.reads.len() > MAX_READS {
            self.reads.pop_front();
        }
    }

    /// Earliest time at which an item of this revision may have been written; zero if that is not known.
    pub fn written_after(&self, revision: Revision) -> Millis {
        let mut earlier = self.reads.iter().rev().filter(|r| r.1 < revision);
        earlier.next().map_or(Millis::ZERO, |(sent, _)| *sent)
    }
}
