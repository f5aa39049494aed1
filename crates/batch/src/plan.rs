//! The planning pass over all waiting steps: which tasks start on which workers, and what is
//! preempted for them.

use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::Set;
use base::WorkerId;

use crate::health::waits_for_proof;
use crate::job::Job;
use crate::job::OpenRun;
use crate::job::StepState;
use crate::place::best_among;
use crate::place::eligible_among;
use crate::place::place_gang_among;
use crate::place::Candidate;
use crate::place::Limits;
use crate::preempt;
use crate::rank::rank;
use crate::rank::Rank;
use crate::rank::RankInput;
use crate::reserve;
use crate::scheduler::Scheduler;
use crate::scheduler::StartRequest;
use crate::spec::RunNumber;
use crate::spec::StepId;
use crate::spec::StepSpec;
use crate::spec::TaskId;
use crate::worker::UNPROVED_PENALTY;

mod candidates;
mod pass;
mod prefetch;
mod victims;

use pass::Failure;
use pass::Pass;
use victims::Preemption;
use victims::Pressure;

pub(crate) use victims::can_spare_one;
pub(crate) use victims::lost_by_stopping;

/// Time for which a task waits for a worker on which it has not failed.
const AVOID_TIME: Millis = Millis(2_000);

/// Most gangs that resources are reserved for at a time.
const MAX_RESERVED_GANGS: usize = 2;

/// Time that a gang waits before resources are reserved for it.
const RESERVE_AFTER: Millis = Millis(500);

/// A step with tasks that could start.
struct WaitingStep {
    job: JobId,
    occurrence: u32,
    step: u16,
    rank: Rank,
    guaranteed: bool,
    /// Time since the job was accepted, or since the occurrence was due.
    age: Millis,
}

