//! Limit on the slots of an upstream that one entry VM uses, adjusted by additive increase and
//! multiplicative decrease (AIMD). Entry VMs share the slots without communicating: the
//! upstream refuses requests beyond its slots, and each refusal lowers the limit of its sender.

use base::Millis;

/// Factor applied to the limit after a refusal because no slot was free.
const DECREASE_FACTOR: f64 = 0.7;

/// Slots added to the limit by one round of successes, that is, as many as the limit.
const INCREASE_PER_ROUND: f64 = 0.1;

/// Refusals within this period after a decrease do not lower the limit again.
const DECREASE_PAUSE: Millis = Millis(100);

/// Concurrency limit of one entry VM for one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    value: f64,
    slots: u32,
    last_decrease: Millis,
}

impl Limit {
    /// Creates a limit of half of the slots.
    pub fn new(slots: u32) -> Limit {
        let slots = slots.max(1);
        Limit {
            value: (f64::from(slots) / 2.0).max(1.0),
            slots,
            last_decrease: Millis::ZERO,
        }
    }

    /// Number of requests that may be in progress, at least 1.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Sets the number of slots and lowers the limit to it.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.value = self.value.min(f64::from(self.slots));
    }

    /// Records a success while `busy` requests, this one included, were in progress. The limit
    /// is raised only if it was used up.
    pub fn grow(&mut self, busy: u32) {
        if busy >= self.value() {
            self.value = (self.value + INCREASE_PER_ROUND / self.value).min(f64::from(self.slots));
        }
    }

    /// Records that the upstream refused a request because no slot was free.
    pub fn shrink(&mut self, now: Millis) {
        if now.since(self.last_decrease) >= DECREASE_PAUSE {
            self.value = (self.value * DECREASE_FACTOR).max(1.0);
            self.last_decrease = now;
        }
    }
}
