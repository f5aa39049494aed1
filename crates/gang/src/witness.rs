//! A standing assignment of all guaranteed gangs to cells, at the same time and disjoint.

use std::collections::BTreeSet;

use base::Findings;
use base::OrgId;
use base::Shape;
use base::Spread;
use base::WorkerSpec;

use crate::cells::Mask;
use crate::policy::Guarantee;
use crate::search::place;
use crate::site::Footing;
use crate::site::Key;
use crate::site::Load;
use crate::site::Place;
use crate::site::Site;

/// One guaranteed gang.
#[derive(Clone, Debug)]
pub struct Unit {
    /// Index in the policy's guarantees.
    pub guarantee: usize,
    /// The organisation.
    pub org: OrgId,
    /// Index of the failure domain.
    pub domain: usize,
    /// The shape.
    pub shape: Shape,
    /// Its cells; none while it is short.
    pub places: Option<Vec<Place>>,
    /// Jobs that run or wait on these cells. The cells stay while there is one.
    pub jobs: BTreeSet<Key>,
}

impl Unit {
    /// Whether it can be assigned to other cells.
    pub fn is_movable(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Its part of a worker.
    pub fn part(&self, worker: usize) -> Load {
        let mut sum = Load::default();
        let places = self.places.iter().flatten();
        for place in places.filter(|p| p.worker == worker) {
            sum.add(place.load);
        }
        sum
    }

    /// Whether a gang of this shape may fit into the cells.
    pub fn holds(&self, shape: &Shape) -> bool {
        let each = shape.accels.0.max(1);
        let slots = self.shape.accels.0 / each * self.shape.tasks;
        shape.accels <= self.shape.accels && shape.tasks <= slots
    }

    fn touches(&self, place: &Place) -> bool {
        let places = self.places.iter().flatten();
        places
            .filter(|p| p.worker == place.worker)
            .any(|p| p.load.mask & place.load.mask != 0)
    }
}

/// The cells of every guaranteed gang, as settings checks report them.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Index of the guarantee and its cells: worker, first accelerator, for each task.
    pub gangs: Vec<(usize, Vec<(base::WorkerId, u32)>)>,
}

/// Finds cells for all guarantees at once with all workers free. The search is greedy: it can
/// miss an assignment, but what it returns is one. The findings name each short guarantee.
pub fn find_witness(workers: &[WorkerSpec], guarantees: &[Guarantee]) -> Result<Witness, Findings> {
    let mut site = Site::default();
    for spec in workers {
        site.add(spec.clone());
    }
    let mut book = Book::default();
    for unit in units(&mut site, guarantees) {
        book.units.push(unit);
    }
    book.settle(&mut site);
    let mut found = Findings::new();
    for (i, missing) in book.missing(guarantees.len()).into_iter().enumerate() {
        if missing > 0 {
            add_finding(&mut found, i, &guarantees[i], missing);
        }
    }
    let id = |p: &Place| (site.workers[p.worker].spec.id.clone(), p.first);
    let cells = |u: &Unit| u.places.iter().flatten().map(id).collect();
    let gangs = book.units.iter().map(|u| (u.guarantee, cells(u))).collect();
    found.into_result(Witness { gangs })
}

fn add_finding(found: &mut Findings, i: usize, guarantee: &Guarantee, missing: u32) {
    let problem = format!(
        "organisation {} in {} is short of {missing} of {} gangs of {} x {} accelerators",
        guarantee.org,
        guarantee.domain,
        guarantee.count,
        guarantee.shape.tasks,
        guarantee.shape.accels,
    );
    let remedy = "lower a guarantee of this failure domain or add workers";
    found.add(format!("guarantees[{i}]"), problem, remedy);
}

/// The gangs of all guarantees, without cells.
pub fn units(site: &mut Site, guarantees: &[Guarantee]) -> Vec<Unit> {
    let mut list = Vec::new();
    for (i, guarantee) in guarantees.iter().enumerate() {
        let unit = Unit {
            guarantee: i,
            org: guarantee.org.clone(),
            domain: site.domain(&guarantee.domain),
            shape: guarantee.shape,
            places: None,
            jobs: BTreeSet::new(),
        };
        list.extend((0..guarantee.count).map(|_| unit.clone()));
    }
    list
}

/// All guaranteed gangs and their cells.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// The gangs.
    pub units: Vec<Unit>,
}

impl Book {
    /// Assigns cells to a gang.
    pub fn put(&mut self, site: &mut Site, unit: usize, places: Vec<Place>) {
        for place in &places {
            site.workers[place.worker].owed.add(place.load);
        }
        self.units[unit].places = Some(places);
    }

    /// Takes a gang's cells away and returns them.
    pub fn lift(&mut self, site: &mut Site, unit: usize) -> Option<Vec<Place>> {
        let places = self.units[unit].places.take()?;
        for place in &places {
            site.workers[place.worker].owed.remove(place.load);
        }
        Some(places)
    }

    /// Cells for a gang that has none, at least cost.
    pub fn seek<C>(&self, site: &Site, unit: usize, cost: &C) -> Option<Vec<Place>>
    where
        C: Fn(usize, Mask) -> u64,
    {
        let unit = &self.units[unit];
        if site.domains[unit.domain].out {
            return None;
        }
        let room = |w: usize| claimable(site, w, &unit.shape);
        place(site, unit.domain, &unit.shape, &room, cost)
    }

    /// Indexes of movable gangs whose cells overlap `places`; none if an immovable one does.
    pub fn hit(&self, places: &[Place], except: Option<usize>) -> Option<Vec<usize>> {
        let mut list = Vec::new();
        for (i, unit) in self.units.iter().enumerate() {
            if Some(i) == except || !places.iter().any(|p| unit.touches(p)) {
                continue;
            }
            if !unit.is_movable() {
                return None;
            }
            list.push(i);
        }
        Some(list)
    }

