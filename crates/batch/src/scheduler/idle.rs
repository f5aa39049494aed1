//! Work that has nothing running beside free room, and what keeps it from it.
//!
//! Load pattern: room is free, and a pause, a limit or a preference keeps some of the work from it.
//! Each of them is meant to be short, but they follow one another, and only the sum is seen outside.

use std::collections::BTreeMap;

use base::JobId;
use base::Map;
use base::Millis;
use base::ServiceId;
use base::Set;

use super::trace::is_held;
use super::trace::waits_for;
use super::waits::obstacle;
use super::LogDetail;
use super::LogEntry;
use super::LogKind;
use super::Scheduler;
use super::Usability;
use crate::account::Stage;
use crate::job::Job;
use crate::job::RunPhase;
use crate::job::StepState;
use crate::job::TaskState;
use crate::plan::Obstacle;
use crate::plan::ROOM_FACTOR;
use crate::spec::Resources;
use crate::spec::StepSpec;
use crate::worker::Worker;

/// Time between two checks for work that has nothing running.
const CHECK_INTERVAL: Millis = Millis(100);

/// Time after which a wait beside free room is logged.
const LOG_AFTER: Millis = Millis(2_000);

/// Work that does not last waits beside free room only while at most one in so many parts of the
/// pool is in use.
const USED_SHARE: u64 = 2;

/// Work that has waited beside free room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdleWait {
    /// What it waits for.
    pub stage: Stage,
    /// What keeps it from most of the room, if that is known.
    pub obstacle: Option<Obstacle>,
    /// Time for which it has had nothing running.
    pub waited: Millis,
}

/// A step that has had nothing running for a while.
struct IdleStep {
    job: JobId,
    occurrence: u32,
    step: u16,
    waited: Millis,
    stage: Stage,
    obstacle: Option<Obstacle>,
    /// What keeps it from workers with room, in words.
    withheld: String,
}

impl Scheduler {
    /// Notes what has nothing running, and logs what has waited beside free room for long.
    pub(super) fn note_idle(&mut self, now: Millis) {
        if now.since(self.idle_checked_at) < CHECK_INTERVAL {
            return;
        }
        self.idle_checked_at = now;
        let is_held = is_held(self.planned_at, now);
        let mut idle = Vec::new();
        for id in &self.live {
            if let Some(job) = self.jobs.get_mut(id) {
                idle_steps(job, is_held, now, &mut idle);
            }
        }
        if idle.is_empty() {
            return;
        }
        let quiet = self.pools_with(is_mostly_free, now);
        for step in idle {
            self.log_idle(&step, &quiet, now);
        }
    }

    /// The pools for which a condition on their capacity and on what no run occupies of it holds. Workers
    /// that get no tasks now count, unless they leave: their room is room of the pool.
    pub(crate) fn pools_with(
        &self,
        holds: impl Fn(&Resources, &Resources) -> bool,
        now: Millis,
    ) -> Set<ServiceId> {
        let mut pools: Map<&ServiceId, (Resources, Resources)> = Map::default();
        for worker in self.workers.values() {
            if self.usability(worker, now).is_counted() {
                let (capacity, free) = pools.entry(&worker.entry.pool).or_default();
                *capacity += worker.entry.capacity;
                *free += worker.free();
            }
        }
        let found = pools
            .into_iter()
            .filter(|(_, (capacity, free))| holds(capacity, free));
        found.map(|(pool, _)| pool.clone()).collect()
    }

    fn log_idle(&mut self, at: &IdleStep, quiet: &Set<ServiceId>, now: Millis) {
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let spec = &job.submitted.work.steps[usize::from(at.step)];
        let pool = self.pool_of(job);
        if !spec.lasting && !quiet.contains(&pool) {
            return;
        }
        let Some(room) = self.describe_room(&pool, spec, now) else {
            return;
        };
        let IdleStep {
            occurrence,
            step,
            waited,
            ..
        } = at;
        let (why, withheld) = (at.stage.name(), &at.withheld);
        let text = format!(
            "step {step} of occurrence {occurrence} has had nothing running for {waited} beside free \
             room (it waits for: {why}); workers with room for one of its tasks: {room}{withheld}"
        );
        self.log_entries.push(LogEntry {
            kind: LogKind::WaitsBesideRoom,
            job: Some(at.job.clone()),
            text,
            detail: Some(LogDetail::IdleWait(IdleWait {
                stage: at.stage,
                obstacle: at.obstacle,
                waited: *waited,
            })),
        });
        let job = self.jobs.get_mut(&at.job);
        if let Some(state) = job.and_then(|j| j.open.get_mut(occurrence)) {
            state.steps[usize::from(*step)].idle_logged = true;
        }
    }

