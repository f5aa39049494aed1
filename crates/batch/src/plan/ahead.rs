//! Steps that wait for earlier ones and need an adviser's word: it is asked for ahead.

use base::Millis;
use base::WorkerId;

use super::Pass;
use crate::advice::AdviceRule;
use crate::book::Book;
use crate::job::Job;
use crate::job::Occurrence;
use crate::place::Limits;
use crate::spec::StepId;
use crate::spec::StepSpec;
use crate::spec::TaskId;

impl Book {
    /// Steps whose earlier steps end within the time that the adviser takes.
    pub(super) fn coming_steps(&self, now: Millis) -> Vec<(StepId, AdviceRule)> {
        if self.catalog.queues.iter().all(|q| q.advice.is_none()) {
            return Vec::new();
        }
        let mut found = Vec::new();
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            let queue = self.catalog.queue(&job.given.queue);
            let Some(rule) = queue.and_then(|q| q.advice) else {
                continue;
            };
            if job.phase.is_final() {
                continue;
            }
            for (&occurrence, state) in &job.open {
                for (num, spec) in job.given.work.steps.iter().enumerate() {
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
        let takes = rule.takes(spec.count as usize);
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

    /// Asks for workers of a step that cannot start yet, unless some are known.
    pub(super) fn advise(&mut self, pass: &Pass, step: &StepId, rule: AdviceRule) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let spec = &job.given.work.steps[usize::from(step.step)];
        let queue = self.catalog.queue(&job.given.queue);
        let pool = queue.map_or(&job.given.pool, |q| &q.pool);
        let workers = &self.workers;
        let born = |id: &WorkerId| workers.get(id).map_or(0, |w| w.born);
        let allowed = self.advice.allowed(step, pass.now, born);
        if !allowed.is_empty() {
            return;
        }
        let none = vec![0; pass.rooms.len()];
        let limits = Limits {
            pool,
            avoid: &[],
            on_worker: &none,
            remote: true,
            rack: None,
            lasts: spec.estimate,
            urgent: job.given.priority == 0,
            allowed: Some(&allowed),
        };
        let count = spec.count as usize;
        self.advice
            .want(step, rule, &pass.rooms, (spec, &limits), count);
    }
}
