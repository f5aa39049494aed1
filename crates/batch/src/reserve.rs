//! Reservation of resources for large gangs and for urgent jobs.
//!
//! Load pattern of large gangs: small tasks take every accelerator as it becomes free, so a gang
//! that needs whole workers never gets them. The workers that become free first are reserved for
//! the gang that is next in the ranking; tasks that end before its expected start may still use
//! them.

use std::sync::Arc;

use base::Map;
use base::Millis;

use crate::place::eligible;
use crate::place::racks;
use crate::place::Candidate;
use crate::place::Limits;
use crate::spec::Resources;
use crate::spec::StepSpec;

/// Reserves the workers on which `count` tasks of a gang can start soonest. Returns the expected
/// time until then, or `None` if the gang would not fit even after all runs have ended.
pub fn reserve_gang(
    candidates: &mut [Candidate],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Millis> {
    let among = eligible(candidates, step, limits);
    reserve_among(&among, candidates, step, limits, count)
}

/// [`reserve_gang`] among eligible workers.
pub(crate) fn reserve_among(
    among: &[usize],
    candidates: &mut [Candidate],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Millis> {
    let free: Vec<Resources> = candidates.iter().map(|c| c.free).collect();
    let racks = racks(among, candidates, &free, step, limits, count);
    let earliest = racks
        .iter()
        .filter_map(|rack| earliest_start(rack, candidates, step, count));
    let (start, chosen) = earliest.min_by_key(|(start, _)| *start)?;
    for num in chosen {
        candidates[num].reserved_until = Some(start);
    }
    Some(start)
}

/// The earliest expected start of a gang, and the workers that it would use.
fn earliest_start(
    among: &[usize],
    candidates: &[Candidate],
    step: &StepSpec,
    count: usize,
) -> Option<(Millis, Vec<usize>)> {
    let need = step.occupies();
    let most = u64::from(step.per_worker.unwrap_or(u32::MAX));
    // For each task of the gang that fits: the time from which it does, and its worker.
    let mut slots: Vec<(Millis, usize)> = Vec::new();
    for &num in among {
        let candidate = &candidates[num];
        if candidate.reserved_until.is_some() {
            continue;
        }
        let mut ends = candidate.running.clone();
        ends.sort_by_key(|(left, _)| *left);
        let mut sum = candidate.free;
        let mut fitted = need.count_fitting(&sum).min(most).min(count as u64);
        slots.extend((0..fitted).map(|_| (Millis::ZERO, num)));
        for (left, used) in ends {
            sum += used;
            let left_over = sum.saturating_sub(&candidate.excess);
            let fits = need.count_fitting(&left_over).min(most).min(count as u64);
            slots.extend((fitted..fits).map(|_| (left, num)));
            fitted = fitted.max(fits);
        }
    }
    slots.sort();
    slots.truncate(count);
    if slots.len() < count {
        return None;
    }
    let start = slots.last().map(|(left, _)| *left)?;
    let mut chosen: Vec<usize> = slots.into_iter().map(|(_, num)| num).collect();
    chosen.sort_unstable();
    chosen.dedup();
    Some((start, chosen))
}

/// Weight of a new job in the moving averages: one in this many.
const AVERAGE_WEIGHT: f64 = 12.0;

/// Time that it takes to free resources by preemption. The reserve covers the urgent jobs expected
/// meanwhile.
const PREEMPTION_TIME: Millis = Millis(500);

/// Time without urgent jobs after which nothing is reserved for them.
const IDLE_RESET: Millis = Millis(10_000);

/// Moving averages of the size and the spacing of urgent jobs, those of priority 0.
///
/// Load pattern: urgent jobs arrive at random, and each needs the accelerators of several workers
/// on one rack. On a full site each of them preempts other work and waits for its end. A small
/// reserve, open only to work that loses nothing when it is stopped, lets most of them start at
/// once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UrgentArrivals {
    accels: f64,
    interval: f64,
    last_arrival: Option<Millis>,
}

impl UrgentArrivals {
    /// Records the arrival of an urgent job that needs `accels` accelerators.
    pub fn record_arrival(&mut self, accels: u64, now: Millis) {
        let Some(last_arrival) = self.last_arrival.replace(now) else {
            self.accels = accels as f64;
            self.interval = IDLE_RESET.0 as f64;
            return;
        };
        self.accels += (accels as f64 - self.accels) / AVERAGE_WEIGHT;
        self.interval += (now.since(last_arrival).0 as f64 - self.interval) / AVERAGE_WEIGHT;
    }

    /// Accelerators to reserve: those of one job and of the jobs expected while resources for it
    /// are freed elsewhere.
    pub fn accels(&self, now: Millis) -> u64 {
        let recent = self
            .last_arrival
            .is_some_and(|at| now.since(at) < IDLE_RESET);
        if !recent {
            return 0;
        }
        let expected = PREEMPTION_TIME.0 as f64 / self.interval.max(1.0);
        (self.accels * (1.0 + expected)) as u64
    }
}

/// Marks workers with `accels` free accelerators in all as reserved for urgent jobs. It starts with
/// the rack that has the most free, as an urgent gang starts on one rack.
pub fn reserve_urgent(candidates: &mut [Candidate], accels: u64) {
    if accels == 0 {
        return;
    }
    let mut racks: Map<Option<Arc<str>>, (u64, Vec<usize>)> = Map::default();
    for (num, candidate) in candidates.iter().enumerate() {
        if candidate.free.accels > 0 {
            let rack = racks.entry(candidate.rack.clone()).or_default();
            rack.0 += candidate.free.accels;
            rack.1.push(num);
        }
    }
    let mut racks: Vec<(u64, Option<Arc<str>>, Vec<usize>)> = racks
        .into_iter()
        .map(|(rack, (sum, workers))| (sum, rack, workers))
        .collect();
    racks.sort_by(|a, b| (b.0, &b.1).cmp(&(a.0, &a.1)));
    let mut left = accels;
    for (_, _, mut workers) in racks {
        workers.sort_by_key(|&num| std::cmp::Reverse(candidates[num].free.accels));
        for num in workers {
            if left == 0 {
                return;
            }
            candidates[num].urgent_only = true;
            left = left.saturating_sub(candidates[num].free.accels);
        }
    }
}
