//! Share of an upstream's slots that one entry VM uses: additive increase, multiplicative
//! decrease. Entry VMs share the slots without talking to each other, because the upstream
//! refuses what exceeds its slots and every refusal shrinks the share of its sender.

use base::Millis;

/// Factor applied to the limit after a refusal for want of a slot.
const DECREASE: f64 = 0.7;

/// Part of a slot by which as many successes as the limit allows at once raise it.
const INCREASE: f64 = 0.1;

/// Refusals within this span count as one.
const DECREASE_PAUSE: Millis = Millis(100);

/// Concurrency limit of one upstream as one entry VM sees it.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    value: f64,
    slots: u32,
    decreased: Millis,
}

impl Limit {
    /// Starts at half of the slots.
    pub fn new(slots: u32) -> Limit {
        let slots = slots.max(1);
        Limit {
            value: (f64::from(slots) / 2.0).max(1.0),
            slots,
            decreased: Millis::ZERO,
        }
    }

    /// Requests that may be in progress at the same time, at least 1.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.value = self.value.min(f64::from(self.slots));
    }

    /// A request succeeded while `busy` requests, itself included, were in progress.
    pub fn grow(&mut self, busy: u32) {
        if busy >= self.value() {
            self.value = (self.value + INCREASE / self.value).min(f64::from(self.slots));
        }
    }

    /// The upstream refused a request for want of a slot.
    pub fn shrink(&mut self, now: Millis) {
        if now.since(self.decreased) >= DECREASE_PAUSE {
            self.value = (self.value * DECREASE).max(1.0);
            self.decreased = now;
        }
    }
}
