//! Placement of the tasks of one step on workers.
//!
//! Load pattern: tasks of one to eight accelerators share workers of eight. Small tasks that are
//! spread over all workers leave no room for large ones, so placement is best-fit: each task goes
//! to the worker on which it leaves the least free.

use std::sync::Arc;

use base::Map;
use base::Millis;
use base::ServiceId;
use base::Set;
use base::WorkerId;

use crate::preempt::VictimKind;
use crate::spec::Resources;
use crate::spec::StepSpec;
use crate::speed::Speed;
use crate::suit::above;
use crate::suit::floors;
use crate::suit::SpeedNeed;

/// A worker that tasks may be placed on. The functions here refer to it by its index in a list.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the worker.
    pub id: WorkerId,
    /// The pool that it is in.
    pub pool: ServiceId,
    /// Labels that a step can ask for.
    pub labels: Arc<[String]>,
    /// The rack that it is in, if known.
    pub rack: Option<Arc<str>>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources that no run occupies.
    pub free: Resources,
    /// Resources that the runs being stopped occupy.
    pub releasing: Resources,
    /// By how much all runs on it exceed its capacity, which has shrunk under them.
    pub excess: Resources,
    /// Expected remaining time and resources of each run on it.
    pub running: Vec<(Millis, Resources)>,
    /// Set if it is reserved for a gang that is expected to start after this time. Tasks that end
    /// before then may still use it.
    pub reserved_until: Option<Millis>,
    /// Whether its free resources are kept for urgent jobs.
    pub urgent_only: bool,
    /// Penalty in the choice between workers; those with a lower one are preferred.
    pub penalty: u32,
    /// Whether it is paused after failures.
    pub paused: bool,
    /// Whether a serving task runs on it.
    pub has_serving: bool,
    /// Its speed; while that is not known, one that most workers of its pool reach.
    pub speed: Speed,
    /// Whether its speed is known, or all workers of its pool are alike.
    pub known: bool,
    /// Number of open runs.
    pub runs: u32,
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
    /// Whether resources kept for urgent jobs may be used.
    pub uses_headroom: bool,
    /// Whether paused workers may be used.
    pub paused: bool,
    /// Whether workers that are reserved for a gang may be used, however long the task takes.
    pub reserved: bool,
    /// The last kind of work that may be stopped for the step.
    pub displaces: VictimKind,
    /// The only workers allowed; `None` allows all.
    pub allowed: Option<&'a Set<WorkerId>>,
    /// What the step asks of the speed of its workers.
    pub speed: SpeedNeed,
}

/// Whether a worker meets the step's constraints, its free resources aside.
pub fn is_eligible(candidate: &Candidate, num: usize, step: &StepSpec, limits: &Limits) -> bool {
    candidate.pool == *limits.pool && is_eligible_in_pool(candidate, num, step, limits)
}

fn is_eligible_in_pool(
    candidate: &Candidate,
    num: usize,
    step: &StepSpec,
    limits: &Limits,
) -> bool {
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
    let rested = limits.paused || !candidate.paused;
    labelled
        && rested
        && in_rack
        && near
        && below
        && !limits.avoid.contains(&candidate.id)
        && limits.allowed.is_none_or(|a| a.contains(&candidate.id))
}

/// Whether the worker is on the rack of the step's data. True if the step names no rack.
pub fn is_near(candidate: &Candidate, step: &StepSpec) -> bool {
    on_rack(candidate.rack.as_deref(), step)
}

/// Whether a worker on this rack is on that of the step's data.
pub(crate) fn on_rack(rack: Option<&str>, step: &StepSpec) -> bool {
    step.data_rack.as_deref().is_none_or(|r| rack == Some(r))
}

/// Workers on which a step may be placed, by index, whatever they have free.
pub fn eligible(candidates: &[Candidate], step: &StepSpec, limits: &Limits) -> Vec<usize> {
    let all = candidates.iter().enumerate();
    all.filter(|(num, candidate)| is_eligible(candidate, *num, step, limits))
        .map(|(num, _)| num)
        .collect()
}

/// [`eligible`] among the workers of the step's pool.
pub(crate) fn eligible_among(
    pool: &[usize],
    candidates: &[Candidate],
    step: &StepSpec,
    limits: &Limits,
) -> Vec<usize> {
    let all = pool.iter().copied();
    all.filter(|&num| is_eligible_in_pool(&candidates[num], num, step, limits))
        .collect()
}

/// The worker on which a task leaves the least free, or `None` if it fits on none.
pub fn best_fit(
    candidates: &[Candidate],
    available: &[Resources],
    step: &StepSpec,
    limits: &Limits,
) -> Option<usize> {
    let among = eligible(candidates, step, limits);
    best_among(&among, candidates, available, step, limits)
}

