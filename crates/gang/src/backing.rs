//! Ties between jobs and the guaranteed gangs whose cells they use.

use base::OrgId;
use base::Spread;

use crate::event::Action;
use crate::job::Phase;
use crate::planner::Planner;
use crate::search::place;
use crate::site::Footing;
use crate::site::Key;
use crate::site::Load;
use crate::site::Place;
use crate::site::Site;
use crate::start::sum_on;
use crate::witness::claimable;

impl Planner {
    /// The part of a gang's cells on a worker that its organisation does not use yet.
    pub(crate) fn unit_room(&self, unit: usize, w: usize) -> Load {
        let unit = &self.book.units[unit];
        let mut left = unit.part(w);
        for key in &unit.jobs {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            for place in job.places.iter().filter(|p| p.worker == w) {
                left.remove(place.load);
            }
        }
        left
    }

    /// Gangs of an organisation in a domain: those in use first, then one movable of each
    /// guarantee.
    pub(crate) fn units_of(&self, org: &OrgId, domain: Option<usize>) -> (Vec<usize>, Vec<usize>) {
        let mut used = Vec::new();
        let mut movable: Vec<usize> = Vec::new();
        for (i, unit) in self.book.units.iter().enumerate() {
            let fits = unit.org == *org && domain.is_none_or(|d| d == unit.domain);
            if !fits || unit.places.is_none() {
                continue;
            }
            if !unit.is_movable() {
                used.push(i);
                continue;
            }
            let last = movable.last().map(|&u| self.book.units[u].guarantee);
            if last != Some(unit.guarantee) {
                movable.push(i);
            }
        }
        (used, movable)
    }

    /// Takes the cells of a gang away. Jobs that use them stay on borrowed capacity, or wait
    /// again if they had not started.
    pub(crate) fn clear_unit(&mut self, unit: usize) {
        let jobs: Vec<Key> = self.book.units[unit].jobs.iter().copied().collect();
        for key in jobs {
            self.loosen(key);
        }
        self.book.lift(&mut self.site, unit);
    }

