//! Reservation of resources for large gangs.
//!
//! Load pattern of large gangs: small tasks take every accelerator as it becomes free, so a gang
//! that needs whole workers never gets them. The workers that become free first are reserved for
//! the gang that is next in the ranking; tasks that end before its expected start may still use
//! them.

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
