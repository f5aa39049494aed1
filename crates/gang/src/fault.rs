//! Fault injection for tests that show that each invariant can fail.

use base::Accels;

use crate::planner::Planner;
use crate::site::PlacedTask;
use crate::site::WorkerState;

/// Damage to the planner's state, named after the invariant that it breaks.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Removes the guaranteed gang of all jobs, which keep their class.
    Binding,
    /// Duplicates every placed task.
    DoubleAllocation,
    Isolation,
    /// Takes all failure domains out of service without moving any job.
    DomainOut,
    /// Removes one place of every job.
    PartialGang,
    /// Removes waiting jobs from the queue.
    JobState,
    /// Adds a core to the total in use on the first worker.
    Totals,
    /// Counts another start of every job.
    SecondStart,
    /// Marks all workers as leaving and keeps the guaranteed places on them.
    Guarantee,
    /// Adds an accelerator to the usage of every organisation.
    Usage,
    /// Gives the second guaranteed gang the places of the first.
    Overlap,
}

impl Planner {
    /// Applies the damage without restoring any invariant.
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
