//! Requests to the adviser for steps whose dependencies are about to end, so that their tickets
//! have arrived when they can start.

use base::Millis;
use base::ServiceId;
use base::Set;
use base::WorkerId;

use super::Pass;
use crate::advice::AdviceRule;
use crate::job::Job;
use crate::job::Occurrence;
use crate::place::Limits;
use crate::preempt::VictimKind;
use crate::scheduler::Scheduler;
use crate::spec::StepId;
use crate::spec::StepSpec;
use crate::spec::TaskId;
use crate::suit::SpeedNeed;

impl Scheduler {
    /// The pool that runs the job under the current configuration.
    pub(crate) fn pool_of(&self, job: &Job) -> ServiceId {
        let queue = self.catalog.queue(&job.submitted.queue);
        queue.map_or(&job.submitted.pool, |q| &q.pool).clone()
    }

    /// The adviser's response times for a job, if its queue has an adviser.
    pub(crate) fn advice_rule(&self, job: &Job) -> Option<AdviceRule> {
        self.catalog.queue(&job.submitted.queue)?.advice
    }

    /// Workers with a valid ticket for a step.
    pub(super) fn allowed(&self, step: &StepId, now: Millis) -> Set<WorkerId> {
        let born = |id: &WorkerId| self.workers.get(id).map_or(0, |w| w.born);
        self.advice.allowed(step, now, born)
    }

    /// Steps whose dependencies are expected to end within the time that the adviser needs.
    pub(super) fn upcoming_steps(&self, now: Millis) -> Vec<(StepId, AdviceRule)> {
        if self.catalog.queues.iter().all(|q| q.advice.is_none()) {
            return Vec::new();
        }
        let mut found = Vec::new();
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            let Some(rule) = self.advice_rule(job) else {
                continue;
            };
            if job.phase.is_final() {
                continue;
            }
            for (&occurrence, state) in &job.open {
                for (num, spec) in job.submitted.work.steps.iter().enumerate() {
                    let step = StepId {
                        job: job.id.clone(),
                        occurrence,
                        step: num as u16,
                    };
                    if !state.is_ready(spec)
                        && self.is_near_ready(job, &step, state, spec, rule, now)
                    {
                        found.push((step, rule));
                    }
                }
            }
        }
        found
    }

    fn is_near_ready(
        &self,
        job: &Job,
        at: &StepId,
        state: &Occurrence,
        spec: &StepSpec,
        rule: AdviceRule,
        now: Millis,
    ) -> bool {
        let takes = rule.call_time(spec.count as usize);
        spec.after.iter().all(|&before| {
            let tasks = state.steps[usize::from(before)].tasks.iter().enumerate();
            let mut open = tasks.filter(|(_, task)| !task.done);
            open.all(|(index, task)| {
                let id = TaskId {
                    job: job.id.clone(),
                    occurrence: at.occurrence,
                    step: before,
                    index: index as u16,
                };
                let run = task.open.as_ref();
                run.is_some_and(|run| self.time_left(&id, run, now) <= takes)
            })
        })
    }

    /// Queues a request for a step that cannot start yet, unless it has a valid ticket already.
    pub(super) fn request_ahead(&mut self, pass: &Pass, step: &StepId, rule: AdviceRule) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let spec = &job.submitted.work.steps[usize::from(step.step)];
        let pool = self.pool_of(job);
        let allowed = self.allowed(step, pass.now);
        if !allowed.is_empty() {
            return;
        }
        let none = vec![0; pass.candidates.len()];
        let limits = Limits {
            pool: &pool,
            avoid: &[],
            on_worker: &none,
            remote: true,
            rack: None,
            duration: spec.estimate,
            paused: false,
            reserved: false,
            uses_headroom: true,
            displaces: VictimKind::Ordinary,
            allowed: Some(&allowed),
            speed: SpeedNeed::default(),
        };
        let count = spec.count as usize;
        self.advice
            .enqueue(step, rule, &pass.candidates, (spec, &limits), count);
    }
}
