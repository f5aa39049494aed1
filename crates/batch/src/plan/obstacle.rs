//! Why workers with room for a step that waits are not used for it.

use std::collections::BTreeMap;

use base::Millis;

use super::Attempt;
use super::Pass;
use super::WaitingStep;
use crate::place::is_near;
use crate::place::Candidate;
use crate::place::Limits;
use crate::scheduler::Scheduler;
use crate::worker::UNPROVED_PENALTY;

/// Time with nothing running after which it is noted what keeps a step from workers with room.
const NOTE_AFTER: Millis = Millis(1_500);

/// Time between two notes on one step.
const NOTE_INTERVAL: Millis = Millis(500);

/// Most steps with a note in one pass: each looks at all workers of its pool.
const MAX_NOTES: usize = 4;

/// Why a worker with room for a task of a step is not used for it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Obstacle {
    /// Tasks of the step have failed on it.
    Avoided,
    /// It could be used, but there are too few such workers for all tasks of the gang.
    Gang,
    /// Its room is kept for urgent jobs.
    Headroom,
    /// It is kept for a task that is suspected of crashing workers.
    Isolated,
    /// Runs have failed on it lately.
    Paused,
    /// It is not on the rack of the data, or its rack has no room for the whole gang.
    Rack,
    /// It is reserved for a gang that waits.
    Reserved,
    /// It has as many tasks of the step as one worker may have.
    Spread,
    /// The adviser has not approved it.
    Ticket,
    /// No known reason.
    Unknown,
    /// It has not proved itself since runs began to fail early.
    Unproved,
}

impl Obstacle {
    /// The word that operators see.
    pub fn name(self) -> &'static str {
        match self {
            Obstacle::Avoided => "avoided",
            Obstacle::Gang => "gang",
            Obstacle::Headroom => "headroom",
            Obstacle::Isolated => "isolated",
            Obstacle::Paused => "paused",
            Obstacle::Rack => "rack",
            Obstacle::Reserved => "reserved",
            Obstacle::Spread => "spread",
            Obstacle::Ticket => "ticket",
            Obstacle::Unknown => "unknown",
            Obstacle::Unproved => "unproved",
        }
    }
}

/// What kept a step from usable workers with room, by the number of its tasks that would fit there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Withheld {
    /// When it was noted.
    pub at: Millis,
    /// The obstacles, that with the most room first.
    pub tasks: Vec<(Obstacle, u64)>,
}

impl Scheduler {
    /// Notes what keeps a step that has had nothing running for a while from workers with room.
    pub(super) fn note_withheld(&mut self, pass: &mut Pass, at: &WaitingStep, attempt: &Attempt) {
        if !self.is_note_due(pass, at) {
            return;
        }
        pass.notes += 1;
        let avoid = attempt.avoided();
        let limits = attempt.limits(&avoid);
        let need = attempt.spec.occupies();
        let pool = pass.pools.get(&attempt.pool).map_or(&[][..], Vec::as_slice);
        let mut tasks: BTreeMap<Obstacle, u64> = BTreeMap::new();
        for &num in pool {
            let candidate = &pass.candidates[num];
            let label = attempt.spec.label.as_ref();
            let fitting = need.count_fitting(&pass.free[num]);
            if fitting > 0 && label.is_none_or(|l| candidate.labels.contains(l)) {
                let kept = pass.isolated.get(&num).is_some_and(|job| *job != at.job);
                let obstacle = match kept {
                    true => Obstacle::Isolated,
                    false => obstacle(candidate, num, attempt, &limits),
                };
                *tasks.entry(obstacle).or_default() += fitting;
            }
        }
        let mut tasks: Vec<(Obstacle, u64)> = tasks.into_iter().collect();
        tasks.sort_by_key(|(_, tasks)| std::cmp::Reverse(*tasks));
        let job = self.jobs.get_mut(&at.job);
        if let Some(state) = job.and_then(|j| j.open.get_mut(&at.occurrence)) {
            let at = pass.now;
            state.steps[usize::from(attempt.step.step)].withheld = Withheld { at, tasks };
        }
    }

    /// Notes what keeps a step from workers with room that was not tried, as others had found none.
    pub(super) fn note_covered(&mut self, pass: &mut Pass, at: &WaitingStep) {
        if self.is_note_due(pass, at) {
            if let Some(attempt) = self.attempt(pass, at, true) {
                self.note_withheld(pass, at, &attempt);
            }
        }
    }

    fn is_note_due(&self, pass: &Pass, at: &WaitingStep) -> bool {
        let state = self
            .jobs
            .get(&at.job)
            .and_then(|j| j.open.get(&at.occurrence));
        let Some(step) = state.map(|o| &o.steps[usize::from(at.step)]) else {
            return false;
        };
        let idle = step.idle_since.map_or(Millis::ZERO, |t| pass.now.since(t));
        idle >= NOTE_AFTER
            && pass.now.since(step.withheld.at) >= NOTE_INTERVAL
            && pass.notes < MAX_NOTES
    }
}

/// Why a candidate with room is not used.
fn obstacle(candidate: &Candidate, num: usize, attempt: &Attempt, limits: &Limits) -> Obstacle {
    let spec = &attempt.spec;
    let is_full = |most: u32| limits.on_worker[num] >= most;
    let is_late = |until: Millis| limits.duration > until;
    match () {
        () if candidate.paused && !limits.paused => Obstacle::Paused,
        () if limits.allowed.is_some_and(|a| !a.contains(&candidate.id)) => Obstacle::Ticket,
        () if limits.avoid.contains(&candidate.id) => Obstacle::Avoided,
        () if attempt.careful && candidate.penalty >= UNPROVED_PENALTY => Obstacle::Unproved,
        () if spec.per_worker.is_some_and(is_full) => Obstacle::Spread,
        () if !limits.reserved && candidate.reserved_until.is_some_and(is_late) => {
            Obstacle::Reserved
        }
        () if candidate.urgent_only && !limits.uses_headroom => Obstacle::Headroom,
        () if !limits.remote && !is_near(candidate, spec) => Obstacle::Rack,
        () if spec.gang && spec.one_rack => Obstacle::Rack,
        () if spec.gang => Obstacle::Gang,
        () => Obstacle::Unknown,
    }
}
