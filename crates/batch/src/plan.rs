//! One pass over the waiting steps: which tasks start where, and what is stopped for them.

use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::WorkerId;

use crate::book::Book;
use crate::book::StartOrder;
use crate::job::Job;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::place::best_fit;
use crate::place::place_all;
use crate::place::place_in_rack;
use crate::place::Limits;
use crate::place::Room;
use crate::spec::Resources;
use crate::spec::RunNumber;
use crate::spec::StepSpec;
use crate::spec::TaskId;

/// Time that a step of the highest priority waits for room before others are stopped for it.
const PREEMPT_AFTER: Millis = Millis(200);

/// Time that a step waits for room near its data, in multiples of its estimate.
const NEAR_WAIT: u64 = 1;

/// A waiting step.
struct Waiting {
    job: JobId,
    occurrence: u32,
    step: u16,
    rank: (u32, u64, Millis),
}

/// State of one pass.
struct Pass {
    rooms: Vec<Room>,
    /// Accelerators in use by jobs of priority 0 of each organisation.
    in_use: Map<OrgId, u64>,
    now: Millis,
}

impl Pass {
    fn count(&mut self, org: Option<OrgId>, accels: u64) {
        if let Some(org) = org {
            *self.in_use.entry(org).or_default() += accels;
        }
    }
}

