//! Expected durations of tasks and of the runs that are active.

use base::Millis;
use base::ServiceId;

use crate::job::Job;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::rank::USEFUL_FACTOR;
use crate::scheduler::Scheduler;
use crate::spec::TaskId;
use crate::speed::Speed;
use crate::suit::SpeedNeed;

/// How far the duration of a task may be off what is expected, in mean deviations of its queue, for a
/// worker still to count as amply fast; and the deviation of a queue before any is measured.
const MARGIN: f64 = 2.0;
pub(crate) const FIRST_DEVIATION: f64 = 0.3;

impl Scheduler {
    /// Expected remaining time of a run.
    pub(crate) fn time_left(&self, task: &TaskId, open: &OpenRun, now: Millis) -> Millis {
        if open.phase == RunPhase::Stopping {
            return self.bounds.stop_grace;
        }
        let ran = now.since(open.seen_at.unwrap_or(open.planned_at));
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|j| self.unequal(&j.submitted.pool).is_some()) {
            if let Some(left) = open.meter.time_left(open.percent) {
                return left.since(now.since(open.progress_at));
            }
        }
        if open.percent >= 10 {
            let all = ran.0 * 100 / u64::from(open.percent);
            return Millis(all).since(ran);
        }
        let speed = self.speed_of(&open.worker);
        let expected = job.map_or(Millis::ZERO, |j| self.expected_on(j, task.step, speed));
        expected.since(ran)
    }

    /// Expected duration of a step's tasks on a worker of the usual speed: the estimate, corrected by
    /// the measured ratio of its queue.
    pub(crate) fn expected(&self, job: &Job, step: u16) -> Millis {
        let estimate = job.submitted.work.steps[usize::from(step)].estimate;
        Millis(estimate.0 * u64::from(self.ratio(job)) / 100)
    }

    /// Expected duration of a step's tasks on workers of this speed; that of a gang on workers of
    /// which the slowest has it.
    pub(crate) fn expected_on(&self, job: &Job, step: u16, speed: Speed) -> Millis {
        speed.time(self.expected(job, step))
    }

    /// Measured duration of the tasks of a job's queue at the usual speed, relative to their
    /// estimates, in percent.
    pub(crate) fn ratio(&self, job: &Job) -> u32 {
        let ratio = self.ratios.get(&job.submitted.queue);
        ratio.copied().unwrap_or(100)
    }

    /// What a step that waits asks of the speed of its workers, `age` after its job was accepted.
    pub(crate) fn speed_need(&self, job: &Job, occurrence: u32, age: Millis) -> SpeedNeed {
        let Some(fit) = self.unequal(&job.submitted.pool) else {
            return SpeedNeed::default();
        };
        let Some(state) = job.open.get(&occurrence) else {
            return SpeedNeed::default();
        };
        let work = &job.submitted.work;
        let path = work.remaining_path(|step| state.steps[step].is_done());
        let deviation = self.deviations.get(&job.submitted.queue);
        let margin = (MARGIN * deviation.copied().unwrap_or(FIRST_DEVIATION)).exp();
        let usual = Millis(path.0 * u64::from(self.ratio(job)) / 100);
        let urgent = job.submitted.priority == 0;
        let objective = job.submitted.objective;
        let left = match age < objective {
            true => objective.since(age),
            false => Millis(objective.0 * USEFUL_FACTOR).since(age),
        };
        SpeedNeed::new(usual, margin, left, urgent, fit.cautious)
    }

    /// Speed to reckon with on a worker of which only `estimate` is known.
    pub(crate) fn cautious_speed(&self, pool: &ServiceId, estimate: Speed) -> Speed {
        let cautious = self.unequal(pool).map_or(Speed::USUAL, |fit| fit.cautious);
        estimate.min(cautious)
    }
}