    /// The workers with room for one task of a step, by whether they are used; `None` if there is not
    /// enough room to speak of a wait beside it.
    fn describe_room(&self, pool: &ServiceId, spec: &StepSpec, now: Millis) -> Option<String> {
        let need = spec.occupies();
        let mut slots: u64 = 0;
        let mut with_room: BTreeMap<Usability, usize> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| w.entry.pool == *pool) {
            let usability = self.usability(worker, now);
            if !usability.is_counted() {
                continue;
            }
            let fitting = fitting(worker, spec, &need);
            slots = slots.saturating_add(fitting);
            if fitting > 0 {
                *with_room.entry(usability).or_default() += 1;
            }
        }
        let together = if spec.gang { u64::from(spec.count) } else { 1 };
        let is_roomy = slots >= together.saturating_mul(ROOM_FACTOR);
        if !is_roomy {
            return None;
        }
        let counts = with_room.iter().map(|(usability, workers)| {
            let name = usability.name();
            format!("{workers} {name}")
        });
        Some(counts.collect::<Vec<String>>().join(", "))
    }
}

/// How many tasks of a step fit on a worker.
fn fitting(worker: &Worker, spec: &StepSpec, need: &Resources) -> u64 {
    let labelled = spec
        .label
        .as_ref()
        .is_none_or(|label| worker.labels.contains(label));
    let most = spec.per_worker.map_or(u64::MAX, u64::from);
    match labelled {
        true => need.count_fitting(&worker.free()).min(most),
        false => 0,
    }
}

fn is_mostly_free(capacity: &Resources, free: &Resources) -> bool {
    let used = capacity.saturating_sub(free);
    capacity.fits(&used.times(USED_SHARE))
}

/// Adds the steps of a job that have had nothing running for long and are not logged yet.
fn idle_steps(job: &mut Job, is_held: bool, now: Millis, idle: &mut Vec<IdleStep>) {
    if job.phase.is_final() {
        return;
    }
    let has_run = job.open.values().flat_map(|o| &o.steps).any(runs);
    for (&occurrence, state) in &mut job.open {
        for (num, spec) in job.submitted.work.steps.iter().enumerate() {
            let is_due = state.is_ready(spec) && !state.steps[num].is_done();
            let step = &mut state.steps[num];
            let since = match (is_due, spec.lasting) {
                (false, _) => None,
                (true, true) => idle_since(step, now),
                (true, false) if has_run => None,
                (true, false) => Some(*step.idle_since.get_or_insert(now)),
            };
            step.idle_since = since;
            step.idle_logged &= since.is_some();
            let waited = since.map_or(Millis::ZERO, |at| now.since(at));
            if waited < LOG_AFTER || step.idle_logged {
                continue;
            }
            let stage = waits_for(step, spec, now).unwrap_or(Stage::Room);
            idle.push(IdleStep {
                job: job.id.clone(),
                occurrence,
                step: num as u16,
                waited,
                stage: if is_held { Stage::Held } else { stage },
                obstacle: obstacle(step, now),
                withheld: withheld_text(step),
            });
        }
    }
}

/// What kept a step from usable workers with room when that was last noted.
fn withheld_text(step: &StepState) -> String {
    let tasks = step.withheld.tasks.iter();
    let tasks: Vec<String> = tasks
        .map(|(obstacle, tasks)| format!("{tasks} {}", obstacle.name()))
        .collect();
    match tasks.is_empty() {
        true => String::new(),
        false => format!(
            "; tasks that would fit on usable ones: {}",
            tasks.join(", ")
        ),
    }
}

/// Since when a task of a step that lasts has not been running.
fn idle_since(step: &mut StepState, now: Millis) -> Option<Millis> {
    for task in &mut step.tasks {
        task.idle_since = match is_running(task) {
            true => None,
            false => Some(task.idle_since.unwrap_or(now)),
        };
    }
    step.tasks.iter().filter_map(|t| t.idle_since).min()
}

fn runs(step: &StepState) -> bool {
    step.tasks.iter().any(is_running)
}

fn is_running(task: &TaskState) -> bool {
    let phase = task.open.as_ref().map(|o| o.phase);
    phase == Some(RunPhase::Running)
}
