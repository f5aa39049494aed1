//! The invariants of a world, seen from outside the coordinators.

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

/// When a gang began to run partially, and what was true then.
#[derive(Clone, Copy, Debug)]
struct Partial {
    since: Millis,
    elections: u64,
}

/// What was seen so far.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    pub elections: u64,
    begun: BTreeMap<TaskKey, u32>,
    finished: BTreeSet<TaskKey>,
    partial: BTreeMap<AttemptKey, Partial>,
    done: BTreeMap<JobId, JobOutcome>,
}

impl Observer {
    /// Looks at the world after an event.
    pub fn observe(&mut self, world: &mut World) -> Result<(), String> {
        self.see_begun(world)?;
        self.see_gangs(world)?;
        self.see_records(world)
    }

    /// Whether any task of a job ever ran.
    pub fn ran(&self, job: &JobId) -> bool {
        self.begun.keys().any(|k| k.job == *job)
    }

    fn see_begun(&mut self, world: &mut World) -> Result<(), String> {
        let bound = world.params.permit + world.params.timing.hold_lease;
        let late = world.out.is_some_and(|at| world.now > at + bound);
        for i in 0..world.workers.len() {
            for key in std::mem::take(&mut world.workers[i].begun) {
                if late {
                    return Err(format!("{key:?} began after the domain was taken out"));
                }
                self.see_start(world, key)?;
            }
            for (key, (report, _)) in &world.workers[i].tasks {
                if report.phase == TaskPhase::Finished && !self.finished.contains(key) {
                    self.finished.insert(key.clone());
                }
            }
        }
        Ok(())
    }

    fn see_start(&mut self, world: &World, key: TaskKey) -> Result<(), String> {
        let spec = &world.store.records[&key.job].0.spec;
        let earlier = self
            .begun
            .keys()
            .find(|k| k.job == key.job && k.attempt != key.attempt);
        if let (Some(earlier), false) = (earlier, spec.is_stoppable()) {
            return Err(format!("{key:?} began although {earlier:?} had run"));
        }
        let times = self.begun.entry(key.clone()).or_default();
        *times += 1;
        if *times > 1 {
            return Err(format!("{key:?} began twice"));
        }
        Ok(())
    }

    fn see_gangs(&mut self, world: &World) -> Result<(), String> {
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
            self.see_gang(world, key, &tasks)?;
        }
        Ok(())
    }

    fn see_gang(
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
        let begun = |task| {
            let (job, attempt) = key.clone();
            self.begun.contains_key(&TaskKey { job, attempt, task })
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
        // Events are seen at ticks, so that each wait may take one more of them.
        let slack = Millis(world.params.tick.0 * 2 * (elections + 1));
        let bound = match (elections, (0..size).all(begun)) {
            (0, false) if self.elections == 1 => timing.partial_start(),
            _ => timing.partial(elections),
        };
        if world.now > partial.since + bound + slack {
            return Err(format!("{key:?} runs partially since {}", partial.since));
        }
        Ok(())
    }

    fn see_records(&mut self, world: &World) -> Result<(), String> {
        for (id, (rec, _)) in &world.store.records {
            let JobPhase::Done { outcome } = &rec.phase else {
                if self.done.contains_key(id) {
                    return Err(format!("{id} went on after its outcome"));
                }
                continue;
            };
            let first = self.done.entry(id.clone()).or_insert(outcome.clone());
            if first != outcome {
                return Err(format!("{id} has two outcomes: {first}, {outcome}"));
            }
            self.see_outcome(rec.spec.shape.tasks, id, rec.attempt, outcome)?;
        }
        Ok(())
    }

    fn see_outcome(
        &self,
        tasks: u32,
        id: &JobId,
        attempt: Attempt,
        outcome: &JobOutcome,
    ) -> Result<(), String> {
        if outcome.outcome() == Outcome::NotRun && self.ran(id) {
            return Err(format!("{id} ran, and its outcome is: {outcome}"));
        }
        let key = |task| TaskKey {
            job: id.clone(),
            attempt,
            task,
        };
        let finished = (0..tasks).all(|t| self.finished.contains(&key(t)));
        if *outcome == JobOutcome::Finished && !finished {
            return Err(format!("{id} is recorded as finished and is not"));
        }
        Ok(())
    }
}
