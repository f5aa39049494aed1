//! Choice of workers for the tasks of one step.
//!
//! Load pattern: tasks of one to eight accelerators share workers of eight. Small tasks that
//! spread over all workers leave no room for large ones, so each task goes where it leaves the
//! least room behind.

use base::ServiceId;
use base::WorkerId;

use crate::spec::Resources;
use crate::spec::StepSpec;

/// A worker that may take tasks.
#[derive(Clone, Debug)]
pub struct Room {
    /// The worker.
    pub id: WorkerId,
    /// Its pool.
    pub pool: ServiceId,
    /// Its labels.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: Option<String>,
    /// Room now.
    pub free: Resources,
    /// Room that tasks being stopped will leave.
    pub coming: Resources,
}

/// Limits on the choice beside the room.
pub struct Limits<'a> {
    /// The pool to choose from.
    pub pool: &'a ServiceId,
    /// Workers on which the task has failed.
    pub avoid: &'a [WorkerId],
    /// Tasks of the step on each worker, by the worker's place in the list.
    pub on_worker: &'a [u32],
    /// Whether a worker away from the data may be chosen.
    pub remote: bool,
    /// The one rack to use.
    pub rack: Option<&'a str>,
}

/// Whether a worker may run a task of the step, room aside.
pub fn is_eligible(room: &Room, num: usize, step: &StepSpec, limits: &Limits) -> bool {
    let labelled = step.label.as_ref().is_none_or(|l| room.labels.contains(l));
    let in_rack = limits.rack.is_none_or(|r| room.rack.as_deref() == Some(r));
    let near = limits.remote || is_near(room, step);
    let below = step
        .per_worker
        .is_none_or(|most| limits.on_worker[num] < most);
    room.pool == *limits.pool
        && labelled
        && in_rack
        && near
        && below
        && !limits.avoid.contains(&room.id)
}

/// Whether the data of the step, if it names a rack, is near.
pub fn is_near(room: &Room, step: &StepSpec) -> bool {
    let rack = step.data_rack.as_deref();
    rack.is_none_or(|r| room.rack.as_deref() == Some(r))
}

/// The worker on which one task leaves the least room, or `None` if it fits nowhere.
pub fn best_fit(rooms: &[Room], step: &StepSpec, limits: &Limits) -> Option<usize> {
    let need = step.occupies();
    let fitting = rooms
        .iter()
        .enumerate()
        .filter(|(num, room)| room.free.fits(&need) && is_eligible(room, *num, step, limits));
    let best = fitting.min_by_key(|(_, room)| {
        let left = room.free.without(&need);
        (!is_near(room, step), left.accels, left.cpu)
    });
    best.map(|(num, _)| num)
}

/// Workers for `count` more tasks of a gang, all or none. Takes the room that it finds.
pub fn place_all(
    rooms: &mut [Room],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Vec<usize>> {
    let need = step.occupies();
    let mut on_worker = limits.on_worker.to_vec();
    let mut chosen = Vec::with_capacity(count);
    for _ in 0..count {
        let limits = Limits {
            on_worker: &on_worker,
            ..*limits
        };
        let Some(num) = best_fit(rooms, step, &limits) else {
            for num in chosen {
                let room: &mut Room = &mut rooms[num];
                room.free += need;
            }
            return None;
        };
        rooms[num].free -= need;
        on_worker[num] += 1;
        chosen.push(num);
    }
    Some(chosen)
}

/// Workers for a gang that runs best on one rack: the rack with the least room that suffices.
pub fn place_in_rack(
    rooms: &mut [Room],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Vec<usize>> {
    let need = step.occupies();
    let mut racks: Vec<(u64, String)> = Vec::new();
    for (num, room) in rooms.iter().enumerate() {
        let Some(rack) = &room.rack else { continue };
        if !is_eligible(room, num, step, limits) {
            continue;
        }
        let copies = need.copies_in(&room.free);
        match racks.iter_mut().find(|(_, name)| name == rack) {
            Some((sum, _)) => *sum = sum.saturating_add(copies),
            None => racks.push((copies, rack.clone())),
        }
    }
    racks.sort();
    let fitting = racks.into_iter().filter(|(sum, _)| *sum >= count as u64);
    for (_, rack) in fitting {
        let limits = Limits {
            rack: Some(&rack),
            ..*limits
        };
        if let Some(chosen) = place_all(rooms, step, &limits, count) {
            return Some(chosen);
        }
    }
    None
}
