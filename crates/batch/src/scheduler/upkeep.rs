//! Upkeep of the machines that the workers run on.

use base::Millis;
use base::WorkerId;

use super::Scheduler;
use crate::account::Loss;
use crate::account::LossCause;
use crate::job::RunPhase;
use crate::plan::can_spare;
use crate::plan::lost_by_stopping;
use crate::preempt;
use crate::spec::StepSpec;
use crate::spec::TaskId;
use crate::wave::MachineWork;
use crate::wave::UpkeepRequest;
use crate::wave::UpkeepResponse;
use crate::wave::Wave;
use crate::wave::Waves;

impl Scheduler {
    /// The waves of upkeep, for updates.
    pub fn waves(&mut self) -> &mut Waves {
        &mut self.waves
    }

    /// Replaces the waves that operators have requested. Each comes with the time at which it was
    /// first seen.
    pub fn set_waves<'a>(&mut self, requested: impl Iterator<Item = &'a (Wave, Millis)>) {
        self.waves.set_all(requested);
    }

    /// Decides on the machines of all waves: stops placement on workers and stops runs as needed.
    /// Returns the requests, which are to be sent once they are recorded. `upkeep_time` is the
    /// duration of one upkeep.
    pub fn plan_upkeep(&mut self, upkeep_time: Millis, now: Millis) -> Vec<UpkeepRequest> {
        let mut waves = std::mem::take(&mut self.waves);
        let plan = waves.plan(self.epoch, now, upkeep_time, |id| {
            self.machine_work(id, now)
        });
        self.waves = waves;
        self.cordoned = plan.cordon;
        for id in plan.evict {
            self.evict_runs(&id);
        }
        plan.requests
    }

    /// Stops placement on workers whose machines a former coordinator may have taken down, or may still
    /// take down.
    pub fn cordon_open(&mut self) {
        self.cordoned = self.waves.open_workers();
    }

    /// Allows placement on all workers again, because no wave is active.
    pub fn uncordon_workers(&mut self) {
        self.cordoned.clear();
    }

    /// Processes the response to an upkeep request.
    pub fn upkeep_response(
        &mut self,
        request: &UpkeepRequest,
        response: &UpkeepResponse,
        now: Millis,
    ) {
        if *response == UpkeepResponse::Begun {
            let id = self.waves.worker_of(&request.machine).cloned();
            if let Some(worker) = id.and_then(|id| self.workers.get_mut(&id)) {
                worker.upkeep_at = Some(now);
            }
        }
        self.waves.apply_response(request, response, now);
        self.fenced |= *response == UpkeepResponse::Fenced;
    }

    fn machine_work(&self, id: &WorkerId, now: Millis) -> MachineWork {
        let mut work = MachineWork::default();
        let Some(worker) = self.workers.get(id) else {
            return work;
        };
        for task in worker.open.keys() {
            let Some(open) = self.open_run(task) else {
                continue;
            };
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some(spec) = job.spec(task) else { continue };
            let ends = !spec.lasting || open.phase == RunPhase::Stopping;
            let left = match ends {
                true => self.time_left(task, open, now),
                false => Millis::MAX,
            };
            work.left = work.left.max(left).max(Millis(1));
            work.loss += preempt::work(&spec.need, lost_by_stopping(spec, open, now));
            work.is_held |= spec.is_limited() && !ends && !can_spare(job, task);
        }
        work
    }

    /// Stops the runs on a worker, but of a long-running step only as many tasks as may be out of
    /// service at a time.
    fn evict_runs(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = worker.open.keys().cloned().collect();
        let mut stopped = 0;
        for task in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let is_limited = job.spec(&task).is_some_and(StepSpec::is_limited);
            let running = self.open_run(&task).map(|o| (o.phase, o.run));
            let Some((RunPhase::Running, run)) = running else {
                continue;
            };
            if !is_limited || can_spare(job, &task) {
                let loss = Loss::new(LossCause::Upkeep);
                self.stop_run(&task, loss.clone());
                self.break_gang(&task, run, &loss);
                stopped += 1;
            }
        }
        if stopped > 0 {
            self.log(
                None,
                format!("stopping {stopped} runs on {id} for machine upkeep"),
            );
        }
    }
}
