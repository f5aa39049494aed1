//! Binding of jobs to the guaranteed gangs whose places they use.

use base::OrgId;
use base::Spread;

use crate::event::Action;
use crate::guarantees::assignable;
use crate::job::Phase;
use crate::placement::resources_on;
use crate::planner::Planner;
use crate::search::find_places;
use crate::site::JobKey;
use crate::site::Place;
use crate::site::Resources;
use crate::site::Site;
use crate::site::TaskClass;

impl Planner {
    /// Resources of a guaranteed gang on a worker that no job uses yet.
    pub(crate) fn unused_part(&self, gang: usize, w: usize) -> Resources {
        let gang = &self.table.gangs[gang];
        let mut left = gang.part(w);
        for key in &gang.jobs {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            for place in job.places.iter().filter(|p| p.worker == w) {
                left.remove(place.resources);
            }
        }
        left
    }

    /// Guaranteed gangs of an organisation that have places: all in use, and one movable gang
    /// of each guarantee, since these are interchangeable.
    pub(crate) fn gangs_of(&self, org: &OrgId, domain: Option<usize>) -> (Vec<usize>, Vec<usize>) {
        let mut used = Vec::new();
        let mut movable: Vec<usize> = Vec::new();
        for (i, gang) in self.table.gangs.iter().enumerate() {
            let fits = gang.org == *org && domain.is_none_or(|d| d == gang.domain);
            if !fits || gang.places.is_none() {
                continue;
            }
            if !gang.is_movable() {
                used.push(i);
                continue;
            }
            let last = movable.last().map(|&g| self.table.gangs[g].guarantee);
            if last != Some(gang.guarantee) {
                movable.push(i);
            }
        }
        (used, movable)
    }

    /// Removes the places of a guaranteed gang. Active jobs on them continue without a
    /// guarantee; claiming jobs are requeued.
    pub(crate) fn unassign_gang(&mut self, gang: usize) {
        let jobs: Vec<JobKey> = self.table.gangs[gang].jobs.iter().copied().collect();
        for key in jobs {
            self.unbind(key);
        }
        self.table.unassign(&mut self.site, gang);
    }

    fn unbind(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.phase == Phase::Claiming {
            self.requeue(key);
            return;
        }
        let class = job.default_class();
        self.set_binding(key, class, None);
    }

    /// Changes the class of an active job and the guaranteed gang that it uses.
    fn set_binding(&mut self, key: JobKey, class: TaskClass, gang: Option<usize>) {
        self.count_usage(key, false);
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        self.site.remove_tasks(key, &job.places);
        if let Some(old) = job.gang {
            self.table.gangs[old].jobs.remove(&key);
        }
        job.gang = gang;
        job.class = class;
        if let Some(gang) = gang {
            self.table.gangs[gang].jobs.insert(key);
        }
        self.site.add_tasks(key, &job.places, class);
        self.count_usage(key, true);
    }

    /// Removes the places of all guaranteed gangs with a task on a worker.
    pub(crate) fn unassign_worker(&mut self, w: usize) {
        for gang in 0..self.table.gangs.len() {
            let places = self.table.gangs[gang].places.iter().flatten();
            if places.into_iter().any(|p| p.worker == w) {
                self.unassign_gang(gang);
            }
        }
    }

    /// Binds active jobs to guarantees, assigns places to guaranteed gangs that have none, and
    /// reports changed shortfalls.
    pub(crate) fn rebind(&mut self) {
        let unbound = |(key, job): (&JobKey, &crate::job::Job)| {
            (job.phase.is_active() && job.gang.is_none()).then_some(*key)
        };
        let jobs: Vec<JobKey> = self.jobs.iter().filter_map(unbound).collect();
        for key in &jobs {
            self.bind(*key);
        }
        self.table.assign_missing(&mut self.site);
        self.report_shortfalls();
    }

    fn report_shortfalls(&mut self) {
        let missing = self.table.missing(self.policy.guarantees.len());
        for (guarantee, &missing) in missing.iter().enumerate() {
            if missing == self.reported_missing[guarantee] {
                continue;
            }
            let org = self.policy.guarantees[guarantee].org.clone();
            self.actions.push(match missing {
                0 => Action::GuaranteeMet { guarantee, org },
                _ => Action::GuaranteeShort {
                    guarantee,
                    org,
                    missing,
                },
            });
        }
        self.reported_missing = missing;
    }

    /// Binds an active job that uses no guarantee to one of its organisation, if its places
    /// allow it.
    pub(crate) fn bind(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let Some(first) = job.places.first() else {
            return;
        };
        let domain = self.site.workers[first.worker].domain;
        let mut last = None;
        for gang in 0..self.table.gangs.len() {
            let Some(job) = self.jobs.get(&key) else {
                return;
            };
            let g = &self.table.gangs[gang];
            if g.org != job.spec.org || g.domain != domain {
                continue;
            }
            // Movable gangs of one guarantee are interchangeable: one trial is enough.
            let movable = g.is_movable();
            if movable && last == Some(g.guarantee) {
                continue;
            }
            if movable {
                last = Some(g.guarantee);
            }
            let places = &job.places;
            if self.is_within(places, gang) || (movable && self.assign_around_active(key, gang)) {
                self.set_binding(key, TaskClass::Guaranteed, Some(gang));
                return;
            }
        }
    }

