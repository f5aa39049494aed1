//! Choice of workers for the tasks of one step.
//!
//! Load pattern: tasks of one to eight accelerators share workers of eight. Small tasks that
//! spread over all workers leave no room for large ones, so each task goes where it leaves the
//! least room behind.

use base::Millis;
use base::ServiceId;
use base::Set;
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
    /// All that it offers.
    pub capacity: Resources,
    /// Room now.
    pub free: Resources,
    /// Room that tasks being stopped will leave.
    pub coming: Resources,
    /// What runs on it: expected time left and what it occupies.
    pub running: Vec<(Millis, Resources)>,
    /// Kept for a large gang that starts after this time; shorter tasks may use it until then.
    pub kept: Option<Millis>,
    /// Whether its free room is kept for urgent jobs.
    pub urgent_only: bool,
    /// How far other workers are preferred to it; 0 for not at all.
    pub slowness: u32,
    /// Whether tasks run on it whose response times have a target.
    pub serves: bool,
}

/// Limits on the choice beside the room.
#[derive(Clone, Copy)]
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
    /// Expected duration of a task.
    pub lasts: Millis,
    /// Whether room that is kept for urgent jobs may be used.
    pub urgent: bool,
    /// The workers to choose from, if not all may be used.
    pub allowed: Option<&'a Set<WorkerId>>,
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
        && limits.allowed.is_none_or(|a| a.contains(&room.id))
}

/// Whether the data of the step, if it names a rack, is near.
pub fn is_near(room: &Room, step: &StepSpec) -> bool {
    let rack = step.data_rack.as_deref();
    rack.is_none_or(|r| room.rack.as_deref() == Some(r))
}

/// The worker on which one task leaves the least room, or `None` if it fits nowhere.
pub fn best_fit(
    rooms: &[Room],
    room_in: &[Resources],
    step: &StepSpec,
    limits: &Limits,
) -> Option<usize> {
    let need = step.occupies();
    let fitting = rooms.iter().enumerate().filter(|(num, room)| {
        let open = room.kept.is_none_or(|until| limits.lasts <= until)
            && (limits.urgent || !room.urgent_only);
        open && room_in[*num].fits(&need) && is_eligible(room, *num, step, limits)
    });
    let best = fitting.min_by_key(|(num, room)| {
        let left = room_in[*num].without(&need);
        let far = !is_near(room, step);
        match step.fills {
            // It lives on what others leave, and disturbs those that serve.
            true => (
                far,
                room.slowness,
                u64::from(room.serves),
                u64::MAX - left.cpu,
            ),
            false => (far, room.slowness, left.accels, left.cpu),
        }
    });
    best.map(|(num, _)| num)
}

/// Workers for `count` more tasks, all or none. Takes the room that it finds.
pub fn place_all(
    rooms: &[Room],
    room_in: &mut [Resources],
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
        let Some(num) = best_fit(rooms, room_in, step, &limits) else {
            for num in chosen {
                let room: &mut Resources = &mut room_in[num];
                *room += need;
            }
            return None;
        };
        room_in[num] -= need;
        on_worker[num] += 1;
        chosen.push(num);
    }
    Some(chosen)
}

/// Workers for a gang: on one rack if it runs best so and a rack can hold it.
pub fn place_gang(
    rooms: &[Room],
    room_in: &mut [Resources],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Vec<usize>> {
    let racks = racks(rooms, room_in, step, limits, count);
    for rack in racks {
        let limits = Limits {
            rack: rack.as_deref(),
            ..*limits
        };
        if let Some(chosen) = place_all(rooms, room_in, step, &limits, count) {
            return Some(chosen);
        }
    }
    None
}

/// The racks that could hold a gang, least room first; no particular one for a gang that does
/// not ask for one rack, or that is larger than any.
pub fn racks(
    rooms: &[Room],
    room_in: &[Resources],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Vec<Option<String>> {
    if !step.one_rack || limits.rack.is_some() {
        return vec![limits.rack.map(str::to_string)];
    }
    let need = step.occupies();
    let most = u64::from(step.per_worker.unwrap_or(u32::MAX));
    let mut found: Vec<(u64, u64, &str)> = Vec::new();
    for (num, room) in rooms.iter().enumerate() {
        let Some(rack) = room.rack.as_deref() else {
            continue;
        };
        if !is_eligible(room, num, step, limits) {
            continue;
        }
        let now = need.copies_in(&room_in[num]).min(most).min(count as u64);
        let ever = need.copies_in(&room.capacity).min(most).min(count as u64);
        match found.iter_mut().find(|(_, _, name)| *name == rack) {
            Some(sums) => {
                sums.0 += now;
                sums.1 += ever;
            }
            None => found.push((now, ever, rack)),
        }
    }
    found.retain(|(_, ever, _)| *ever >= count as u64);
    if found.is_empty() {
        return vec![None];
    }
    found.sort();
    found
        .into_iter()
        .map(|(_, _, rack)| Some(rack.to_string()))
        .collect()
}
