//! The planning pass over all waiting steps: which tasks start on which workers, and what is
//! preempted for them.

use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::Set;
use base::WorkerId;

use crate::job::Job;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::job::StepState;
use crate::place::best_fit;
use crate::place::place_gang;
use crate::place::Candidate;
use crate::place::Limits;
use crate::preempt;
use crate::rank::rank;
use crate::rank::Rank;
use crate::rank::RankInput;
use crate::reserve;
use crate::scheduler::Scheduler;
use crate::scheduler::StartRequest;
use crate::spec::Resources;
use crate::spec::RunNumber;
use crate::spec::StepId;
use crate::spec::StepSpec;
use crate::spec::TaskId;

mod prefetch;
mod victims;

pub(crate) use victims::can_spare_one;
pub(crate) use victims::lost_by_stopping;

/// Time for which a task waits for a worker on which it has not failed.
const AVOID_TIME: Millis = Millis(2_000);

/// Most gangs that resources are reserved for at a time.
const MAX_RESERVED_GANGS: usize = 2;

/// Time that a gang waits before resources are reserved for it.
const RESERVE_AFTER: Millis = Millis(500);

/// Time to notice the end of a stopped task and start its successor, beside the grace period.
const TURNAROUND: Millis = Millis(700);

/// A step with tasks that could start.
struct WaitingStep {
    job: JobId,
    occurrence: u32,
    step: u16,
    rank: Rank,
    guaranteed: bool,
}

/// State of one planning pass.
struct Pass {
    candidates: Vec<Candidate>,
    /// Free resources that may be used, by the index in `candidates`.
    free: Vec<Resources>,
    reserved: usize,
    now: Millis,
}