impl Scheduler {
    /// Plans starts and stops. The start requests are sent once they are recorded.
    pub fn plan(&mut self, now: Millis, wall: Millis) {
        let live = &self.live;
        self.advice.begin_pass(|job| live.contains(job));
        let guaranteed = self.guaranteed();
        let mut waiting = self.waiting_steps(&guaranteed, now, wall);
        let upcoming = self.upcoming_steps(now);
        if waiting.is_empty() && upcoming.is_empty() {
            return;
        }
        waiting.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.job.cmp(&b.job)));
        let mut candidates = self.candidates(now);
        reserve::reserve_urgent(&mut candidates, self.urgent.accels(now));
        let mut pass = Pass::new(candidates, guaranteed, now);
        for at in waiting {
            self.plan_step(&mut pass, &at, true);
        }
        for (step, rule) in upcoming {
            self.request_ahead(&pass, &step, rule);
        }
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
    fn waiting_steps(
        &mut self,
        guaranteed: &Set<JobId>,
        now: Millis,
        wall: Millis,
    ) -> Vec<WaitingStep> {
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
                let age = wall.since(submitted.due(occurrence));
                let rank = rank(&RankInput {
                    priority: submitted.priority,
                    guaranteed: is_guaranteed,
                    age,
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
                        age,
                    });
                }
            }
        }
        out
    }

    /// Places the tasks of a step or stops runs for them. Racks that the step asks for are kept to if
    /// `keep_racks` is set.
    fn plan_step(&mut self, pass: &mut Pass, at: &WaitingStep, keep_racks: bool) {
        let now = pass.now;
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let Some(state) = job.open.get(&at.occurrence) else {
            return;
        };
        let mut spec = job.submitted.work.steps[usize::from(at.step)].clone();
        spec.one_rack &= keep_racks;
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
        let pressure = self.pressure(at, &spec, state, waited);
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
            remote: spec.data_rack.is_none() || !keep_racks || waited > self.locality_wait(&spec),
            rack: None,
            duration: self.expected(job, at.step),
            // A checkpointing task loses almost nothing when an urgent one preempts it.
            urgent: urgent || spec.checkpoints,
            displaces_urgent: pressure == Pressure::Last,
            allowed: allowed.as_ref(),
        };
        let pool_workers = pass.pools.get(&pool).map_or(&[][..], Vec::as_slice);
        // A gang avoids the workers of all its failed tasks; other tasks avoid their own below.
        let gang_avoid: Vec<WorkerId> = match spec.gang {
            true => missing.iter().flat_map(|(_, a)| a.clone()).collect(),
            false => Vec::new(),
        };
        let step_limits = Limits {
            avoid: &gang_avoid,
            on_worker: &on_worker,
            ..limits
        };
        let among = eligible_among(pool_workers, &pass.candidates, &spec, &step_limits);
        // A job that has failed goes to proven workers only, for a while.
        let failures = state.failures();
        let careful = waits_for_proof(failures, job.submitted.attempts, waited);
        let among: Vec<usize> = match careful {
            true => among
                .into_iter()
                .filter(|&num| pass.candidates[num].penalty < UNPROVED_PENALTY)
                .collect(),
            false => among,
        };
        let plain = spec.label.is_none()
            && spec.data_rack.is_none()
            && spec.per_worker.is_none()
            && !careful
            && allowed.is_none();
        let attempt = Failure {
            pool: pool.clone(),
            need: spec.occupies(),
            count: if spec.gang { missing.len() } else { 1 },
            duration: limits.duration,
            one_rack: spec.gang && spec.one_rack,
            urgent: limits.urgent,
        };
        let futile = plain && pass.failures.iter().any(|f| f.covers(&attempt));
        let unplaced = match spec.gang {
            _ if futile => missing.len(),
            true => {
                let run = state.last_run().next();
                let limits = Limits {
                    on_worker: &on_worker,
                    ..limits
                };
                let Pass {
                    candidates, free, ..
                } = pass;
                let count = missing.len();
                let found = place_gang_among(&among, candidates, free, &spec, &limits, count);
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
                let mut is_full = false;
                for (index, avoid) in &missing {
                    let limits = Limits {
                        avoid,
                        on_worker: &on_worker,
                        ..limits
                    };
                    let found = match is_full {
                        true => None,
                        false => best_among(&among, &pass.candidates, &pass.free, &spec, &limits),
                    };
                    let Some(num) = found else {
                        // The other tasks need the same, so they fit nowhere either.
                        is_full |= avoid.is_empty();
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
        let plain = plain && avoid.is_empty();
        if plain && !futile {
            pass.failures.push(attempt.clone());
        }
        let limits = Limits {
            avoid: &avoid,
            on_worker: &on_worker,
            ..limits
        };
        let among: Vec<usize> = match spec.gang {
            true => among,
            false => eligible_among(&among, &pass.candidates, &spec, &limits),
        };
        if let Some(rule) = rule {
            self.advice
                .enqueue(&step_id, rule, &pass.candidates, (&spec, &limits), unplaced);
        }
        if urgent && at.rank.may_preempt() {
            let worth = preempt::work(&spec.need, limits.duration) * unplaced as u64;
            let most = pressure.max_loss(at.guaranteed, worth);
            // A gang that needs as much as one that could not be helped, and may cost no more, cannot
            // be helped either.
            let known = plain && spec.gang;
            let hopeless = known
                && pass
                    .unaffordable
                    .iter()
                    .any(|(f, m)| f.covers(&attempt) && most <= *m);
            let attempted = match hopeless {
                true => Preemption::NoChoice,
                false => self.preempt_for(pass, at, &among, (&spec, &limits), unplaced, most),
            };
            let asks_rack = spec.one_rack || spec.data_rack.is_some() && !limits.remote;
            if attempted == Preemption::NoChoice && pressure == Pressure::Last && asks_rack {
                // No rack can be freed in time; elsewhere the step is slower, but it begins.
                self.plan_step(pass, at, false);
                return;
            }
            self.log_delay(at, &among, &attempted);
            if attempted == Preemption::Begun {
                return;
            }
            if known && !hopeless {
                pass.unaffordable.push((attempt, most));
            }
        }
        let starved = waited >= RESERVE_AFTER && !at.rank.is_expired();
        if spec.gang && starved && pass.reserved < MAX_RESERVED_GANGS {
            if pass.reserved == 0 {
                self.add_running(&mut pass.candidates, now);
            }
            reserve::reserve_among(&among, &mut pass.candidates, &spec, &limits, unplaced);
            pass.reserved += 1;
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
        let Some(step) = job.spec(&task).cloned() else {
            return;
        };
        let spec = job.submitted.work.spec.clone();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(state) = job.task_mut(&task) else {
            return;
        };
        state.run = run;
        state.open = Some(OpenRun::planned(run, id.clone(), worker.born, now));
        worker.add_run(task.clone(), run, &step);
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
