//! Memory of accepted jobs on the coordinator, by which submissions are admitted.
//!
//! Load pattern: submissions of a few hundred bytes that name thousands of tasks. Each task takes memory of
//! the coordinator until its job is forgotten, and of the next one, which restores the jobs.

use std::mem::size_of;

use base::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::job::Job;
use crate::job::StepState;
use crate::job::TaskState;
use crate::spec::StepSpec;
use crate::spec::Submission;
use crate::spec::MAX_JOB_TASKS;

/// Time in whose length the occurrences of a schedule are taken to be open together.
const OVERLAP: Millis = Millis(10_000);

/// Time after which what was accepted is part of the published load.
const PUBLISH_TIME: Millis = Millis(5_000);

/// The published room changes in steps of this many bytes, so that small changes are not published.
const ROOM_GRANULARITY: u64 = 1 << 20;

/// Bytes of memory.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Footprint(pub u64);

impl Footprint {
    /// Memory of a job that was submitted at the Unix time `at`.
    pub fn of(work: &Submission, at: Millis) -> Footprint {
        let Some(schedule) = work.schedule else {
            return Footprint::with_occurrences(work, 1);
        };
        let past = at.since(schedule.start).max(OVERLAP);
        Footprint::with_occurrences(work, within(work, past).min(u64::from(schedule.runs)))
    }

    /// Memory that a job takes now, or soon if it is scheduled.
    pub(crate) fn of_job(job: &Job) -> Footprint {
        let work = &job.submitted.work;
        let soon = match job.phase.is_final() {
            true => 0,
            false => within(work, OVERLAP).min(u64::from(job.occurrences())),
        };
        Footprint::with_occurrences(work, soon.max(job.open.len() as u64))
    }

    fn with_occurrences(work: &Submission, occurrences: u64) -> Footprint {
        let steps = work.steps.iter();
        let fixed = size_of::<Job>() + work.spec.len() + steps.map(step_bytes).sum::<usize>();
        let states = work.steps.len() as u64 * size_of::<StepState>() as u64;
        let tasks = u64::from(work.tasks()) * size_of::<TaskState>() as u64;
        let open = states.saturating_add(tasks).saturating_mul(occurrences);
        Footprint(open.saturating_add(fixed as u64))
    }
}

/// Number of occurrences of a schedule that are due in a span, at most as many as are opened.
fn within(work: &Submission, span: Millis) -> u64 {
    let most = u64::from(MAX_JOB_TASKS / work.tasks().max(1)).max(1);
    let interval = work.schedule.map_or(u64::MAX, |s| s.interval.0);
    let due = span.0.checked_div(interval).unwrap_or(u64::MAX);
    due.saturating_add(1).min(most)
}

/// Memory of a step's specification.
fn step_bytes(step: &StepSpec) -> usize {
    let names = [&step.label, &step.data_rack, &step.image];
    let names: usize = names.into_iter().flatten().map(String::len).sum();
    size_of::<StepSpec>() + names + step.after.len() * size_of::<u16>()
}

/// Room for further jobs, to be published, where `used` is what jobs take of `limit`.
pub fn room(limit: Footprint, used: Footprint) -> Footprint {
    let left = limit.0.saturating_sub(used.0);
    Footprint(left / ROOM_GRANULARITY * ROOM_GRANULARITY)
}

/// Memory of the jobs that a daemon has accepted lately, which the published load may not show yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Accepted {
    begun: Millis,
    current: u64,
    previous: u64,
}

impl Accepted {
    /// Counts a job if there is room for it, and returns whether there is. `share` is the number of
    /// daemons that accept jobs at the same time.
    pub fn admit(&mut self, job: Footprint, room: Footprint, share: u64, now: Millis) -> bool {
        if now >= self.begun + PUBLISH_TIME {
            let recent = now < self.begun + PUBLISH_TIME + PUBLISH_TIME;
            self.previous = if recent { self.current } else { 0 };
            (self.current, self.begun) = (0, now);
        }
        let lately = self.current.saturating_add(self.previous);
        let promised = lately.saturating_mul(share.max(1));
        if promised.saturating_add(job.0) > room.0 {
            return false;
        }
        self.current = self.current.saturating_add(job.0);
        true
    }
}
