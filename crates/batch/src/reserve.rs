//! Room kept for large gangs.
//!
//! Load pattern: small tasks take every accelerator that comes free, so that a gang of whole
//! workers never finds its room. The workers that come free first are kept for the gang that is
//! next in the order; tasks that end before may still use them.

use base::Millis;

use crate::place::is_eligible;
use crate::place::racks;
use crate::place::Limits;
use crate::place::Room;
use crate::spec::Resources;
use crate::spec::StepSpec;

/// Keeps the rooms on which `count` tasks of a gang can start soonest. Returns the expected time
/// until then, or `None` if the gang does not fit even without what runs.
pub fn keep(rooms: &mut [Room], step: &StepSpec, limits: &Limits, count: usize) -> Option<Millis> {
    let free: Vec<Resources> = rooms.iter().map(|r| r.free).collect();
    let racks = racks(rooms, &free, step, limits, count);
    let soonest = racks.iter().filter_map(|rack| {
        let limits = Limits {
            rack: rack.as_deref(),
            ..*limits
        };
        soonest(rooms, step, &limits, count)
    });
    let (start, chosen) = soonest.min_by_key(|(start, _)| *start)?;
    for num in chosen {
        rooms[num].kept = Some(start);
    }
    Some(start)
}

/// The earliest expected start of a gang, and the rooms that it would use.
fn soonest(
    rooms: &[Room],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<(Millis, Vec<usize>)> {
    let need = step.occupies();
    let most = u64::from(step.per_worker.unwrap_or(u32::MAX));
    // Times at which one more task of the gang fits, with the room.
    let mut slots: Vec<(Millis, usize)> = Vec::new();
    for (num, room) in rooms.iter().enumerate() {
        if room.kept.is_some() || !is_eligible(room, num, step, limits) {
            continue;
        }
        let mut ends = room.running.clone();
        ends.sort_by_key(|(left, _)| *left);
        let mut sum = room.free;
        let mut fitted = need.copies_in(&sum).min(most).min(count as u64);
        slots.extend((0..fitted).map(|_| (Millis::ZERO, num)));
        for (left, used) in ends {
            sum += used;
            let fits = need.copies_in(&sum).min(most).min(count as u64);
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
