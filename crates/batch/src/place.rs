//! Placement of the tasks of one step on workers.
//!
//! Load pattern: tasks of one to eight accelerators share workers of eight. Small tasks that are
//! spread over all workers leave no room for large ones, so placement is best-fit: each task goes
//! to the worker on which it leaves the least free.

use base::Millis;
use base::ServiceId;
use base::Set;
use base::WorkerId;

use crate::spec::Resources;
use crate::spec::StepSpec;

/// A worker that tasks may be placed on. The functions here refer to it by its index in a list.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the worker.
    pub id: WorkerId,
    /// The pool that it is in.
    pub pool: ServiceId,
    /// Labels that a step can ask for.
    pub labels: Vec<String>,
    /// The rack that it is in, if known.
    pub rack: Option<String>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources that no run occupies.
    pub free: Resources,
    /// Resources that will be free once the runs being stopped have ended.
    pub releasing: Resources,
    /// Expected remaining time and resources of each run on it.
    pub running: Vec<(Millis, Resources)>,
    /// Set if it is reserved for a gang that is expected to start after this time. Tasks that end
    /// before then may still use it.
    pub reserved_until: Option<Millis>,
    /// Whether its free resources are reserved for urgent jobs.
    pub urgent_only: bool,
    /// Penalty in the choice between workers; those with a lower one are preferred.
    pub penalty: u32,
    /// Whether a serving task runs on it.
    pub has_serving: bool,
}

/// Constraints on the placement beside the free resources.
#[derive(Clone, Copy)]
pub struct Limits<'a> {
    /// The pool to choose from.
    pub pool: &'a ServiceId,
    /// Workers on which the task has failed.
    pub avoid: &'a [WorkerId],
    /// Number of tasks of the step on each worker, by the worker's index.
    pub on_worker: &'a [u32],
    /// Whether workers on a rack other than that of the data are allowed.
    pub remote: bool,
    /// The only rack allowed; `None` allows all.
    pub rack: Option<&'a str>,
    /// Expected duration of a task.
    pub duration: Millis,
    /// Whether resources reserved for urgent jobs may be used.
    pub urgent: bool,
    /// The only workers allowed; `None` allows all.
    pub allowed: Option<&'a Set<WorkerId>>,
}

/// Whether a worker meets the step's constraints, its free resources aside.
pub fn is_eligible(candidate: &Candidate, num: usize, step: &StepSpec, limits: &Limits) -> bool {
    let labelled = step
        .label
        .as_ref()
        .is_none_or(|l| candidate.labels.contains(l));
    let in_rack = limits
        .rack
        .is_none_or(|r| candidate.rack.as_deref() == Some(r));
    let near = limits.remote || is_near(candidate, step);
    let below = step
        .per_worker
        .is_none_or(|most| limits.on_worker[num] < most);
    candidate.pool == *limits.pool
        && labelled
        && in_rack
        && near
        && below
        && !limits.avoid.contains(&candidate.id)
        && limits.allowed.is_none_or(|a| a.contains(&candidate.id))
}

/// Whether the worker is on the rack of the step's data. True if the step names no rack.
pub fn is_near(candidate: &Candidate, step: &StepSpec) -> bool {
    let rack = step.data_rack.as_deref();
    rack.is_none_or(|r| candidate.rack.as_deref() == Some(r))
}

/// The worker on which a task leaves the least free, or `None` if it fits on none.
pub fn best_fit(
    candidates: &[Candidate],
    available: &[Resources],
    step: &StepSpec,
    limits: &Limits,
) -> Option<usize> {
    let need = step.occupies();
    let fitting = candidates.iter().enumerate().filter(|(num, candidate)| {
        let open = candidate
            .reserved_until
            .is_none_or(|until| limits.duration <= until)
            && (limits.urgent || !candidate.urgent_only);
        open && available[*num].fits(&need) && is_eligible(candidate, *num, step, limits)
    });
    let best = fitting.min_by_key(|(num, candidate)| {
        let left = available[*num].saturating_sub(&need);
        let far = !is_near(candidate, step);
        match step.fills {
            // A best-effort task uses idle processor time and disturbs serving tasks, so it goes
            // where there is most of the former and none of the latter.
            true => (
                far,
                candidate.penalty,
                u64::from(candidate.has_serving),
                u64::MAX - left.cpu,
            ),
            false => (far, candidate.penalty, left.accels, left.cpu),
        }
    });
    best.map(|(num, _)| num)
}

/// Workers for `count` more tasks, all or none. Deducts what they occupy from `available`.
pub fn place_all(
    candidates: &[Candidate],
    available: &mut [Resources],
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
        let Some(num) = best_fit(candidates, available, step, &limits) else {
            for num in chosen {
                let free: &mut Resources = &mut available[num];
                *free += need;
            }
            return None;
        };
        available[num] -= need;
        on_worker[num] += 1;
        chosen.push(num);
    }
    Some(chosen)
}

/// Workers for a gang. One that asks for one rack is placed on a single rack if any rack could hold
/// it.
pub fn place_gang(
    candidates: &[Candidate],
    available: &mut [Resources],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Vec<usize>> {
    let racks = racks(candidates, available, step, limits, count);
    for rack in racks {
        let limits = Limits {
            rack: rack.as_deref(),
            ..*limits
        };
        if let Some(chosen) = place_all(candidates, available, step, &limits, count) {
            return Some(chosen);
        }
    }
    None
}

/// The racks that could hold a gang, those with the least free first. The result is a single `None`
/// (any rack) for a gang that does not ask for one rack or is larger than every rack.
pub fn racks(
    candidates: &[Candidate],
    available: &[Resources],
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
    for (num, candidate) in candidates.iter().enumerate() {
        let Some(rack) = candidate.rack.as_deref() else {
            continue;
        };
        if !is_eligible(candidate, num, step, limits) {
            continue;
        }
        let fits_now = need
            .count_fitting(&available[num])
            .min(most)
            .min(count as u64);
        let fits_empty = need
            .count_fitting(&candidate.capacity)
            .min(most)
            .min(count as u64);
        match found.iter_mut().find(|(_, _, name)| *name == rack) {
            Some(sums) => {
                sums.0 += fits_now;
                sums.1 += fits_empty;
            }
            None => found.push((fits_now, fits_empty, rack)),
        }
    }
    found.retain(|(_, fits_empty, _)| *fits_empty >= count as u64);
    if found.is_empty() {
        return vec![None];
    }
    found.sort();
    found
        .into_iter()
        .map(|(_, _, rack)| Some(rack.to_string()))
        .collect()
}
