//! The steps that wait for resources, and the order in which they are served.

use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::Set;

use super::pass::Failure;
use super::Pass;
use super::WaitingStep;
use crate::job::Job;
use crate::job::StepState;
use crate::rank::rank;
use crate::rank::RankInput;
use crate::scheduler::Scheduler;
use crate::spec::Resources;
use crate::spec::StepSpec;

impl Scheduler {
    /// Jobs of priority 0 that are covered by their organisation's guarantee. The jobs accepted
    /// first are covered first.
    pub(super) fn guaranteed(&self) -> Set<JobId> {
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

    /// Whether a placement that failed in this pass shows that a step finds no room, and nothing else
    /// would come of trying. With thousands of steps waiting, most are known by this.
    pub(super) fn finds_no_room(&self, pass: &Pass, at: &WaitingStep) -> bool {
        if pass.failures.is_empty() {
            return false;
        }
        let Some(job) = self.jobs.get(&at.job) else {
            return false;
        };
        let spec = &job.submitted.work.steps[usize::from(at.step)];
        let plain = !spec.gang
            && job.submitted.priority != 0
            && spec.label.is_none()
            && spec.data_rack.is_none()
            && spec.per_worker.is_none();
        let state = job.open.get(&at.occurrence);
        let ready_at = state.and_then(|o| o.steps[usize::from(at.step)].ready_at);
        let sound = state.is_some_and(|o| o.steps[usize::from(at.step)].failures() == 0);
        if !plain || !sound || self.advice_rule(job).is_some() {
            return false;
        }
        let waited = pass.now.since(ready_at.unwrap_or(pass.now));
        let failure = Failure {
            pool: self.pool_of(job),
            need: spec.occupies(),
            count: 1,
            duration: self.expected(job, at.step),
            one_rack: false,
            uses_headroom: self.uses_headroom(pass, at, waited),
            paused: self.uses_paused(pass, at, waited),
            reserved: self.is_overdue(pass, at),
        };
        pass.failures.iter().any(|f| f.covers(&failure))
    }

    /// Steps of which tasks could start now, and what they want of each organisation with a weight.
    pub(super) fn waiting_steps(
        &mut self,
        guaranteed: &Set<JobId>,
        now: Millis,
        wall: Millis,
    ) -> (Vec<WaitingStep>, Map<OrgId, Resources>) {
        let mut out = Vec::new();
        let mut wanted: Map<OrgId, Resources> = Map::default();
        let weighted = self.catalog.has_weights();
        for id in &self.live {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if job.phase.is_final() || job.aside_until.is_some() {
                continue;
            }
            let is_guaranteed = guaranteed.contains(id);
            let ratio = self
                .ratios
                .get(&job.submitted.queue)
                .copied()
                .unwrap_or(100);
            let Job {
                submitted,
                open,
                excess,
                ..
            } = job;
            let excess = *excess && !is_guaranteed;
            let mut need = Resources::default();
            for (&occurrence, state) in open.iter_mut() {
                let left = submitted
                    .work
                    .remaining_path(|step| state.steps[step].is_done());
                let age = wall.since(submitted.due(occurrence));
                let mut rank = rank(&RankInput {
                    priority: submitted.priority,
                    guaranteed: is_guaranteed,
                    age,
                    objective: submitted.objective,
                    left: Millis(left.0 * u64::from(ratio) / 100),
                });
                if excess {
                    rank = rank.behind();
                }
                for (num, spec) in submitted.work.steps.iter().enumerate() {
                    if !state.is_ready(spec) || !is_startable(&state.steps[num], spec, now) {
                        continue;
                    }
                    let step = &mut state.steps[num];
                    let since = step.unstarted_since.take();
                    step.ready_at.get_or_insert(since.unwrap_or(now));
                    if weighted {
                        let tasks = state.steps[num].tasks.iter();
                        let missing = tasks.filter(|t| !t.done && t.open.is_none());
                        need += spec.need.times(missing.count() as u64);
                    }
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
            if let Some(org) = submitted.org.as_ref().filter(|_| weighted) {
                match wanted.get_mut(org) {
                    Some(sum) => *sum += need,
                    None => drop(wanted.insert(org.clone(), need)),
                }
            }
        }
        (out, wanted)
    }
}

/// Whether a step has tasks to start. A gang does so only once none of its tasks has an open run.
fn is_startable(state: &StepState, spec: &StepSpec, now: Millis) -> bool {
    let waits = state.tasks.iter().any(|t| !t.done && t.open.is_none());
    waits && !(spec.gang && state.is_open()) && now >= state.not_before
}