    /// Whether the places lie within the unused resources of a guaranteed gang.
    fn is_within(&self, places: &[Place], gang: usize) -> bool {
        if self.table.gangs[gang].places.is_none() {
            return false;
        }
        let fits = |p: &Place| {
            self.unused_part(gang, p.worker)
                .covers(resources_on(places, p.worker))
        };
        places.iter().all(fits)
    }

    /// Moves a movable gang to places that contain those of an active job.
    fn assign_around_active(&mut self, key: JobKey, gang: usize) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let places = job.places.clone();
        let class = job.class;
        self.site.remove_tasks(key, &places);
        let assigned = self.assign_around(gang, &places);
        self.site.add_tasks(key, &places, class);
        assigned
    }

    /// Moves a movable gang to places that contain the given ones. Nothing changes if that
    /// fails.
    pub(crate) fn assign_around(&mut self, gang: usize, places: &[Place]) -> bool {
        if self.site.domains[self.table.gangs[gang].domain].out {
            return false;
        }
        let old = self.table.snapshot();
        self.table.unassign(&mut self.site, gang);
        if self.assign_containing(gang, places) && self.is_within(places, gang) {
            return true;
        }
        self.table.rollback(&mut self.site, old);
        false
    }

    /// Assigns places to a gang that has none: aligned ones around the given places for some
    /// tasks, and any others for the rest.
    fn assign_containing(&mut self, gang: usize, places: &[Place]) -> bool {
        let mut shape = self.table.gangs[gang].shape;
        let Some(mut new_places) = containing_places(&self.site, &shape, places) else {
            return false;
        };
        let Some(overlapping) = self.table.overlapping(&new_places, Some(gang)) else {
            return false;
        };
        let first_worker = new_places[0].worker;
        let rack = self.site.workers[first_worker].spec.rack.clone();
        if !self
            .table
            .relocate(&mut self.site, &overlapping, &new_places)
        {
            return false;
        }
        shape.tasks -= new_places.len() as u32;
        if shape.tasks > 0 {
            self.table.assign(&mut self.site, gang, new_places);
            let site = &self.site;
            let in_spread = |w: usize| match shape.spread {
                Spread::Domain => true,
                Spread::Rack => site.workers[w].spec.rack == rack,
                Spread::Worker => w == first_worker,
            };
            let room = |w: usize| assignable(site, w, &shape).filter(|_| in_spread(w));
            let rest = find_places(
                site,
                site.workers[first_worker].domain,
                &shape,
                &room,
                &|_, _| 0,
            );
            new_places = self
                .table
                .unassign(&mut self.site, gang)
                .unwrap_or_default();
            let Some(rest) = rest else { return false };
            new_places.extend(rest);
        }
        self.table.assign(&mut self.site, gang, new_places);
        true
    }
}

/// Aligned places of a guaranteed shape that contain the given places. None if they need more
/// tasks than the shape has or break its spread.
fn containing_places(site: &Site, shape: &base::Shape, places: &[Place]) -> Option<Vec<Place>> {
    let mut list: Vec<Place> = Vec::new();
    let size = shape.accels.0.max(1).next_power_of_two();
    for place in places {
        let worker = &site.workers[place.worker];
        if !worker.is_available() {
            return None;
        }
        let inside = |c: &Place| c.worker == place.worker && c.resources.covers(place.resources);
        if shape.accels.0 > 0 && list.iter().any(inside) {
            continue;
        }
        let aligned = place.first / size * size;
        let first = aligned.min(worker.spec.accels.0.checked_sub(shape.accels.0)?);
        let candidate = Place {
            worker: place.worker,
            first,
            resources: worker.guaranteed_resources(shape, first),
        };
        let disjoint = list.iter().all(|c| {
            c.worker != candidate.worker || c.resources.mask & candidate.resources.mask == 0
        });
        if !disjoint || !candidate.resources.covers(place.resources) {
            return None;
        }
        list.push(candidate);
    }
    let first_worker = &site.workers[list.first()?.worker].spec;
    let in_spread = |p: &Place| {
        let spec = &site.workers[p.worker].spec;
        match shape.spread {
            Spread::Domain => true,
            Spread::Rack => spec.rack == first_worker.rack,
            Spread::Worker => spec.id == first_worker.id,
        }
    };
    let fits = list.len() <= shape.tasks as usize && list.iter().all(in_spread);
    fits.then_some(list)
}
