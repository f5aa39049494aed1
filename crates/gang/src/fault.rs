//! Deliberate damage to the planner's state, to show that each invariant can fail.

use base::Accels;

use crate::planner::Planner;
use crate::site::PlacedTask;
use crate::site::WorkerState;

/// One kind of damage.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Takes a running job off its guarantee, but not off its cells.
    Binding,
    /// Puts a second tenant on a job's accelerators.
    DoubleAllocation,
    /// Isolates every worker.
    Isolation,
    /// Takes all domains out without a word to the jobs.
    DomainOut,
    /// Loses one task of a gang.
    PartialGang,
    /// Loses a waiting job's place in the queue.
    JobState,
    /// Miscounts a worker's cores.
    Totals,
    /// Counts a second start.
    SecondStart,
    /// Lets a worker with guaranteed cells leave.
    Guarantee,
    /// Miscounts an organisation's accelerators.
    Usage,
    /// Gives two guaranteed gangs the same cells.
    Overlap,
}

impl Planner {
    /// Damages the state.
    #[doc(hidden)]
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Binding => self.jobs.values_mut().for_each(|j| j.gang = None),
            Fault::DoubleAllocation => self.duplicate_tasks(),
            Fault::Isolation => self.site.workers.iter_mut().for_each(|w| w.isolated = true),
            Fault::DomainOut => self.site.domains.iter_mut().for_each(|d| d.out = true),
            Fault::PartialGang => self.remove_tasks_of_gangs(),
            Fault::JobState => {
                let waiting: Vec<_> = self.queue.jobs().collect();
                waiting.into_iter().for_each(|key| self.queue.remove(key));
            }
            Fault::Totals => self.site.workers[0].busy.cores += 1,
            Fault::SecondStart => self.jobs.values_mut().for_each(|j| j.start_count += 1),
            Fault::Guarantee => {
                let workers = self.site.workers.iter_mut();
                workers.for_each(|w| w.state = WorkerState::Leaving);
            }
            Fault::Usage => {
                let usage = self.usage.values_mut();
                usage.for_each(|u| u.used += Accels(1));
            }
            Fault::Overlap => {
                let places = self.table.gangs[0].places.clone();
                self.table.gangs[1].places = places;
            }
        }
    }

    fn remove_tasks_of_gangs(&mut self) {
        for job in self.jobs.values_mut() {
            job.places.pop();
        }
    }

    fn duplicate_tasks(&mut self) {
        for worker in &mut self.site.workers {
            let copies: Vec<PlacedTask> = worker.placed.clone();
            worker.placed.extend(copies);
        }
    }
}
