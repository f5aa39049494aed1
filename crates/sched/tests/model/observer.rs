//! Checks the safety invariants from the state of workers and store, independently of the
//! coordinators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Attempt;
use base::JobId;
use base::Millis;
use base::Outcome;
use sched::JobOutcome;
use sched::JobPhase;
use work::wire::TaskKey;
use work::wire::TaskPhase;

use super::world::World;

type AttemptKey = (JobId, Attempt);

/// When only part of a gang began to run, and the number of elections until then.
#[derive(Clone, Copy, Debug)]
struct Partial {
    since: Millis,
    elections: u64,
}

/// History of a run, against which each new state is checked.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    pub elections: u64,
    /// Number of starts of each task.
    starts: BTreeMap<TaskKey, u32>,
    finished: BTreeSet<TaskKey>,
    partial: BTreeMap<AttemptKey, Partial>,
    outcomes: BTreeMap<JobId, JobOutcome>,
}

impl Observer {
    /// Checks the world after an event. The error describes the violation.
    pub fn observe(&mut self, world: &mut World) -> Result<(), String> {
        self.check_started(world)?;
        self.check_gangs(world)?;
        self.check_records(world)
    }

    /// Whether any task of a job ever ran.
    pub fn ran(&self, job: &JobId) -> bool {
        self.starts.keys().any(|k| k.job == *job)
    }

    fn check_started(&mut self, world: &mut World) -> Result<(), String> {
        let timeout = world.params.permit_period + world.params.timing.reserve_lease;
        let late = world.domain_out.is_some_and(|at| world.now > at + timeout);
        for i in 0..world.workers.len() {
            for key in std::mem::take(&mut world.workers[i].new_starts) {
                if late {
                    return Err(format!(
                        "{key:?} started after the domain was taken out of service"
                    ));
                }
                self.check_start(world, key)?;
            }
            for (key, (report, _)) in &world.workers[i].tasks {
                if report.phase == TaskPhase::Finished && !self.finished.contains(key) {
                    self.finished.insert(key.clone());
                }
            }
        }
        Ok(())
    }

    fn check_start(&mut self, world: &World, key: TaskKey) -> Result<(), String> {
        let spec = &world.store.records[&key.job].0.spec;
        let earlier = self
            .starts
            .keys()
            .find(|k| k.job == key.job && k.attempt != key.attempt);
        if let (Some(earlier), false) = (earlier, spec.is_stoppable()) {
            return Err(format!("{key:?} started although {earlier:?} had run"));
        }
        let times = self.starts.entry(key.clone()).or_default();
        *times += 1;
        if *times > 1 {
            return Err(format!("{key:?} started twice"));
        }
        Ok(())
    }

    fn check_gangs(&mut self, world: &World) -> Result<(), String> {
        let mut running: BTreeMap<AttemptKey, BTreeSet<u32>> = BTreeMap::new();
        for worker in &world.workers {
            for (key, (report, _)) in &worker.tasks {
                if report.phase == TaskPhase::Running {
                    let gang = running.entry((key.job.clone(), key.attempt)).or_default();
                    gang.insert(key.task);
                }
            }
        }
        let jobs: BTreeSet<&JobId> = running.keys().map(|(job, _)| job).collect();
        if jobs.len() < running.len() {
            return Err(format!("two attempts of a job run: {:?}", running.keys()));
        }
        self.partial.retain(|key, _| running.contains_key(key));
        for (key, tasks) in running {
            self.check_gang(world, key, &tasks)?;
        }
        Ok(())
    }

    fn check_gang(
        &mut self,
        world: &World,
        key: AttemptKey,
        tasks: &BTreeSet<u32>,
    ) -> Result<(), String> {
        let size = world.store.records[&key.0].0.spec.shape.tasks;
        let done = |task: &u32| {
            let (job, attempt) = key.clone();
            let key = TaskKey {
                job,
                attempt,
                task: *task,
            };
            self.finished.contains(&key)
        };
        let started = |task| {
            let (job, attempt) = key.clone();
            self.starts.contains_key(&TaskKey { job, attempt, task })
        };
        if (0..size).all(|t| tasks.contains(&t) || done(&t)) {
            self.partial.remove(&key);
            return Ok(());
        }
        let fresh = Partial {
            since: world.now,
            elections: self.elections,
        };
        let partial = *self.partial.entry(key.clone()).or_insert(fresh);
        let timing = &world.params.timing;
        let elections = self.elections - partial.elections;
        // Time advances in ticks, so that every wait may last up to a tick longer.
        let slack = Millis(world.params.tick.0 * 2 * (elections + 1));
        let bound = match (elections, (0..size).all(started)) {
            (0, false) if self.elections == 1 => timing.max_partial_start(),
            _ => timing.max_partial(elections),
        };
        if world.now > partial.since + bound + slack {
            return Err(format!(
                "{key:?} has been running partially since {}",
                partial.since
            ));
        }
        Ok(())
    }

    fn check_records(&mut self, world: &World) -> Result<(), String> {
        for (id, (rec, _)) in &world.store.records {
            let JobPhase::Done { outcome } = &rec.phase else {
                if self.outcomes.contains_key(id) {
                    return Err(format!(
                        "{id} left the phase done after its outcome was recorded"
                    ));
                }
                continue;
            };
            let first = self.outcomes.entry(id.clone()).or_insert(outcome.clone());
            if first != outcome {
                return Err(format!("{id} has two outcomes: {first}, {outcome}"));
            }
            self.check_outcome(rec.spec.shape.tasks, id, rec.attempt, outcome)?;
        }
        Ok(())
    }

    fn check_outcome(
        &self,
        tasks: u32,
        id: &JobId,
        attempt: Attempt,
        outcome: &JobOutcome,
    ) -> Result<(), String> {
        if outcome.outcome() == Outcome::NotRun && self.ran(id) {
            return Err(format!(
                "{id} ran, but its outcome says that it did not: {outcome}"
            ));
        }
        let key = |task| TaskKey {
            job: id.clone(),
            attempt,
            task,
        };
        let finished = (0..tasks).all(|t| self.finished.contains(&key(t)));
        if *outcome == JobOutcome::Finished && !finished {
            return Err(format!(
                "{id} is recorded as finished, but not all of its tasks are"
            ));
        }
        Ok(())
    }
}
