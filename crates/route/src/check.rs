//! Invariants of the balancer.

use base::Map;
use base::Set;
use quick_error::quick_error;

use crate::balancer::Balancer;
use crate::balancer::Ticket;

quick_error! {
    /// Violation of an invariant.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// The counter of an upstream differs from its actual requests in progress.
        Busy(upstream: String, counted: u32, actual: u32) {
            display("{upstream} counts {counted} requests in progress but has {actual}")
        }
        /// An upstream has more requests in progress than slots.
        Slots(upstream: String) {
            display("{upstream} has more requests in progress than slots")
        }
        /// A ticket is queued twice, or is queued while it is in progress.
        Duplicate(ticket: u64) {
            display("ticket {ticket} is queued twice, or queued and in progress")
        }
        /// More requests are queued than the configured limit.
        Queue(len: usize) {
            display("{len} requests are queued, more than the limit")
        }
    }
}

impl<R> Balancer<R> {
    /// Verifies all invariants.
    pub fn check(&self) -> Result<(), Violation> {
        self.check_tickets()?;
        self.check_counts()?;
        let queued: usize = self.queues.values().map(|queue| queue.len()).sum();
        if queued > self.config.max_queued {
            return Err(Violation::Queue(queued));
        }
        Ok(())
    }

    fn check_tickets(&self) -> Result<(), Violation> {
        let mut seen: Set<Ticket> = self.in_flight.keys().copied().collect();
        for ticket in self.queues.values().flat_map(|queue| queue.tickets()) {
            if !seen.insert(ticket) {
                return Err(Violation::Duplicate(ticket.0));
            }
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), Violation> {
        let mut actual: Map<&str, u32> = Map::default();
        for sent_request in self.in_flight.values() {
            *actual.entry(sent_request.upstream.as_str()).or_default() += 1;
        }
        for member in self.pool.members() {
            let id = member.upstream.id.as_str();
            let count = actual.get(id).copied().unwrap_or(0);
            if count != member.busy {
                return Err(Violation::Busy(id.to_string(), member.busy, count));
            }
            if member.busy > member.upstream.slots.max(1) {
                return Err(Violation::Slots(id.to_string()));
            }
        }
        Ok(())
    }
}
