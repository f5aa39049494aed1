//! Places for all tasks of a gang at once.

use base::Shape;
use base::Spread;

use crate::blocks::fit_score;
use crate::blocks::free_positions;
use crate::blocks::Mask;
use crate::site::Place;
use crate::site::Resources;
use crate::site::Site;
use crate::site::Worker;

/// No cost.
pub fn zero_cost(_: usize, _: Mask) -> u64 {
    0
}

/// Order of preference: suspicion, cost, class of the cell broken, worker.
type Rank = (u32, u64, u32, usize);

/// A possible place of a task.
type Offer = (Rank, Place);

/// Places for a gang in one failure domain, at least cost, best fit by aligned cell.
/// `room` gives the usable part of a worker with the shape that a task takes on it, if any;
/// `cost` is that of using some of a worker's accelerators.
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
    let add_worker =
        |w: &usize, offers: &mut Vec<Offer>| add_offers(site, *w, tasks, room, cost, offers);
    let mut offers = Vec::new();
    let mut best = None;
    for rack in racks {
        for w in &rack.workers {
            add_worker(w, &mut offers);
            if shape.spread == Spread::Worker {
                keep_best(&mut best, &mut offers, tasks);
            }
        }
        if shape.spread == Spread::Rack {
            keep_best(&mut best, &mut offers, tasks);
        }
    }
    if shape.spread == Spread::Domain {
        keep_best(&mut best, &mut offers, tasks);
    }
    best.map(|(_, places)| places)
}

/// Order among groups of workers: suspicion, cost, places left over, class of the last cell.
type GroupRank = (u32, u64, usize, u32);

/// Takes the best `tasks` offers out of a group of workers if they beat the best so far.
fn keep_best(best: &mut Option<(GroupRank, Vec<Place>)>, offers: &mut Vec<Offer>, tasks: usize) {
    if offers.len() >= tasks {
        let left = offers.len() - tasks;
        offers.sort_by_key(|(rank, _)| *rank);
        offers.truncate(tasks);
        let recent_failures = offers.iter().map(|(rank, _)| rank.0).max();
        let cost = offers
            .iter()
            .fold(0, |sum: u64, (rank, _)| sum.saturating_add(rank.1));
        let worst_fit = offers.last().map_or(0, |(rank, _)| rank.2);
        let rank = (recent_failures.unwrap_or(0), cost, left, worst_fit);
        if best.as_ref().is_none_or(|(old, _)| rank < *old) {
            *best = Some((rank, offers.iter().map(|(_, place)| *place).collect()));
        }
    }
    offers.clear();
}

fn add_offers<R, C>(
    site: &Site,
    w: usize,
    tasks: usize,
    room: &R,
    cost: &C,
    offers: &mut Vec<Offer>,
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
        let Some((cost, fit, place)) = best_offer(worker, w, left, &need, cost) else {
            break;
        };
        left.remove(place.resources);
        max_cost = cost.max(max_cost);
        let fit = *first_fit.get_or_insert(fit);
        offers.push(((worker.recent_failures, max_cost, fit, w), place));
    }
}

fn best_offer<C>(
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
