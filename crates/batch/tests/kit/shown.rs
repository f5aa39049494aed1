//! What a simulated site shows of its jobs.

use base::JobId;
use batch::TaskId;

use super::site::Site;

impl Site {
    /// Whether every task of a job has succeeded.
    pub fn is_done(&self, id: &JobId) -> bool {
        self.all_tasks(id, |task| self.succeeded.contains_key(task))
    }

    /// Whether the success of every task of a job has been acknowledged.
    pub fn is_recorded(&self, id: &JobId) -> bool {
        self.all_tasks(id, |task| self.acknowledged.contains_key(task))
    }

    /// Whether every task of a step has succeeded.
    pub fn is_step_done(&self, id: &JobId, num: usize) -> bool {
        self.all_of_step(id, num, |task| self.succeeded.contains_key(task))
    }

    fn all_tasks(&self, id: &JobId, holds: impl Fn(&TaskId) -> bool) -> bool {
        let mut steps = 0..self.stored[id].0.work.steps.len();
        steps.all(|num| self.all_of_step(id, num, &holds))
    }

    fn all_of_step(&self, id: &JobId, num: usize, holds: impl Fn(&TaskId) -> bool) -> bool {
        let count = self.stored[id].0.work.steps[num].count;
        (0..count).all(|index| {
            holds(&TaskId {
                job: id.clone(),
                occurrence: 0,
                step: num as u16,
                index: index as u16,
            })
        })
    }

    /// State of a job that callers see, from its record.
    pub fn phase_shown(&self, id: &JobId) -> Option<batch::JobPhase> {
        self.stored[id].1.as_ref().map(|p| p.phase)
    }
}
