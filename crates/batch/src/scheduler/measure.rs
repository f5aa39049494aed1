//! Evidence of the speeds of workers, from their reports.
//!
//! Load pattern: workers of one pool differ by a factor of nearly three and say nothing about it.
//! Members of a gang progress each at the rate of its own worker until they wait for the last one at
//! 100 percent, so a gang shows the speeds of all its workers at once.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use base::Map;
use base::Millis;
use base::ServiceId;
use base::WorkerId;

use super::Scheduler;
use crate::job::Job;
use crate::job::RunPhase;
use crate::place::on_rack;
use crate::spec::RunNumber;
use crate::spec::StepSpec;
use crate::spec::TaskId;
use crate::speed;
use crate::speed::Evidence;
use crate::speed::Kind;
use crate::speed::PoolFit;
use crate::speed::Rate;
use crate::speed::Sample;
use crate::speed::Speed;
use crate::worker::ActiveRun;
use crate::worker::Worker;

/// Time between two estimates, for a small site and for each worker.
const FIT_INTERVAL: Millis = Millis(400);
const FIT_MICROS: u64 = 200;

impl Scheduler {
    /// Adds a reading of a run's progress, taken at `clock` on the clock of its worker.
    pub(super) fn measure(&mut self, id: &WorkerId, active: &ActiveRun, clock: u64, now: Millis) {
        let is_warm = self.workers.get(id).is_some_and(Worker::is_warm);
        let Some(job) = self.jobs.get_mut(&active.task.job) else {
            return;
        };
        let is_measured = job.spec(&active.task).is_some_and(shows_speed);
        let Some(open) = job
            .task_mut(&active.task)
            .and_then(|t| t.open.as_mut())
            .filter(|o| is_measured && is_warm && o.phase == RunPhase::Running)
            .filter(|o| o.run == active.run && o.worker == *id)
        else {
            return;
        };
        if !open.meter.read(active.percent, clock, now) {
            return;
        }
        let changed = open.meter.take_change();
        let Some(rate) = open.meter.rate() else {
            return;
        };
        let sample = self.sample(id, &active.task, active.run, rate, now);
        if let (Some(sample), Some(worker)) = (sample, self.workers.get_mut(id)) {
            if changed {
                worker.evidence.forget(now);
            }
            worker.evidence.add(sample);
            self.new_evidence = true;
        }
    }

    /// Adds the end of a run that has succeeded. Members of a gang end together, which shows nothing
    /// of each.
    pub(super) fn measure_end(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        run: RunNumber,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(clock) = worker.clock.map(|(clock, _)| clock) else {
            return;
        };
        if !worker.is_warm() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_measured = job.spec(task).is_some_and(|s| shows_speed(s) && !s.gang);
        let open = job.task_mut(task).and_then(|t| t.open.as_mut());
        let Some(open) = open.filter(|o| is_measured && o.run == run && o.worker == *id) else {
            return;
        };
        if !open.meter.finish(clock) {
            return;
        }
        let Some(rate) = open.meter.rate() else {
            return;
        };
        let sample = self.sample(id, task, run, rate, now);
        if let (Some(sample), Some(worker)) = (sample, self.workers.get_mut(id)) {
            worker.evidence.add(sample);
            self.new_evidence = true;
        }
    }

    fn sample(
        &self,
        id: &WorkerId,
        task: &TaskId,
        run: RunNumber,
        rate: Rate,
        now: Millis,
    ) -> Option<Sample> {
        let job = self.jobs.get(&task.job)?;
        let spec = job.spec(task)?;
        let worker = self.workers.get(id)?;
        let mut rate = rate;
        if !on_rack(worker.rack.as_deref(), spec) {
            rate.log += (self.bounds.remote_factor.max(1) as f64).ln();
        }
        let group = if spec.gang { run.0 } else { 0 };
        Some(Sample {
            step: hash(&(&task.job, task.occurrence, task.step, group)),
            run: hash(&(task, run)),
            rate,
            kind: if spec.gang {
                Kind::Member
            } else {
                Kind::Single
            },
            at: now,
        })
    }

    /// Estimates the speeds anew if there is new evidence and the last estimate is not recent.
    pub(super) fn refit(&mut self, now: Millis) {
        let interval = FIT_INTERVAL.max(Millis(self.workers.len() as u64 * FIT_MICROS / 1_000));
        if !self.new_evidence || now.since(self.fitted_at) < interval {
            return;
        }
        self.new_evidence = false;
        self.fitted_at = now;
        let mut pools: Map<ServiceId, Vec<&mut Evidence>> = Map::default();
        for worker in self.workers.values_mut() {
            match pools.get_mut(&worker.entry.pool) {
                Some(list) => list.push(&mut worker.evidence),
                None => {
                    let pool = worker.entry.pool.clone();
                    pools.insert(pool, vec![&mut worker.evidence]);
                }
            }
        }
        self.fits.retain(|pool, _| pools.contains_key(pool));
        for (pool, mut workers) in pools {
            let fit = self.fits.entry(pool).or_default();
            speed::fit(fit, &mut workers, now);
        }
    }

    /// What is known about a pool whose workers differ in speed; `None` if they are alike.
    pub(crate) fn unequal(&self, pool: &ServiceId) -> Option<&PoolFit> {
        self.fits.get(pool).filter(|fit| fit.differ)
    }

    /// Estimated speed of a worker; 100 % if it is not known.
    pub(crate) fn speed_of(&self, id: &WorkerId) -> Speed {
        let worker = self.workers.get(id);
        worker.map_or(Speed::USUAL, |w| w.evidence.estimate.speed)
    }

    /// Speed at which a run progresses: that of its worker, or of the slowest one of its gang.
    pub(super) fn run_speed(&self, job: &Job, task: &TaskId, run: RunNumber) -> Option<Speed> {
        let step = job
            .open
            .get(&task.occurrence)?
            .steps
            .get(usize::from(task.step))?;
        let gang = job.spec(task)?.gang;
        let tasks = step.tasks.iter().enumerate();
        let own = tasks.filter(|(num, _)| gang || *num == usize::from(task.index));
        let open = own.filter_map(|(_, t)| t.open.as_ref().filter(|o| o.run == run));
        open.map(|o| self.speed_of(&o.worker)).min()
    }
}

/// Whether the progress of the tasks shows the speed of the worker.
fn shows_speed(spec: &StepSpec) -> bool {
    !spec.lasting && !spec.fills
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
