//! Places for all tasks of a gang at once.

use base::Shape;
use base::Spread;

use crate::cells::class;
use crate::cells::starts;
use crate::cells::Mask;
use crate::site::Load;
use crate::site::Place;
use crate::site::Site;
use crate::site::Worker;

/// No cost.
pub fn free_of_cost(_: usize, _: Mask) -> u64 {
    0
}

/// Order of preference: suspicion, cost, class of the cell broken, worker.
type Rank = (u32, u64, u32, usize);

/// A possible place of a task.
type Offer = (Rank, Place);

/// Places for a gang in one failure domain, at least cost, best fit by aligned cell.
/// `room` gives the usable part of a worker with the shape that a task takes on it, if any;
/// `cost` is that of using some of a worker's accelerators.
pub fn place<R, C>(
    site: &Site,
    domain: usize,
    shape: &Shape,
    room: &R,
    cost: &C,
) -> Option<Vec<Place>>
where
    R: Fn(usize) -> Option<(Load, Shape)>,
    C: Fn(usize, Mask) -> u64,
{
    let tasks = shape.tasks as usize;
    let racks = &site.domains[domain].racks;
    let offers = |w: &usize, list: &mut Vec<Offer>| offer(site, *w, tasks, room, cost, list);
    let mut list = Vec::new();
    let mut best = None;
    for rack in racks {
        for w in &rack.workers {
            offers(w, &mut list);
            if shape.spread == Spread::Worker {
                keep(&mut best, &mut list, tasks);
            }
        }
        if shape.spread == Spread::Rack {
            keep(&mut best, &mut list, tasks);
        }
    }
    if shape.spread == Spread::Domain {
        keep(&mut best, &mut list, tasks);
    }
    best.map(|(_, places)| places)
}

/// Order among groups of workers: suspicion, cost, places left over, class of the last cell.
type GroupRank = (u32, u64, usize, u32);

/// Takes the best `tasks` offers out of a group of workers if they beat the best so far.
fn keep(best: &mut Option<(GroupRank, Vec<Place>)>, list: &mut Vec<Offer>, tasks: usize) {
    if list.len() >= tasks {
        let left = list.len() - tasks;
        list.sort_by_key(|(rank, _)| *rank);
        list.truncate(tasks);
        let suspect = list.iter().map(|(rank, _)| rank.0).max();
        let cost = list
            .iter()
            .fold(0, |sum: u64, (rank, _)| sum.saturating_add(rank.1));
        let class = list.last().map_or(0, |(rank, _)| rank.2);
        let rank = (suspect.unwrap_or(0), cost, left, class);
        if best.as_ref().is_none_or(|(old, _)| rank < *old) {
            *best = Some((rank, list.iter().map(|(_, place)| *place).collect()));
        }
    }
    list.clear();
}

fn offer<R, C>(site: &Site, w: usize, tasks: usize, room: &R, cost: &C, list: &mut Vec<Offer>)
where
    R: Fn(usize) -> Option<(Load, Shape)>,
    C: Fn(usize, Mask) -> u64,
{
    let Some((mut left, need)) = room(w) else {
        return;
    };
    let worker = &site.workers[w];
    let mut first = None;
    let mut spent = 0;
    for _ in 0..tasks {
        let Some((cost, fit, place)) = next(worker, w, left, &need, cost) else {
            break;
        };
        left.remove(place.load);
        spent = cost.max(spent);
        let fit = *first.get_or_insert(fit);
        list.push(((worker.suspect, spent, fit, w), place));
    }
}

fn next<C>(
    worker: &Worker,
    w: usize,
    left: Load,
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
        load: worker.load(need, first),
    };
    if count == 0 {
        let fit = total * 1024 + (left.cores - need.cores.0);
        return Some((cost(w, 0), fit, place(0)));
    }
    starts(left.mask, total, count)
        .map(|first| {
            let place = place(first);
            let fit = class(left.mask, total, first, count);
            (cost(w, place.load.mask), fit, place)
        })
        .min_by_key(|(spent, fit, place)| (*spent, *fit, place.first))
}