impl Book {
    /// Plans starts and stops. The starts are sent once they are recorded.
    pub fn plan(&mut self, now: Millis, wall: Millis) {
        let mut waiting = self.waiting_steps(now, wall);
        waiting.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.job.cmp(&b.job)));
        let mut pass = Pass {
            in_use: self.guaranteed_use(),
            rooms: self.rooms(now),
            now,
        };
        for step in waiting {
            self.plan_step(&mut pass, &step);
        }
    }

    fn rooms(&self, now: Millis) -> Vec<Room> {
        let mut rooms = Vec::new();
        for (id, worker) in &self.workers {
            if !self.is_usable(worker, now) {
                continue;
            }
            let mut coming = Resources::default();
            for task in worker.open.keys() {
                let stopping = self
                    .open_run(task)
                    .is_some_and(|o| o.phase == RunPhase::Stopping);
                if stopping {
                    coming += self.occupied(task);
                }
            }
            rooms.push(Room {
                id: id.clone(),
                pool: worker.view.pool.clone(),
                labels: worker.view.labels.clone(),
                rack: worker.view.rack().map(str::to_string),
                free: worker.free(),
                coming,
            });
        }
        rooms.sort_by(|a, b| a.id.cmp(&b.id));
        rooms
    }

    fn occupied(&self, task: &TaskId) -> Resources {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.spec(task))
            .map(StepSpec::occupies)
            .unwrap_or_default()
    }

    /// Steps that could start tasks now.
    fn waiting_steps(&mut self, now: Millis, wall: Millis) -> Vec<Waiting> {
        let mut out = Vec::new();
        for id in &self.live {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if job.phase.is_final() {
                continue;
            }
            let due_by = due_by(job, wall, now);
            let Job { given, open, .. } = job;
            for (&occurrence, state) in open.iter_mut() {
                for (num, spec) in given.work.steps.iter().enumerate() {
                    if !state.is_ready(spec) {
                        continue;
                    }
                    let step = &mut state.steps[num];
                    let all_closed = !step.is_open();
                    let startable = step.tasks.iter().any(|t| !t.done && t.open.is_none());
                    if !startable || (spec.gang && !all_closed) || now < step.not_before {
                        continue;
                    }
                    step.ready_at.get_or_insert(now);
                    out.push(Waiting {
                        job: id.clone(),
                        occurrence,
                        step: num as u16,
                        rank: (given.priority, 0, due_by),
                    });
                }
            }
        }
        out
    }

    /// Accelerators in use by jobs of priority 0 of each organisation.
    fn guaranteed_use(&self) -> Map<OrgId, u64> {
        let mut sums: Map<OrgId, u64> = Map::default();
        for id in &self.live {
            let Some(job) = self.jobs.get(id).filter(|j| j.given.priority == 0) else {
                continue;
            };
            let Some(org) = &job.given.org else { continue };
            let tasks = job.open_tasks();
            let accels: u64 = tasks.iter().map(|t| self.occupied(t).accels).sum();
            *sums.entry(org.clone()).or_default() += accels;
        }
        sums
    }

    fn plan_step(&mut self, pass: &mut Pass, at: &Waiting) {
        let now = pass.now;
        let rooms = &mut pass.rooms;
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let Some(state) = job.open.get(&at.occurrence) else {
            return;
        };
        let spec = job.given.work.steps[usize::from(at.step)].clone();
        let state = &state.steps[usize::from(at.step)];
        let pool = match self.catalog.queue(&job.given.queue) {
            Some(queue) => queue.pool.clone(),
            None => job.given.pool.clone(),
        };
        let waited = now.since(state.ready_at.unwrap_or(now));
        let missing = state
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| !t.done && t.open.is_none());
        let missing: Vec<(u16, Vec<WorkerId>)> = missing
            .map(|(index, t)| (index as u16, t.avoid.clone()))
            .collect();
        let on_worker = on_workers(rooms, state.tasks.iter().filter_map(|t| t.open.as_ref()));
        let urgent = job.given.priority == 0;
        let org = job.given.org.clone();
        let remote = spec.data_rack.is_none() || waited.0 > spec.estimate.0 * NEAR_WAIT;
        let mut limits = Limits {
            pool: &pool,
            avoid: &[],
            on_worker: &on_worker,
            remote,
            rack: None,
        };
        if spec.gang {
            let avoid: Vec<WorkerId> = missing.iter().flat_map(|(_, a)| a.clone()).collect();
            limits.avoid = &avoid;
            let found = match spec.one_rack {
                true => place_in_rack(rooms, &spec, &limits, missing.len()),
                false => place_all(rooms, &spec, &limits, missing.len()),
            };
            if let Some(chosen) = found {
                let run = state.last_run().next();
                let tasks: Vec<(u16, usize)> = missing.iter().map(|m| m.0).zip(chosen).collect();
                for (index, num) in tasks {
                    self.start(at, index, run, &rooms[num].id.clone(), now);
                }
                return;
            }
            let accels = spec.need.accels * missing.len() as u64;
            if urgent && self.may_preempt(waited, org.as_ref(), &pass.in_use, accels) {
                self.preempt(rooms, &spec, &limits, missing.len(), now);
                pass.count(org, accels);
            }
            return;
        }
        let mut on_worker = on_worker.clone();
        let mut short = 0;
        for (index, avoid) in missing {
            let limits = Limits {
                avoid: &avoid,
                on_worker: &on_worker,
                ..limits
            };
            let Some(num) = best_fit(rooms, &spec, &limits) else {
                short += 1;
                if avoid.is_empty() {
                    break;
                }
                continue;
            };
            rooms[num].free -= spec.occupies();
            on_worker[num] += 1;
            let run = self.last_run(at, index).next();
            self.start(at, index, run, &rooms[num].id.clone(), now);
        }
        let accels = spec.need.accels * short as u64;
        if short > 0 && urgent && self.may_preempt(waited, org.as_ref(), &pass.in_use, accels) {
            let limits = Limits {
                on_worker: &on_worker,
                ..limits
            };
            self.preempt(rooms, &spec, &limits, short, now);
            pass.count(org, accels);
        }
    }

    /// Whether other work may be stopped for a step of the highest priority.
    fn may_preempt(
        &self,
        waited: Millis,
        org: Option<&OrgId>,
        in_use: &Map<OrgId, u64>,
        accels: u64,
    ) -> bool {
        let guarantee = org.map_or(0, |o| self.catalog.guarantee(o));
        let used = org.and_then(|o| in_use.get(o)).copied().unwrap_or(0);
        let pause = match used + accels <= guarantee {
            true => PREEMPT_AFTER,
            false => Millis(PREEMPT_AFTER.0 * 2),
        };
        waited >= pause
    }

    fn last_run(&self, at: &Waiting, index: u16) -> RunNumber {
        let state = self
            .jobs
            .get(&at.job)
            .and_then(|j| j.open.get(&at.occurrence));
        let task = state.and_then(|o| o.steps[usize::from(at.step)].tasks.get(usize::from(index)));
        task.map(|t| t.run).unwrap_or_default()
    }

    fn start(&mut self, at: &Waiting, index: u16, run: RunNumber, id: &WorkerId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let task = TaskId {
            job: at.job.clone(),
            occurrence: at.occurrence,
            step: at.step,
            index,
        };
        let need = job.spec(&task).map(StepSpec::occupies).unwrap_or_default();
        let spec = job.given.work.spec.clone();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(state) = job.task_mut(&task) else {
            return;
        };
        state.run = run;
        state.open = Some(OpenRun {
            run,
            worker: id.clone(),
            born: worker.born,
            phase: RunPhase::Planned,
            since: now,
            settled: None,
            stop_sent: None,
            seen: None,
            saved_at: None,
            percent: 0,
        });
        worker.used += need;
        worker.open.insert(task.clone(), run);
        self.planned.push(StartOrder {
            saved: state.saved.clone(),
            run,
            worker: id.clone(),
            born: worker.born,
            address: worker.view.address,
            spec,
            deadline: 0,
            epoch: self.epoch,
            since: now,
            task,
        });
        self.dirty.insert(at.job.clone());
    }
}

/// Tasks of a step on each room.
fn on_workers<'a>(rooms: &[Room], open: impl Iterator<Item = &'a OpenRun>) -> Vec<u32> {
    let mut counts = vec![0; rooms.len()];
    for run in open {
        if let Some(num) = rooms.iter().position(|r| r.id == run.worker) {
            counts[num] += 1;
        }
    }
    counts
}

/// When a job should be completed, by the coordinator's clock.
fn due_by(job: &Job, wall: Millis, now: Millis) -> Millis {
    let age = wall.since(job.given.at);
    Millis((now.0 + job.given.objective.0).saturating_sub(age.0))
}
