//! Division of the room between organisations by weight, when there is not enough for all.
//!
//! Load pattern: for many seconds several organisations want more than there is. Served by deadline
//! alone, the one that sends most gets most. Each gets its weighted share of its dominant resource
//! first (max-min: what one does not want goes to the others), and all beyond that comes after.

use base::Millis;

use super::Weight;
use crate::spec::Resources;

/// Time over which the use of an organisation is averaged for its gangs.
const HISTORY: f64 = 5_000.0;

/// Time by which the average is foreseen, so that what has just started counts.
const AHEAD: f64 = 1_000.0;

/// Steps of the search for the common level of shares.
const SEARCH_STEPS: usize = 24;

/// What an organisation wants, and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// What it has running and what waits, as far as its limit allows.
    pub wanted: Resources,
    /// Its weight.
    pub weight: Weight,
}

/// The part of the capacity that resources take: the greatest part of any of the resources.
pub fn dominant(used: &Resources, capacity: &Resources) -> f64 {
    let part = |used: u64, all: u64| match all {
        0 => 0.0,
        _ => used as f64 / all as f64,
    };
    part(used.cpu, capacity.cpu)
        .max(part(used.memory, capacity.memory))
        .max(part(used.accels, capacity.accels))
}

/// The part of the capacity, by dominant resource, that each organisation may use before the others;
/// `None` if there is enough for all.
pub fn divide(demands: &[Demand], capacity: &Resources) -> Option<Vec<f64>> {
    let wanted: Vec<f64> = demands
        .iter()
        .map(|d| dominant(&d.wanted, capacity))
        .collect();
    let fits = |level: f64| {
        let mut sums = [0.0; 3];
        for (demand, wanted) in demands.iter().zip(&wanted) {
            if *wanted <= 0.0 {
                continue;
            }
            // The organisation gets all its resources in the proportion in which it wants them.
            let part = (level * demand.weight.get()).min(*wanted) / wanted;
            let Resources {
                cpu,
                memory,
                accels,
            } = demand.wanted;
            for (sum, amount) in sums.iter_mut().zip([cpu, memory, accels]) {
                *sum += part * amount as f64;
            }
        }
        let all = [capacity.cpu, capacity.memory, capacity.accels];
        sums.iter().zip(all).all(|(sum, all)| *sum <= all as f64)
    };
    if fits(f64::INFINITY) {
        return None;
    }
    let (mut low, mut high) = (0.0, 1.0);
    while fits(high) {
        (low, high) = (high, high * 2.0);
    }
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        match fits(middle) {
            true => low = middle,
            false => high = middle,
        }
    }
    let shares = demands.iter().zip(&wanted);
    Some(
        shares
            .map(|(d, wanted)| (low * d.weight.get()).min(*wanted))
            .collect(),
    )
}

/// Average use of an organisation over the last seconds, by its dominant resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct History {
    /// The average part of the capacity.
    pub average: f64,
    at: Millis,
}

impl History {
    /// Begins with what is in use.
    pub fn new(used: f64, now: Millis) -> History {
        History {
            average: used,
            at: now,
        }
    }

    /// The average in a while, if `used` remains in use until then.
    pub fn expected(&self, used: f64) -> f64 {
        let kept = (-AHEAD / HISTORY).exp();
        self.average * kept + used * (1.0 - kept)
    }

    /// Adds that `used` was in use since the last update.
    pub fn update(&mut self, used: f64, now: Millis) {
        let kept = (-(now.since(self.at).0 as f64) / HISTORY).exp();
        self.average = self.average * kept + used * (1.0 - kept);
        self.at = now;
    }
}
