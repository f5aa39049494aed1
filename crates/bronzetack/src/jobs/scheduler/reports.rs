//! Handles reports of the coordinator: updates the planner's jobs and workers.

use base::JobId;
use base::WorkerId;
use gang::Ended;
use obs::Event;
use sched::AttemptResult;
use sched::JobOutcome;
use sched::Report;

use super::DomainScheduler;
use super::RequeueCause;
use super::StepContext;

impl DomainScheduler {
    pub(super) fn handle_report(&mut self, ctx: &mut StepContext, report: Report) {
        match report {
            Report::Aborted { job, blame } => {
                ctx.log(Event::GangAborted, job.as_str());
                self.planner_jobs
                    .insert(job, Some(RequeueCause::Aborted(blame.first().cloned())));
            }
            Report::Adopted {
                spec,
                plan,
                since,
                saved,
            } => {
                self.planner_jobs.insert(spec.id.clone(), None);
                let spec = *spec;
                self.step_planner(
                    ctx,
                    gang::Input::Adopt {
                        spec,
                        plan,
                        since,
                        saved,
                    },
                );
            }
            Report::Deposed { .. } => ctx.log(Event::CoordinatorLost, self.domain.as_str()),
            Report::Ended { job, result, .. } => self.handle_ended(ctx, job, result),
            Report::Queued { .. } => self.handle_queued(ctx, report),
            Report::Ready => ctx.log(Event::TakeoverDone, self.domain.as_str()),
            Report::Running { job, .. } => {
                ctx.log(Event::GangStarted, job.as_str());
                self.step_planner(ctx, gang::Input::Running { job });
            }
            Report::Dropped(job) => self.remove_job(ctx, job),
            Report::WorkerRecovered(id) => self.handle_recovered(ctx, id),
            Report::WorkerSilent(id) if self.coordinator.epoch().is_some() => {
                ctx.log(Event::WorkerSilent, id.as_str());
                self.silent_workers.push(id.clone());
                self.step_planner(ctx, gang::Input::WorkerDown(id));
            }
            Report::WorkerSilent(_) => {}
        }
    }

    fn handle_recovered(&mut self, ctx: &mut StepContext, id: WorkerId) {
        self.silent_workers.retain(|w| *w != id);
        if let Some((spec, leaving)) = self.workers.get(&id).cloned() {
            self.add_worker(ctx, spec, leaving);
        }
    }

    fn handle_ended(&mut self, ctx: &mut StepContext, job: JobId, how: AttemptResult) {
        ctx.log(Event::GangEnded, &format!("{job}: {}", result_text(&how)));
        match how {
            AttemptResult::Done(JobOutcome::Finished) => {
                self.planner_jobs.remove(&job);
                self.queued_reports.remove(&job);
                let how = Ended::Finished;
                self.step_planner(ctx, gang::Input::Ended { job, how });
            }
            AttemptResult::Done(_) | AttemptResult::Moved(_) => self.remove_job(ctx, job),
            AttemptResult::Requeued { failed } => self.set_requeue_cause(job, failed),
        }
    }

    /// Records why an attempt of a job ended, until the coordinator queues the job again. An abort
    /// that is recorded already is kept, since it means that no task ran.
    fn set_requeue_cause(&mut self, job: JobId, failed: Vec<WorkerId>) {
        let cause = self.planner_jobs.entry(job).or_default();
        if matches!(cause, Some(RequeueCause::Aborted(_))) {
            return;
        }
        *cause = Some(match failed.into_iter().next() {
            Some(worker) => RequeueCause::Failed(worker),
            None => RequeueCause::Stopped,
        });
    }

    /// Removes a job from the planner, whatever its phase there: `Cancel` removes a queued job,
    /// `Ended` one that is starting or running.
    fn remove_job(&mut self, ctx: &mut StepContext, job: JobId) {
        self.queued_reports.remove(&job);
        self.unplaced
            .retain(|r| !matches!(r, Report::Queued { spec, .. } if spec.id == job));
        if self.planner_jobs.remove(&job).is_none() {
            return;
        }
        self.step_planner(ctx, gang::Input::Cancel(vec![job.clone()]));
        let how = Ended::Unknown;
        self.step_planner(ctx, gang::Input::Ended { job, how });
    }

    /// Queues a job at the planner, for the first time or again.
    fn handle_queued(&mut self, ctx: &mut StepContext, report: Report) {
        let Report::Queued {
            spec,
            attempt,
            submitted,
            saved,
        } = report.clone()
        else {
            return;
        };
        let job = spec.id.clone();
        self.queued_reports.insert(job.clone(), report);
        let cause = self.planner_jobs.insert(job.clone(), None).flatten();
        let input = match cause {
            Some(RequeueCause::Aborted(blame)) => gang::Input::Aborted { job, blame },
            Some(RequeueCause::Failed(worker)) => gang::Input::Ended {
                job,
                how: Ended::Failed { worker },
            },
            Some(RequeueCause::Stopped) => gang::Input::Ended {
                job,
                how: Ended::Stopped { saved },
            },
            None => gang::Input::Submit {
                spec: *spec,
                at: submitted,
                attempt,
                saved,
            },
        };
        self.step_planner(ctx, input);
    }
}

fn result_text(how: &AttemptResult) -> String {
    match how {
        AttemptResult::Done(outcome) => outcome.to_string(),
        AttemptResult::Moved(domain) => format!("moved to {domain}"),
        AttemptResult::Requeued { .. } => "queued again".to_string(),
    }
}
