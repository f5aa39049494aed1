//! What the coordinator tells, passed on to the planner.

use base::JobId;
use base::WorkerId;
use gang::Ended;
use obs::Event;
use sched::AttemptResult;
use sched::JobOutcome;
use sched::Report;

use super::Back;
use super::Bridge;
use super::Run;

impl Bridge {
    pub(super) fn told(&mut self, run: &mut Run, report: Report) {
        match report {
            Report::Aborted { job, blame } => {
                run.log(Event::GangAborted, job.as_str());
                self.known
                    .insert(job, Some(Back::Aborted(blame.first().cloned())));
            }
            Report::Adopted {
                spec,
                plan,
                since,
                saved,
            } => {
                self.known.insert(spec.id.clone(), None);
                let spec = *spec;
                self.plan(
                    run,
                    gang::Input::Adopt {
                        spec,
                        plan,
                        since,
                        saved,
                    },
                );
            }
            Report::Deposed { .. } => run.log(Event::CoordinatorLost, self.domain.as_str()),
            Report::Ended { job, result, .. } => self.ended(run, job, result),
            Report::Queued { .. } => self.queued(run, report),
            Report::Ready => run.log(Event::TakeoverDone, self.domain.as_str()),
            Report::Running { job, .. } => {
                run.log(Event::GangStarted, job.as_str());
                self.plan(run, gang::Input::Running { job });
            }
            Report::Dropped(job) => self.forget(run, job),
            Report::WorkerRecovered(id) => self.worker_back(run, id),
            Report::WorkerSilent(id) if self.coord.epoch().is_some() => {
                run.log(Event::WorkerSilent, id.as_str());
                self.silent.push(id.clone());
                self.plan(run, gang::Input::WorkerDown(id));
            }
            Report::WorkerSilent(_) => {}
        }
    }

    fn worker_back(&mut self, run: &mut Run, id: WorkerId) {
        self.silent.retain(|w| *w != id);
        if let Some((spec, leaving)) = self.workers.get(&id).cloned() {
            self.add_worker(run, spec, leaving);
        }
    }

    fn ended(&mut self, run: &mut Run, job: JobId, how: AttemptResult) {
        run.log(Event::GangEnded, &format!("{job}: {}", label(&how)));
        match how {
            AttemptResult::Done(JobOutcome::Finished) => {
                self.known.remove(&job);
                self.specs.remove(&job);
                let how = Ended::Finished;
                self.plan(run, gang::Input::Ended { job, how });
            }
            AttemptResult::Done(_) | AttemptResult::Moved(_) => self.forget(run, job),
            AttemptResult::Requeued { failed } => self.note_back(job, failed),
        }
    }

    /// Keeps how a job ended until the coordinator queues it again.
    fn note_back(&mut self, job: JobId, failed: Vec<WorkerId>) {
        let back = self.known.entry(job).or_default();
        if matches!(back, Some(Back::Aborted(_))) {
            return;
        }
        *back = Some(match failed.into_iter().next() {
            Some(worker) => Back::Failed(worker),
            None => Back::Stopped,
        });
    }

    /// Removes a job from the planner, whatever its phase there.
    fn forget(&mut self, run: &mut Run, job: JobId) {
        self.specs.remove(&job);
        self.parked
            .retain(|r| !matches!(r, Report::Queued { spec, .. } if spec.id == job));
        if self.known.remove(&job).is_none() {
            return;
        }
        self.plan(run, gang::Input::Cancel(vec![job.clone()]));
        let how = Ended::Unknown;
        self.plan(run, gang::Input::Ended { job, how });
    }

    /// A job waits for a placement, for the first time or again.
    fn queued(&mut self, run: &mut Run, report: Report) {
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
        self.specs.insert(job.clone(), report);
        let back = self.known.insert(job.clone(), None).flatten();
        let input = match back {
            Some(Back::Aborted(blame)) => gang::Input::Aborted { job, blame },
            Some(Back::Failed(worker)) => gang::Input::Ended {
                job,
                how: Ended::Failed { worker },
            },
            Some(Back::Stopped) => gang::Input::Ended {
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
        self.plan(run, input);
    }
}

fn label(how: &AttemptResult) -> String {
    match how {
        AttemptResult::Done(outcome) => outcome.to_string(),
        AttemptResult::Moved(domain) => format!("moved to {domain}"),
        AttemptResult::Requeued { .. } => "queued again".to_string(),
    }
}
