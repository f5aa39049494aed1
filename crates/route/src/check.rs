//! Invariants of the request policy.

use base::Map;
use base::Set;
use quick_error::quick_error;

use crate::balancer::Balancer;
use crate::balancer::Ticket;

quick_error! {
    /// A broken invariant.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// The counted and the actual requests of an upstream differ.
        Busy(upstream: String, counted: u32, actual: u32) {
            display("{upstream} counts {counted} requests in progress but has {actual}")
        }
        /// An upstream has more requests than slots.
        Slots(upstream: String) {
            display("{upstream} has more requests in progress than slots")
        }
        /// A request waits twice, or waits while it is in progress.
        Twice(ticket: u64) {
            display("ticket {ticket} is in two places")
        }
        /// More requests wait than the queue holds.
        Queue(len: usize) {
            display("{len} requests wait, more than the queue holds")
        }
    }
}

impl<R> Balancer<R> {
    /// Verifies every invariant of the policy.
    pub fn check(&self) -> Result<(), Violation> {
        self.check_tickets()?;
        self.check_counts()?;
        let waiting: usize = self.queues.values().map(|queue| queue.len()).sum();
        if waiting > self.config.queue {
            return Err(Violation::Queue(waiting));
        }
        Ok(())
    }

    fn check_tickets(&self) -> Result<(), Violation> {
        let mut seen: Set<Ticket> = self.flights.keys().copied().collect();
        for ticket in self.queues.values().flat_map(|queue| queue.tickets()) {
            if !seen.insert(ticket) {
                return Err(Violation::Twice(ticket.0));
            }
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), Violation> {
        let mut actual: Map<&str, u32> = Map::default();
        for flight in self.flights.values() {
            *actual.entry(flight.upstream.as_str()).or_default() += 1;
        }
        for member in self.pool.members() {
            let id = member.upstream.id.as_str();
            let num = actual.get(id).copied().unwrap_or(0);
            if num != member.busy {
                return Err(Violation::Busy(id.to_string(), member.busy, num));
            }
            if member.busy > member.upstream.slots.max(1) {
                return Err(Violation::Slots(id.to_string()));
            }
        }
        Ok(())
    }
}