    /// Takes the cells of movable gangs for something else, described by `take`, and assigns
    /// others to them. Nothing changes when that is not possible.
    pub fn yield_cells(&mut self, site: &mut Site, hit: &[usize], take: &[Place]) -> bool {
        let old: Vec<_> = hit.iter().map(|&i| (i, self.lift(site, i))).collect();
        if !fits(site, take) {
            self.restore(site, old);
            return false;
        }
        occupy(site, take, true);
        let done = hit.iter().all(|&i| self.replace(site, i));
        occupy(site, take, false);
        if !done {
            self.restore(site, old);
            return false;
        }
        true
    }

    /// The cells of all gangs.
    pub fn save(&self) -> Vec<Option<Vec<Place>>> {
        self.units.iter().map(|u| u.places.clone()).collect()
    }

    /// Gives all gangs the cells that they had.
    pub fn rollback(&mut self, site: &mut Site, old: Vec<Option<Vec<Place>>>) {
        self.restore(site, old.into_iter().enumerate().collect());
    }

    fn replace(&mut self, site: &mut Site, unit: usize) -> bool {
        let Some(places) = self.seek(site, unit, &|_, _| 0) else {
            return false;
        };
        self.put(site, unit, places);
        true
    }

    fn restore(&mut self, site: &mut Site, old: Vec<(usize, Option<Vec<Place>>)>) {
        for (unit, _) in &old {
            self.lift(site, *unit);
        }
        for (unit, places) in old {
            if let Some(places) = places {
                self.put(site, unit, places);
            }
        }
    }

    /// Assigns cells to gangs that have none, moving other gangs' cells where that helps.
    pub fn settle(&mut self, site: &mut Site) {
        if self.fill(site, &self.by_size(|u| u.places.is_none())) {
            return;
        }
        let movable = self.by_size(Unit::is_movable);
        let mut policy_order = movable.clone();
        policy_order.sort_unstable();
        for order in [movable, policy_order] {
            self.repack(site, &order);
        }
    }

    /// Assigns all given gangs anew, unless more would be short then.
    fn repack(&mut self, site: &mut Site, order: &[usize]) {
        let before = self.short();
        if before == 0 {
            return;
        }
        let old: Vec<_> = order.iter().map(|&i| (i, self.lift(site, i))).collect();
        self.fill(site, order);
        if self.short() >= before {
            self.restore(site, old);
        }
    }

    /// Whether the guarantees of a domain can be met on an empty site beside unstoppable work
    /// as well as without it.
    pub fn stands_beside(&self, empty: &Site, domain: usize, work: &[Place]) -> bool {
        let short = |work: &[Place]| {
            let mut site = empty.clone();
            site.seat(0, work, Footing::Fixed);
            let here = self.units.iter().filter(|u| u.domain == domain);
            let mut book = Book {
                units: here.cloned().collect(),
            };
            for unit in &mut book.units {
                unit.places = None;
                unit.jobs.clear();
            }
            book.settle(&mut site);
            book.short()
        };
        short(work) <= short(&[])
    }

    fn fill(&mut self, site: &mut Site, order: &[usize]) -> bool {
        let mut done = true;
        for &i in order {
            done &= self.replace(site, i);
        }
        done
    }

    fn by_size(&self, keep: impl Fn(&Unit) -> bool) -> Vec<usize> {
        let mut list: Vec<usize> = (0..self.units.len()).collect();
        list.retain(|&i| keep(&self.units[i]));
        list.sort_by_key(|&i| {
            let shape = &self.units[i].shape;
            let narrow = match shape.spread {
                Spread::Worker => 0,
                Spread::Rack => 1,
                Spread::Domain => 2,
            };
            let accels = shape.accels.0;
            (
                std::cmp::Reverse(accels),
                narrow,
                std::cmp::Reverse(shape.tasks),
                i,
            )
        });
        list
    }

    fn short(&self) -> usize {
        self.units.iter().filter(|u| u.places.is_none()).count()
    }

    /// Gangs without cells for each of `count` guarantees.
    pub fn missing(&self, count: usize) -> Vec<u32> {
        let mut list = vec![0; count];
        for unit in self.units.iter().filter(|u| u.places.is_none()) {
            list[unit.guarantee] += 1;
        }
        list
    }
}

/// The part of a worker that a guarantee without cells may be assigned.
pub fn claimable(site: &Site, w: usize, shape: &Shape) -> Option<(Load, Shape)> {
    let worker = &site.workers[w];
    if !worker.is_open() {
        return None;
    }
    let room = worker.all().without(worker.fixed).without(worker.owed);
    Some((room, worker.share(shape)))
}

/// Whether places fit beside what cannot be moved.
fn fits(site: &mut Site, places: &[Place]) -> bool {
    let room = |w: &crate::site::Worker| w.all().without(w.fixed).without(w.owed);
    let mut done = 0;
    let mut good = true;
    for place in places {
        let worker = &mut site.workers[place.worker];
        good = room(worker).covers(place.load);
        if !good {
            break;
        }
        worker.owed.add(place.load);
        done += 1;
    }
    for place in &places[..done] {
        site.workers[place.worker].owed.remove(place.load);
    }
    good
}

fn occupy(site: &mut Site, places: &[Place], on: bool) {
    for place in places {
        let owed = &mut site.workers[place.worker].owed;
        if on {
            owed.add(place.load);
        } else {
            owed.remove(place.load);
        }
    }
}
