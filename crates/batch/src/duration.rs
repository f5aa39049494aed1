//! Expected durations of tasks and of the runs that are active.

use base::Millis;

use crate::job::Job;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::scheduler::Scheduler;
use crate::spec::TaskId;

impl Scheduler {
    /// Expected remaining time of a run.
    pub(crate) fn time_left(&self, task: &TaskId, open: &OpenRun, now: Millis) -> Millis {
        if open.phase == RunPhase::Stopping {
            return self.bounds.stop_grace;
        }
        let ran = now.since(open.seen_at.unwrap_or(open.planned_at));
        let job = self.jobs.get(&task.job);
        let expected = job.map_or(Millis::ZERO, |j| self.expected(j, task.step));
        if open.percent >= 10 {
            let all = ran.0 * 100 / u64::from(open.percent);
            return Millis(all).since(ran);
        }
        expected.since(ran)
    }

    /// Expected duration of a step's tasks: the estimate, corrected by the measured ratio of its
    /// queue.
    pub(crate) fn expected(&self, job: &Job, step: u16) -> Millis {
        let estimate = job.submitted.work.steps[usize::from(step)].estimate;
        let percent = self
            .ratios
            .get(&job.submitted.queue)
            .copied()
            .unwrap_or(100);
        Millis(estimate.0 * u64::from(percent) / 100)
    }
}
