//! What waits at the site: a summary of the jobs with nothing running, by organisation and pool.
//!
//! Log lines about single jobs are limited in rate. The summary counts all of them, and names those that
//! have waited longest.

use std::collections::BTreeMap;

use base::JobId;
use base::Millis;
use base::OrgId;
use base::ServiceId;

use super::trace::waits_for;
use super::Scheduler;
use super::Usability;
use crate::job::StepState;
use crate::plan::Obstacle;
use crate::spec::Resources;
use crate::spec::StepSpec;

/// Time with nothing running from which a job counts.
const COUNT_AFTER: Millis = Millis(2_000);

/// Jobs that a summary names.
const MAX_NAMED: usize = 3;

/// The jobs of one organisation on one pool that have had nothing running for a while.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitSummary {
    /// The organisation; none for public queues.
    pub org: Option<OrgId>,
    /// The pool.
    pub pool: ServiceId,
    /// Number of jobs.
    pub jobs: usize,
    /// Those that have waited longest, each with its time.
    pub longest: Vec<(Millis, JobId)>,
    /// Number of jobs by what they wait for, and by what keeps them from room if that is known.
    pub reasons: BTreeMap<String, usize>,
}

/// Use of a pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolUse {
    /// Resources of all its workers that are listed and do not leave.
    pub capacity: Resources,
    /// Those that no run occupies.
    pub free: Resources,
    /// Number of workers in each state.
    pub workers: BTreeMap<Usability, usize>,
}

impl Scheduler {
    /// The jobs that have had nothing running for a while, those that have waited longest first.
    pub fn wait_summaries(&self, now: Millis) -> Vec<WaitSummary> {
        let mut found: BTreeMap<(Option<&OrgId>, ServiceId), WaitSummary> = BTreeMap::new();
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            let steps = job.open.values().flat_map(|state| {
                let specs = job.submitted.work.steps.iter();
                state.steps.iter().zip(specs)
            });
            let idle = steps.filter_map(|(step, spec)| Some((step.idle_since?, step, spec)));
            let Some((since, step, spec)) = idle.min_by_key(|(since, ..)| *since) else {
                continue;
            };
            let waited = now.since(since);
            if waited < COUNT_AFTER || job.phase.is_final() {
                continue;
            }
            let (org, pool) = (job.submitted.org.as_ref(), self.pool_of(job));
            let summary = found.entry((org, pool.clone())).or_insert(WaitSummary {
                org: org.cloned(),
                pool,
                jobs: 0,
                longest: Vec::new(),
                reasons: BTreeMap::new(),
            });
            summary.jobs += 1;
            *summary.reasons.entry(reason(step, spec, now)).or_default() += 1;
            summary.longest.push((waited, job.id.clone()));
        }
        let mut all: Vec<WaitSummary> = found.into_values().collect();
        for summary in &mut all {
            summary.longest.sort_by(|a, b| b.cmp(a));
            summary.longest.truncate(MAX_NAMED);
        }
        all.sort_by(|a, b| b.longest.cmp(&a.longest));
        all
    }

    /// Use of a pool, as the coordinator believes it to be.
    pub fn pool_use(&self, pool: &ServiceId, now: Millis) -> PoolUse {
        let mut found = PoolUse::default();
        for worker in self.workers.values().filter(|w| w.entry.pool == *pool) {
            let usability = self.usability(worker, now);
            *found.workers.entry(usability).or_default() += 1;
            if usability.is_counted() {
                found.capacity += worker.entry.capacity;
                found.free += worker.free();
            }
        }
        found
    }
}

/// What a step waits for, and what keeps it from room if that was noted lately.
fn reason(step: &StepState, spec: &StepSpec, now: Millis) -> String {
    let stage = waits_for(step, spec, now).map_or("nothing", |s| s.name());
    match obstacle(step, now) {
        Some(obstacle) => format!("{stage}: {}", obstacle.name()),
        None => stage.to_string(),
    }
}

/// What kept a step from most of the room for it, if that was noted lately.
pub(super) fn obstacle(step: &StepState, now: Millis) -> Option<Obstacle> {
    /// Age from which a note says nothing about now.
    const MAX_AGE: Millis = Millis(2_000);
    let first = step.withheld.tasks.first();
    let is_recent = now.since(step.withheld.at) <= MAX_AGE;
    first.map(|(obstacle, _)| *obstacle).filter(|_| is_recent)
}
