//! What urgent jobs spend their time on.

use base::JobId;
use base::Millis;

use super::LogDetail;
use super::LogEntry;
use super::LogKind;
use super::Scheduler;
use crate::account::Activity;
use crate::account::EndedJob;
use crate::account::Outcome;
use crate::account::Stage;
use crate::job::Job;
use crate::job::RunPhase;
use crate::job::StepState;
use crate::spec::StepSpec;

/// Time without a planning pass from which starts count as held.
const HELD_AFTER: Millis = Millis(250);

impl Scheduler {
    /// Notes what each urgent job does from now on.
    pub(super) fn trace_urgent(&mut self) {
        let (now, wall) = self.pass_at;
        let is_held = is_held(self.planned_at, now);
        for id in &self.live {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if !is_traced(job) || job.phase.is_final() {
                continue;
            }
            let activity = match activity(job, now) {
                Activity::Waiting(Stage::Room) if is_held => Activity::Waiting(Stage::Held),
                activity => activity,
            };
            if job.trace.is_new() {
                let unread = match job.inherited {
                    true => Stage::Takeover,
                    false => Stage::Acceptance,
                };
                job.trace.add(unread, wall.since(job.submitted.at));
            }
            job.trace.advance(activity, now);
        }
    }

    /// Logs how a job has ended, and what the time of an urgent one was spent on.
    pub(super) fn log_ended(&mut self, id: &JobId, now: Millis) {
        let (pass_at, wall) = self.pass_at;
        let expected = self.jobs.get(id).map(|job| {
            let path = job.submitted.work.critical_path();
            Millis(path.0 * u64::from(self.ratio(job)) / 100)
        });
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let submitted = &job.submitted;
        let took = (wall + now.since(pass_at)).since(submitted.at);
        let stages = match is_traced(job) {
            true => job.trace.finish(expected.unwrap_or_default(), now),
            false => Vec::new(),
        };
        let ended = EndedJob {
            queue: submitted.queue.clone(),
            priority: submitted.priority,
            outcome: Outcome::new(job.phase, took, submitted.objective),
            took,
            objective: submitted.objective,
            stages,
            speed: job.trace.speed(),
            stopped_runs: job.stopped_runs,
            stopped_work: job.stopped_work,
        };
        self.log_entries.push(LogEntry {
            kind: LogKind::JobEnded,
            job: Some(id.clone()),
            text: String::new(),
            detail: Some(LogDetail::EndedJob(ended)),
        });
    }
}

/// Whether starts are held, as nothing has been planned for a while.
pub(super) fn is_held(planned_at: Option<Millis>, now: Millis) -> bool {
    planned_at.is_none_or(|at| now.since(at) > HELD_AFTER)
}

fn is_traced(job: &Job) -> bool {
    job.submitted.priority == 0 && job.submitted.work.schedule.is_none()
}

/// What a job does: the first thing that one of its steps waits for, or running.
fn activity(job: &Job, now: Millis) -> Activity {
    let open = job.open.values().flat_map(|occurrence| {
        let steps = occurrence.steps.iter().zip(&job.submitted.work.steps);
        steps.filter(|(state, spec)| !state.is_done() && occurrence.is_ready(spec))
    });
    let waits = open.filter_map(|(state, spec)| waits_for(state, spec, now));
    waits
        .map(Activity::Waiting)
        .next()
        .unwrap_or(Activity::Running)
}

/// What a step waits for, if anything.
pub(super) fn waits_for(state: &StepState, spec: &StepSpec, now: Millis) -> Option<Stage> {
    let open = || state.tasks.iter().filter_map(|t| t.open.as_ref());
    let any = |phase: RunPhase| open().any(|o| o.phase == phase);
    let is_missing = state.tasks.iter().any(|t| !t.done && t.open.is_none());
    match () {
        () if any(RunPhase::Adrift) || any(RunPhase::Stopping) => Some(Stage::Lost),
        () if is_missing && spec.gang && state.is_open() => Some(Stage::Lost),
        () if is_missing && now < state.not_before => Some(Stage::Pause),
        () if is_missing => Some(state.waits_for.unwrap_or(Stage::Room)),
        () if any(RunPhase::Planned) => Some(Stage::Store),
        () if any(RunPhase::Sent) || any(RunPhase::Unanswered) => Some(Stage::Start),
        () if any(RunPhase::Inherited) => Some(Stage::Takeover),
        () => None,
    }
}
