//! The price of a stop.

use base::Millis;

use crate::rank::USEFUL_FACTOR;

/// A run, or all runs of a gang, as a stop would find it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopInput {
    /// Cores that it occupies, accelerators included.
    pub cores: u64,
    /// Work time that is not saved when it is stopped.
    pub unsaved: Millis,
    /// Time that it needs to resume.
    pub restore: Millis,
    /// Time in which its resources do no work because of the stop.
    pub turnaround: Millis,
    /// Expected duration of the whole run.
    pub duration: Millis,
    /// Expected time until its job ends if it is not stopped.
    pub left: Millis,
    /// Time since its job was accepted.
    pub age: Millis,
    /// Target time from acceptance to completion.
    pub objective: Millis,
    /// Number of times that it has been stopped for others.
    pub stops: u32,
}

/// Price of a stop, in core-milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Price {
    /// Work that is lost.
    pub lost: u64,
    /// Everything: work that is lost and has to wait, and the worth of a result that comes too late.
    pub total: u64,
}

impl Price {
    /// Price of stopping this run or gang.
    pub fn of(input: &StopInput) -> Price {
        let again = input.unsaved + input.restore;
        let lost = input.cores * again.0;
        let delay = again + input.turnaround;
        let before = input.age + input.left;
        let after = before + delay;
        let useful_end = Millis(input.objective.0 * USEFUL_FACTOR);
        let misses = |end: Millis| before <= end && after > end;
        // A result that becomes late or useless by the stop is worth the work that goes into it.
        let late = match misses(input.objective) || misses(useful_end) {
            true => input.cores * input.duration.0,
            false => 0,
        };
        // A run that is stopped again and again never ends.
        let repeated = u64::from(input.stops) + 1;
        Price {
            lost,
            total: (input.cores * delay.0 + late).saturating_mul(repeated),
        }
    }

    /// Adds the price of another member of the gang.
    pub fn add(&mut self, other: Price) {
        self.lost = self.lost.saturating_add(other.lost);
        self.total = self.total.saturating_add(other.total);
    }
}