/// [`best_fit`] among workers that are eligible apart from `avoid` and the number of the step's tasks
/// on each.
pub(crate) fn best_among(
    among: &[usize],
    candidates: &[Candidate],
    available: &[Resources],
    step: &StepSpec,
    limits: &Limits,
) -> Option<usize> {
    let need = step.occupies();
    let most = step.per_worker.unwrap_or(u32::MAX);
    let fitting = among.iter().filter(|&&num| {
        let candidate = &candidates[num];
        let ends_before = |until: Millis| limits.duration <= until;
        let open = (limits.reserved || candidate.reserved_until.is_none_or(ends_before))
            && (limits.uses_headroom || !candidate.urgent_only);
        open && available[num].fits(&need)
            && limits.on_worker[num] < most
            && !limits.avoid.contains(&candidate.id)
    });
    let best = fitting.min_by_key(|&&num| {
        let candidate = &candidates[num];
        let left = available[num].saturating_sub(&need);
        let far = !is_near(candidate, step);
        match step.fills {
            // A best-effort task uses idle processor time and disturbs serving tasks, so it goes
            // where there is most of the former and none of the latter.
            true => (
                far,
                candidate.penalty,
                (0, 0, false),
                u64::from(candidate.has_serving),
                u64::MAX - left.cpu,
            ),
            false => (
                far,
                candidate.penalty,
                limits.speed.preference(candidate),
                left.accels,
                left.cpu,
            ),
        }
    });
    best.copied()
}

/// Workers for `count` more tasks, all or none. Deducts what they occupy from `available`.
pub fn place_all(
    candidates: &[Candidate],
    available: &mut [Resources],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Vec<usize>> {
    let among = eligible(candidates, step, limits);
    place_among(&among, candidates, available, step, limits, count)
}

/// [`place_all`] among eligible workers.
fn place_among(
    among: &[usize],
    candidates: &[Candidate],
    available: &mut [Resources],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Vec<usize>> {
    let need = step.occupies();
    let room = among.iter().map(|&num| need.count_fitting(&available[num]));
    if room.fold(0, u64::saturating_add) < count as u64 {
        return None;
    }
    let mut on_worker = limits.on_worker.to_vec();
    let mut chosen = Vec::with_capacity(count);
    for _ in 0..count {
        let limits = Limits {
            on_worker: &on_worker,
            ..*limits
        };
        let Some(num) = best_among(among, candidates, available, step, &limits) else {
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
    let among = eligible(candidates, step, limits);
    place_gang_among(&among, candidates, available, step, limits, count)
}

/// [`place_gang`] among eligible workers.
pub(crate) fn place_gang_among(
    among: &[usize],
    candidates: &[Candidate],
    available: &mut [Resources],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Vec<usize>> {
    let lowest = among.iter().map(|&num| candidates[num].penalty).min()?;
    let preferred: Vec<usize> = among
        .iter()
        .copied()
        .filter(|&num| candidates[num].penalty == lowest)
        .collect();
    // A single member on a worker that fails breaks the whole gang, so a rack of preferred workers
    // comes before a fuller one.
    let groups = match preferred.len() < among.len() {
        true => vec![preferred, among.to_vec()],
        false => vec![preferred],
    };
    groups.iter().find_map(|group| {
        let racks = racks(group, candidates, available, step, limits, count);
        place_by_speed(&racks, candidates, available, step, limits, count)
    })
}

/// Workers for a gang on one of these racks. It is as fast as its slowest member, so it gets workers
/// that are fast enough, or else those of which the slowest is as fast as possible.
fn place_by_speed(
    racks: &[Vec<usize>],
    candidates: &[Candidate],
    available: &mut [Resources],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Vec<usize>> {
    let all: Vec<usize> = racks.iter().flatten().copied().collect();
    let floors = floors(&all, candidates, &limits.speed);
    floors.into_iter().find_map(|floor| {
        racks.iter().find_map(|rack| {
            let part = above(rack, candidates, &limits.speed, floor);
            place_among(&part, candidates, available, step, limits, count)
        })
    })
}

/// The groups of eligible workers that could hold a gang: its racks, those with the least free
/// first, or all workers together for a gang that does not ask for one rack or is larger than every
/// rack.
pub fn racks(
    among: &[usize],
    candidates: &[Candidate],
    available: &[Resources],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Vec<Vec<usize>> {
    if !step.one_rack || limits.rack.is_some() {
        return vec![among.to_vec()];
    }
    let need = step.occupies();
    let most = u64::from(step.per_worker.unwrap_or(u32::MAX)).min(count as u64);
    let mut found: Map<&str, (u64, u64, Vec<usize>)> = Map::default();
    for &num in among {
        let candidate = &candidates[num];
        let Some(rack) = candidate.rack.as_deref() else {
            continue;
        };
        let sums = found.entry(rack).or_default();
        sums.0 += need.count_fitting(&available[num]).min(most);
        sums.1 += need.count_fitting(&candidate.capacity).min(most);
        sums.2.push(num);
    }
    let fitting = found.into_iter().filter(|(_, sums)| sums.1 >= count as u64);
    let mut fitting: Vec<(u64, u64, &str, Vec<usize>)> = fitting
        .map(|(rack, (now, empty, workers))| (now, empty, rack, workers))
        .collect();
    if fitting.is_empty() {
        return vec![among.to_vec()];
    }
    fitting.sort();
    fitting.into_iter().map(|(.., workers)| workers).collect()
}