impl Scheduler {
    /// Plans starts and stops. The start requests are sent once they are recorded.
    pub fn plan(&mut self, now: Millis, wall: Millis) {
        let live = &self.live;
        self.advice.begin_pass(|job| live.contains(job));
        let mut waiting = self.waiting_steps(now, wall);
        let upcoming = self.upcoming_steps(now);
        if waiting.is_empty() && upcoming.is_empty() {
            return;
        }
        waiting.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.job.cmp(&b.job)));
        let mut candidates = self.candidates(now);
        reserve::reserve_urgent(&mut candidates, self.urgent.accels(now));
        let mut pass = Pass {
            free: candidates.iter().map(|c| c.free).collect(),
            candidates,
            reserved: 0,
            now,
        };
        for at in waiting {
            self.plan_step(&mut pass, &at);
        }
        for (step, rule) in upcoming {
            self.request_ahead(&pass, &step, rule);
        }
    }

    fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (id, worker) in &self.workers {
            if !self.is_usable(worker, now) {
                continue;
            }
            let mut has_serving = false;
            let mut releasing = Resources::default();
            let mut running = Vec::with_capacity(worker.open.len());
            for task in worker.open.keys() {
                let Some(open) = self.open_run(task) else {
                    continue;
                };
                let need = self.occupied(task);
                let spec = self.jobs.get(&task.job).and_then(|j| j.spec(task));
                has_serving |= spec.is_some_and(|s| s.serving_target().is_some());
                if open.phase == RunPhase::Stopping {
                    releasing += need;
                }
                running.push((self.time_left(task, open, now), need));
            }
            candidates.push(Candidate {
                id: id.clone(),
                pool: worker.entry.pool.clone(),
                labels: worker.entry.labels.clone(),
                rack: worker.entry.rack().map(str::to_string),
                capacity: worker.entry.capacity,
                free: worker.free(),
                releasing,
                running,
                reserved_until: None,
                urgent_only: false,
                penalty: worker.penalty(),
                has_serving,
            });
        }
        candidates.sort_by(|a, b| a.id.cmp(&b.id));
        candidates
    }

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

    fn occupied(&self, task: &TaskId) -> Resources {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.spec(task))
            .map(StepSpec::occupies)
            .unwrap_or_default()
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

    /// Jobs of priority 0 that are covered by their organisation's guarantee. The jobs accepted
    /// first are covered first.
    fn guaranteed(&self) -> Set<JobId> {
        let urgent = self.live.iter().filter_map(|id| self.jobs.get(id));
        let mut urgent: Vec<&Job> = urgent
            .filter(|j| j.submitted.priority == 0 && !j.phase.is_final())
            .collect();
        urgent.sort_by(|a, b| {
            a.submitted
                .at
                .cmp(&b.submitted.at)
                .then_with(|| a.id.cmp(&b.id))
        });
        let mut sums: Map<&OrgId, u64> = Map::default();
        let mut found = Set::default();
        for job in urgent {
            let Some(org) = &job.submitted.org else {
                continue;
            };
            let sum = sums.entry(org).or_default();
            *sum += job.accels();
            if *sum <= self.catalog.guarantee(org) {
                found.insert(job.id.clone());
            }
        }
        found
    }

    /// Steps of which tasks could start now.
    fn waiting_steps(&mut self, now: Millis, wall: Millis) -> Vec<WaitingStep> {
        let guaranteed = self.guaranteed();
        let mut out = Vec::new();
        for id in &self.live {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if job.phase.is_final() {
                continue;
            }
            let is_guaranteed = guaranteed.contains(id);
            let ratio = self
                .ratios
                .get(&job.submitted.queue)
                .copied()
                .unwrap_or(100);
            let Job {
                submitted, open, ..
            } = job;
            for (&occurrence, state) in open.iter_mut() {
                let left = submitted
                    .work
                    .remaining_path(|step| state.steps[step].is_done());
                let rank = rank(&RankInput {
                    priority: submitted.priority,
                    guaranteed: is_guaranteed,
                    age: wall.since(submitted.due(occurrence)),
                    objective: submitted.objective,
                    left: Millis(left.0 * u64::from(ratio) / 100),
                });
                for (num, spec) in submitted.work.steps.iter().enumerate() {
                    if !state.is_ready(spec) || !is_startable(&state.steps[num], spec, now) {
                        continue;
                    }
                    state.steps[num].ready_at.get_or_insert(now);
                    out.push(WaitingStep {
                        job: id.clone(),
                        occurrence,
                        step: num as u16,
                        rank,
                        guaranteed: is_guaranteed,
                    });
                }
            }
        }
        out
    }

    fn plan_step(&mut self, pass: &mut Pass, at: &WaitingStep) {
        let now = pass.now;
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let Some(state) = job.open.get(&at.occurrence) else {
            return;
        };
        let spec = job.submitted.work.steps[usize::from(at.step)].clone();
        let state = &state.steps[usize::from(at.step)];
        let pool = self.pool_of(job);
        let rule = self.advice_rule(job);
        let step_id = StepId {
            job: at.job.clone(),
            occurrence: at.occurrence,
            step: at.step,
        };
        let allowed = rule.map(|_| self.allowed(&step_id, now));
        let waited = now.since(state.ready_at.unwrap_or(now));
        let missing = state
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| !t.done && t.open.is_none());
        let avoids = waited < AVOID_TIME;
        let missing: Vec<(u16, Vec<WorkerId>)> = missing
            .map(|(index, t)| {
                (
                    index as u16,
                    if avoids { t.avoid.clone() } else { Vec::new() },
                )
            })
            .collect();
        let mut on_worker = on_workers(
            &pass.candidates,
            state.tasks.iter().filter_map(|t| t.open.as_ref()),
        );
        let urgent = job.submitted.priority == 0;
        let limits = Limits {
            pool: &pool,
            avoid: &[],
            on_worker: &[],
            remote: spec.data_rack.is_none() || waited > self.locality_wait(&spec),
            rack: None,
            duration: self.expected(job, at.step),
            // A checkpointing task loses almost nothing when an urgent one preempts it.
            urgent: urgent || spec.checkpoints,
            allowed: allowed.as_ref(),
        };
        let unplaced = match spec.gang {
            true => {
                let avoid: Vec<WorkerId> = missing.iter().flat_map(|(_, a)| a.clone()).collect();
                let limits = Limits {
                    avoid: &avoid,
                    on_worker: &on_worker,
                    ..limits
                };
                let run = state.last_run().next();
                let Pass {
                    candidates, free, ..
                } = pass;
                let found = place_gang(candidates, free, &spec, &limits, missing.len());
                if let Some(chosen) = found {
                    for ((index, _), num) in missing.iter().zip(chosen) {
                        pass.candidates[num].free = pass.free[num];
                        self.start(at, *index, run, &pass.candidates[num].id.clone(), now);
                    }
                    self.clear_waiting(at);
                    return;
                }
                missing.len()
            }
            false => {
                let mut unplaced = 0;
                for (index, avoid) in &missing {
                    let limits = Limits {
                        avoid,
                        on_worker: &on_worker,
                        ..limits
                    };
                    let Some(num) = best_fit(&pass.candidates, &pass.free, &spec, &limits) else {
                        unplaced += 1;
                        continue;
                    };
                    pass.free[num] -= spec.occupies();
                    pass.candidates[num].free = pass.free[num];
                    on_worker[num] += 1;
                    let run = self.last_run(at, *index).next();
                    self.start(at, *index, run, &pass.candidates[num].id.clone(), now);
                }
                unplaced
            }
        };
        if unplaced == 0 {
            self.clear_waiting(at);
            return;
        }
        let avoid: Vec<WorkerId> = missing.iter().flat_map(|(_, a)| a.clone()).collect();
        let limits = Limits {
            avoid: &avoid,
            on_worker: &on_worker,
            ..limits
        };
        if let Some(rule) = rule {
            self.advice
                .enqueue(&step_id, rule, &pass.candidates, (&spec, &limits), unplaced);
        }
        if urgent && at.rank.may_preempt() {
            let worth = preempt::work(&spec.need, limits.duration) * unplaced as u64;
            let most = self.max_loss(waited, at.guaranteed, worth);
            if self.preempt_for(pass, at, &spec, &limits, unplaced, most) {
                return;
            }
        }
        let starved = waited >= RESERVE_AFTER && !at.rank.is_expired();
        if spec.gang && starved && pass.reserved < MAX_RESERVED_GANGS {
            reserve::reserve_gang(&mut pass.candidates, &spec, &limits, unplaced);
            pass.reserved += 1;
        }
    }

    /// Most work, in core-milliseconds, that may be lost to start a waiting step of priority 0.
    fn max_loss(&self, waited: Millis, guaranteed: bool, worth: u64) -> u64 {
        let last = self
            .bounds
            .reclaim
            .since(self.bounds.stop_grace + TURNAROUND);
        match waited {
            _ if guaranteed && waited >= Millis(last.0 / 2) => u64::MAX,
            _ if guaranteed => worth * 2,
            _ => worth,
        }
    }

    /// Time that a step waits for the rack of its data: half of what running elsewhere costs.
    fn locality_wait(&self, spec: &StepSpec) -> Millis {
        Millis(spec.estimate.0 * self.bounds.remote_factor.saturating_sub(1) / 2)
    }

    /// Clears the waiting time of a step whose tasks are all placed. After a restart it is counted
    /// from zero.
    fn clear_waiting(&mut self, at: &WaitingStep) {
        let job = self.jobs.get_mut(&at.job);
        let state = job.and_then(|j| j.open.get_mut(&at.occurrence));
        if let Some(state) = state {
            state.steps[usize::from(at.step)].ready_at = None;
        }
    }

    fn last_run(&self, at: &WaitingStep, index: u16) -> RunNumber {
        let state = self
            .jobs
            .get(&at.job)
            .and_then(|j| j.open.get(&at.occurrence));
        let task = state.and_then(|o| o.steps[usize::from(at.step)].tasks.get(usize::from(index)));
        task.map(|t| t.run).unwrap_or_default()
    }

    fn start(&mut self, at: &WaitingStep, index: u16, run: RunNumber, id: &WorkerId, now: Millis) {
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
        let spec = job.submitted.work.spec.clone();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(state) = job.task_mut(&task) else {
            return;
        };
        state.run = run;
        state.open = Some(OpenRun::planned(run, id.clone(), worker.born, now));
        worker.used += need;
        worker.open.insert(task.clone(), run);
        self.planned.push(StartRequest {
            saved: state.saved.clone(),
            ticket: self.advice.ticket(&task.step_id(), id),
            run,
            worker: id.clone(),
            born: worker.born,
            address: worker.entry.address,
            spec,
            deadline: 0,
            epoch: self.epoch,
            planned_at: now,
            task,
        });
        self.dirty.insert(at.job.clone());
    }

    /// Preempts work of lower priority for the tasks of a step, and reserves the freed resources
    /// for them. Returns false if the tasks would still not fit, or if too much work would be lost.
    fn preempt_for(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        spec: &StepSpec,
        limits: &Limits,
        count: usize,
        most: u64,
    ) -> bool {
        let (victims, tasks) = self.victims(&pass.candidates, pass.now);
        let Some(choice) = preempt::choose(&pass.candidates, &victims, spec, limits, count) else {
            return false;
        };
        if choice.loss > most {
            return false;
        }
        let need = spec.occupies();
        for &num in &choice.workers {
            let candidate = &mut pass.candidates[num];
            let rest = need.saturating_sub(&candidate.free);
            candidate.free -= need;
            candidate.releasing -= rest;
            pass.free[num] = candidate.free;
        }
        for victim in choice.victims {
            for task in &tasks[victim] {
                self.stop_run(task);
            }
            if let Some(task) = tasks[victim].first() {
                let num = tasks[victim].len();
                let text = format!(
                    "stopping {num} runs, one of {task}, for urgent job {}",
                    at.job
                );
                self.log(Some(&task.job), text);
            }
        }
        true
    }
}

/// Whether a step has tasks to start. A gang does so only once none of its tasks has an open run.
fn is_startable(state: &StepState, spec: &StepSpec, now: Millis) -> bool {
    let waits = state.tasks.iter().any(|t| !t.done && t.open.is_none());
    waits && !(spec.gang && state.is_open()) && now >= state.not_before
}

/// Number of tasks of a step on each worker.
fn on_workers<'a>(candidates: &[Candidate], open: impl Iterator<Item = &'a OpenRun>) -> Vec<u32> {
    let mut counts = vec![0; candidates.len()];
    for run in open {
        if let Ok(num) = candidates.binary_search_by(|c| c.id.cmp(&run.worker)) {
            counts[num] += 1;
        }
    }
    counts
}
