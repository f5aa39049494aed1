//! Search for the places of all tasks of a gang.

use base::Shape;
use base::Spread;

use crate::blocks::fit_score;
use crate::blocks::free_positions;
use crate::blocks::Mask;
use crate::site::Place;
use crate::site::Resources;
use crate::site::Site;
use crate::site::Worker;

/// Cost function for searches in which all usable resources cost the same.
pub fn zero_cost(_: usize, _: Mask) -> u64 {
    0
}

/// Sort key of a place: the worker's recent failures, cost, fit score, worker index.
type Rank = (u32, u64, u32, usize);

/// Candidate place of one task.
type Candidate = (Rank, Place);

/// Places for a gang in one failure domain, by the worker's recent failures, then cost, then
/// best fit.
///
/// `room` returns the usable resources of a worker and the shape that a task has on it, or none
/// if the worker is excluded. `cost` is the cost of taking some of a worker's accelerators.
pub fn find_places<R, C>(
    site: &Site,
    domain: usize,
    shape: &Shape,
    room: &R,
    cost: &C,
) -> Option<Vec<Place>>
where
    R: Fn(usize) -> Option<(Resources, Shape)>,
    C: Fn(usize, Mask) -> u64,
{
    let tasks = shape.tasks as usize;
    let racks = &site.domains[domain].racks;
    let add_worker = |w: &usize, candidates: &mut Vec<Candidate>| {
        add_candidates(site, *w, tasks, room, cost, candidates)
    };
    let mut candidates = Vec::new();
    let mut best = None;
    for rack in racks {
        for w in &rack.workers {
            add_worker(w, &mut candidates);
            if shape.spread == Spread::Worker {
                keep_best(&mut best, &mut candidates, tasks);
            }
        }
        if shape.spread == Spread::Rack {
            keep_best(&mut best, &mut candidates, tasks);
        }
    }
    if shape.spread == Spread::Domain {
        keep_best(&mut best, &mut candidates, tasks);
    }
    best.map(|(_, places)| places)
}

/// Sort key of a group of workers: recent failures, total cost, unused candidates, worst fit
/// score.
type GroupRank = (u32, u64, usize, u32);

/// Replaces `best` by the best `tasks` candidates of a group of workers if they rank before it,
/// and empties the list.
fn keep_best(
    best: &mut Option<(GroupRank, Vec<Place>)>,
    candidates: &mut Vec<Candidate>,
    tasks: usize,
) {
    if candidates.len() >= tasks {
        let left = candidates.len() - tasks;
        candidates.sort_by_key(|(rank, _)| *rank);
        candidates.truncate(tasks);
        let recent_failures = candidates.iter().map(|(rank, _)| rank.0).max();
        let cost = candidates
            .iter()
            .fold(0, |sum: u64, (rank, _)| sum.saturating_add(rank.1));
        let worst_fit = candidates.last().map_or(0, |(rank, _)| rank.2);
        let rank = (recent_failures.unwrap_or(0), cost, left, worst_fit);
        if best.as_ref().is_none_or(|(old, _)| rank < *old) {
            *best = Some((rank, candidates.iter().map(|(_, place)| *place).collect()));
        }
    }
    candidates.clear();
}

fn add_candidates<R, C>(
    site: &Site,
    w: usize,
    tasks: usize,
    room: &R,
    cost: &C,
    candidates: &mut Vec<Candidate>,
) where
    R: Fn(usize) -> Option<(Resources, Shape)>,
    C: Fn(usize, Mask) -> u64,
{
    let Some((mut left, need)) = room(w) else {
        return;
    };
    let worker = &site.workers[w];
    let mut first_fit = None;
    let mut max_cost = 0;
    for _ in 0..tasks {
        let Some((cost, fit, place)) = best_candidate(worker, w, left, &need, cost) else {
            break;
        };
        left.remove(place.resources);
        max_cost = cost.max(max_cost);
        let fit = *first_fit.get_or_insert(fit);
        candidates.push(((worker.recent_failures, max_cost, fit, w), place));
    }
}

fn best_candidate<C>(
    worker: &Worker,
    w: usize,
    left: Resources,
    need: &Shape,
    cost: &C,
) -> Option<(u64, u32, Place)>
where
    C: Fn(usize, Mask) -> u64,
{
    if left.cores < need.cores.0 || left.memory < need.memory.0 {
        return None;
    }
    let count = need.accels.0;
    let total = worker.spec.accels.0;
    let place = |first| Place {
        worker: w,
        first,
        resources: worker.task_resources(need, first),
    };
    if count == 0 {
        let fit = total * 1024 + (left.cores - need.cores.0);
        return Some((cost(w, 0), fit, place(0)));
    }
    free_positions(left.mask, total, count)
        .map(|first| {
            let place = place(first);
            let fit = fit_score(left.mask, total, first, count);
            (cost(w, place.resources.mask), fit, place)
        })
        .min_by_key(|(max_cost, fit, place)| (*max_cost, *fit, place.first))
}
