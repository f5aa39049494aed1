//! Deliberate damage to the planner's state, to show that each invariant can fail.

use base::Accels;

use crate::planner::Planner;
use crate::site::Service;
use crate::site::Tenant;

/// One kind of damage.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Takes a running job off its guarantee, but not off its cells.
    Backing,
    /// Puts a second tenant on a job's accelerators.
    Double,
    /// Isolates every worker.
    Isolation,
    /// Takes all domains out without a word to the jobs.
    Out,
    /// Loses one task of a gang.
    Partial,
    /// Loses a waiting job's place in the queue.
    State,
    /// Miscounts a worker's cores.
    Sums,
    /// Counts a second start.
    Twice,
    /// Lets a worker with guaranteed cells leave.
    Unit,
    /// Miscounts an organisation's accelerators.
    Usage,
    /// Gives two guaranteed gangs the same cells.
    Witness,
}

impl Planner {
    /// Damages the state.
    #[doc(hidden)]
    pub fn damage(&mut self, fault: Fault) {
        match fault {
            Fault::Backing => self.jobs.values_mut().for_each(|j| j.unit = None),
            Fault::Double => self.damage_tenants(),
            Fault::Isolation => self.site.workers.iter_mut().for_each(|w| w.isolated = true),
            Fault::Out => self.site.domains.iter_mut().for_each(|d| d.out = true),
            Fault::Partial => self.damage_gangs(),
            Fault::State => {
                let waiting: Vec<_> = self.queue.jobs().collect();
                waiting.into_iter().for_each(|key| self.queue.remove(key));
            }
            Fault::Sums => self.site.workers[0].busy.cores += 1,
            Fault::Twice => self.jobs.values_mut().for_each(|j| j.starts += 1),
            Fault::Unit => {
                let workers = self.site.workers.iter_mut();
                workers.for_each(|w| w.service = Service::Leaving);
            }
            Fault::Usage => {
                let usage = self.usage.values_mut();
                usage.for_each(|u| u.used += Accels(1));
            }
            Fault::Witness => {
                let places = self.book.units[0].places.clone();
                self.book.units[1].places = places;
            }
        }
    }

    fn damage_gangs(&mut self) {
        for job in self.jobs.values_mut() {
            job.places.pop();
        }
    }

    fn damage_tenants(&mut self) {
        for worker in &mut self.site.workers {
            let copies: Vec<Tenant> = worker.tenants.clone();
            worker.tenants.extend(copies);
        }
    }
}