    fn loosen(&mut self, key: Key) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.phase == Phase::Claiming {
            self.requeue(key);
            return;
        }
        let footing = job.loose_footing();
        self.reseat(key, footing, None);
    }

    /// Changes the right by which an active job stands on its places.
    fn reseat(&mut self, key: Key, footing: Footing, unit: Option<usize>) {
        self.count(key, false);
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        self.site.unseat(key, &job.places);
        if let Some(old) = job.unit {
            self.book.units[old].jobs.remove(&key);
        }
        job.unit = unit;
        job.footing = footing;
        if let Some(unit) = unit {
            self.book.units[unit].jobs.insert(key);
        }
        self.site.seat(key, &job.places, footing);
        self.count(key, true);
    }

    /// Takes the cells of all gangs on a worker away.
    pub(crate) fn clear_worker(&mut self, w: usize) {
        for unit in 0..self.book.units.len() {
            let places = self.book.units[unit].places.iter().flatten();
            if places.into_iter().any(|p| p.worker == w) {
                self.clear_unit(unit);
            }
        }
    }

    /// Assigns cells to gangs without any, around what runs, and reports what is short.
    pub(crate) fn rebind(&mut self) {
        let loose = |(key, job): (&Key, &crate::job::Job)| {
            (job.phase.is_active() && job.unit.is_none()).then_some(*key)
        };
        let jobs: Vec<Key> = self.jobs.iter().filter_map(loose).collect();
        for key in &jobs {
            self.bind(*key);
        }
        self.book.settle(&mut self.site);
        self.report_short();
    }

    fn report_short(&mut self) {
        let missing = self.book.missing(self.policy.guarantees.len());
        for (guarantee, &missing) in missing.iter().enumerate() {
            if missing == self.short[guarantee] {
                continue;
            }
            let org = self.policy.guarantees[guarantee].org.clone();
            self.actions.push(match missing {
                0 => Action::Covered { guarantee, org },
                _ => Action::Short {
                    guarantee,
                    org,
                    missing,
                },
            });
        }
        self.short = missing;
    }

    /// Puts an active job that stands outside of guarantees on one of its organisation's.
    pub(crate) fn bind(&mut self, key: Key) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let Some(first) = job.places.first() else {
            return;
        };
        let domain = self.site.workers[first.worker].domain;
        let mut last = None;
        for unit in 0..self.book.units.len() {
            let Some(job) = self.jobs.get(&key) else {
                return;
            };
            let u = &self.book.units[unit];
            if u.org != job.spec.org || u.domain != domain {
                continue;
            }
            // Movable gangs of one guarantee are alike: one try is enough.
            let movable = u.is_movable();
            if movable && last == Some(u.guarantee) {
                continue;
            }
            if movable {
                last = Some(u.guarantee);
            }
            let places = &job.places;
            if self.is_within(places, unit) || (movable && self.wrap_active(key, unit)) {
                self.reseat(key, Footing::Backed, Some(unit));
                return;
            }
        }
    }

    /// Whether places lie in the unused cells of a gang.
    fn is_within(&self, places: &[Place], unit: usize) -> bool {
        if self.book.units[unit].places.is_none() {
            return false;
        }
        let fits = |p: &Place| {
            self.unit_room(unit, p.worker)
                .covers(sum_on(places, p.worker))
        };
        places.iter().all(fits)
    }

    /// Assigns a movable gang cells that contain an active job's places.
    fn wrap_active(&mut self, key: Key, unit: usize) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let places = job.places.clone();
        let footing = job.footing;
        self.site.unseat(key, &places);
        let done = self.wrap(unit, &places);
        self.site.seat(key, &places, footing);
        done
    }

    /// Assigns a movable gang cells that contain the places.
    pub(crate) fn wrap(&mut self, unit: usize, places: &[Place]) -> bool {
        if self.site.domains[self.book.units[unit].domain].out {
            return false;
        }
        let old = self.book.save();
        self.book.lift(&mut self.site, unit);
        if self.wrap_places(unit, places) && self.is_within(places, unit) {
            return true;
        }
        self.book.rollback(&mut self.site, old);
        false
    }

    fn wrap_places(&mut self, unit: usize, places: &[Place]) -> bool {
        let mut shape = self.book.units[unit].shape;
        let Some(mut cells) = cells(&self.site, &shape, places) else {
            return false;
        };
        let Some(hit) = self.book.hit(&cells, Some(unit)) else {
            return false;
        };
        let lead = cells[0].worker;
        let rack = self.site.workers[lead].spec.rack.clone();
        if !self.book.yield_cells(&mut self.site, &hit, &cells) {
            return false;
        }
        shape.tasks -= cells.len() as u32;
        if shape.tasks > 0 {
            self.book.put(&mut self.site, unit, cells);
            let site = &self.site;
            let near = |w: usize| match shape.spread {
                Spread::Domain => true,
                Spread::Rack => site.workers[w].spec.rack == rack,
                Spread::Worker => w == lead,
            };
            let room = |w: usize| claimable(site, w, &shape).filter(|_| near(w));
            let rest = place(site, site.workers[lead].domain, &shape, &room, &|_, _| 0);
            cells = self.book.lift(&mut self.site, unit).unwrap_or_default();
            let Some(rest) = rest else { return false };
            cells.extend(rest);
        }
        self.book.put(&mut self.site, unit, cells);
        true
    }
}

/// Cells of a guaranteed shape's tasks that contain the places, if there are few enough and
/// they obey its spread.
fn cells(site: &Site, shape: &base::Shape, places: &[Place]) -> Option<Vec<Place>> {
    let mut list: Vec<Place> = Vec::new();
    let size = shape.accels.0.max(1).next_power_of_two();
    for place in places {
        let worker = &site.workers[place.worker];
        if !worker.is_open() {
            return None;
        }
        let inside = |c: &Place| c.worker == place.worker && c.load.covers(place.load);
        if shape.accels.0 > 0 && list.iter().any(inside) {
            continue;
        }
        let aligned = place.first / size * size;
        let first = aligned.min(worker.spec.accels.0.checked_sub(shape.accels.0)?);
        let cell = Place {
            worker: place.worker,
            first,
            load: worker.share_load(shape, first),
        };
        let apart = list
            .iter()
            .all(|c| c.worker != cell.worker || c.load.mask & cell.load.mask == 0);
        if !apart || !cell.load.covers(place.load) {
            return None;
        }
        list.push(cell);
    }
    let lead = &site.workers[list.first()?.worker].spec;
    let near = |p: &Place| {
        let spec = &site.workers[p.worker].spec;
        match shape.spread {
            Spread::Domain => true,
            Spread::Rack => spec.rack == lead.rack,
            Spread::Worker => spec.id == lead.id,
        }
    };
    let good = list.len() <= shape.tasks as usize && list.iter().all(near);
    good.then_some(list)
}
