//! Placement of the missing tasks of a step on free resources.

use base::Millis;

use super::isolate::Isolation;
use super::pass::Failure;
use super::Attempt;
use super::Pass;
use super::WaitingStep;
use crate::place::best_among;
use crate::place::eligible_among;
use crate::place::place_gang_among;
use crate::scheduler::Scheduler;
use crate::spec::TaskId;
use crate::worker::UNPROVED_PENALTY;

/// Leaves the workers alone that are kept for suspects of other jobs, unless the step is overdue and has no
/// room on others.
fn leave_isolated(pass: &Pass, attempt: &Attempt, among: &mut Vec<usize>) {
    let is_open = |num: &usize| {
        let owner = pass.isolated.get(num);
        owner.is_none_or(|job| *job == attempt.step.job)
    };
    let need = attempt.spec.occupies();
    let open = among.iter().filter(|num| is_open(num));
    let room = open.map(|&num| need.count_fitting(&pass.free[num]));
    let together = match attempt.spec.gang {
        true => attempt.missing.len() as u64,
        false => 1,
    };
    if !attempt.reserved || room.fold(0, u64::saturating_add) >= together {
        among.retain(is_open);
    }
}

/// What became of an attempt to place a step.
pub(super) struct Placed {
    /// Number of tasks that found no worker.
    pub(super) unplaced: usize,
    /// The workers that were eligible, by index.
    pub(super) among: Vec<usize>,
    /// The attempt as a failure that covers others.
    pub(super) failure: Failure,
    /// Whether a failure of this pass covers the attempt.
    pub(super) futile: bool,
    /// Whether suspects of crashing workers wait for a worker without other jobs.
    pub(super) is_held: bool,
}

impl Scheduler {
    /// Starts the missing tasks that find free resources; those of a gang only all together.
    pub(super) fn place_step(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        attempt: &mut Attempt,
    ) -> Placed {
        let gang = attempt.spec.gang;
        // A gang avoids the workers of all its failed tasks; other tasks avoid their own below.
        let gang_avoid = if gang { attempt.avoided() } else { Vec::new() };
        let limits = attempt.limits(&gang_avoid);
        let pool = pass.pools.get(&attempt.pool).map_or(&[][..], Vec::as_slice);
        let mut among = eligible_among(pool, &pass.candidates, &attempt.spec, &limits);
        if attempt.careful {
            among.retain(|&num| pass.candidates[num].penalty < UNPROVED_PENALTY);
        }
        leave_isolated(pass, attempt, &mut among);
        let isolation = self.isolation(pass, attempt, &among);
        let failure = Failure {
            pool: attempt.pool.clone(),
            need: attempt.spec.occupies(),
            count: if gang { attempt.missing.len() } else { 1 },
            duration: attempt.duration,
            one_rack: gang && attempt.spec.one_rack,
            uses_headroom: limits.uses_headroom,
            paused: limits.paused,
            reserved: limits.reserved,
        };
        let futile = attempt.is_plain() && pass.failures.iter().any(|f| f.covers(&failure));
        let unplaced = match gang {
            _ if futile => attempt.missing.len(),
            true => self.place_gang(pass, at, attempt, &among, isolation.as_ref()),
            false => self.place_tasks(pass, at, attempt, &among, isolation.as_ref()),
        };
        let is_held = isolation.is_some_and(|i| i.waits) && self.hold_suspects(attempt, pass.now);
        Placed {
            unplaced,
            among,
            failure,
            futile,
            is_held,
        }
    }

    /// Notes that suspects have not been placed. Returns whether there are any.
    fn hold_suspects(&mut self, attempt: &Attempt, now: Millis) -> bool {
        let step = &attempt.step;
        let mut is_held = false;
        for &index in &attempt.suspects {
            let task = TaskId {
                job: step.job.clone(),
                occurrence: step.occurrence,
                step: step.step,
                index,
            };
            let state = self.jobs.get_mut(&step.job).and_then(|j| j.task_mut(&task));
            if let Some(state) = state.filter(|t| t.open.is_none()) {
                state.held_since.get_or_insert(now);
                is_held = true;
            }
        }
        is_held
    }

    fn place_gang(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        attempt: &Attempt,
        among: &[usize],
        isolation: Option<&Isolation>,
    ) -> usize {
        let among = isolation.map_or(among, |i| &i.among);
        let count = attempt.missing.len();
        let avoid = attempt.avoided();
        let limits = attempt.limits(&avoid);
        let Pass {
            candidates, free, ..
        } = pass;
        let found = place_gang_among(among, candidates, free, &attempt.spec, &limits, count);
        let Some(chosen) = found else {
            return count;
        };
        self.log_speeds(pass, attempt, &chosen);
        for ((index, _), num) in attempt.missing.iter().zip(chosen) {
            pass.candidates[num].free = pass.free[num];
            if isolation.is_some() {
                pass.isolated.insert(num, at.job.clone());
            }
            let id = pass.candidates[num].id.clone();
            self.start(at, *index, attempt.gang_run, &id, pass.now);
        }
        0
    }

    fn place_tasks(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        attempt: &mut Attempt,
        among: &[usize],
        isolation: Option<&Isolation>,
    ) -> usize {
        let mut unplaced = 0;
        let mut apart = isolation.map_or(Vec::new(), |i| i.among.clone());
        let mut is_full = false;
        let mut chosen = Vec::new();
        for (index, avoid) in &attempt.missing {
            let limits = attempt.limits(avoid);
            let is_suspect = attempt.suspects.contains(index);
            let list = if is_suspect { &apart[..] } else { among };
            let found = match is_full && !is_suspect {
                true => None,
                false => best_among(list, &pass.candidates, &pass.free, &attempt.spec, &limits),
            };
            let Some(num) = found else {
                // The other tasks need the same, so they fit nowhere either.
                is_full |= avoid.is_empty() && !is_suspect;
                unplaced += 1;
                continue;
            };
            pass.free[num] -= attempt.spec.occupies();
            pass.candidates[num].free = pass.free[num];
            attempt.on_worker[num] += 1;
            if is_suspect {
                pass.isolated.insert(num, at.job.clone());
                apart = vec![num];
            }
            let run = self.last_run(at, *index).next();
            let id = pass.candidates[num].id.clone();
            self.start(at, *index, run, &id, pass.now);
            chosen.push(num);
        }
        self.log_speeds(pass, attempt, &chosen);
        unplaced
    }

    /// Logs on workers of which speed a step starts, in a pool whose workers differ.
    fn log_speeds(&mut self, pass: &Pass, attempt: &Attempt, chosen: &[usize]) {
        let speeds = chosen.iter().map(|&num| pass.candidates[num].speed);
        if let (Some(speed), Some(job)) = (speeds.min(), self.jobs.get_mut(&attempt.step.job)) {
            job.trace.set_speed(speed);
        }
        let Some((least, ample)) = attempt.speed.least.filter(|_| !chosen.is_empty()) else {
            return;
        };
        let workers = || chosen.iter().map(|&num| &pass.candidates[num]);
        let Some(slowest) = workers().min_by_key(|c| c.speed) else {
            return;
        };
        let highest = workers().map(|c| c.speed).max().unwrap_or_default();
        let unknown = workers().filter(|c| !c.known).count();
        let (lowest, id) = (slowest.speed, &slowest.id);
        let text = format!(
            "starting {} tasks of step {} on workers of speed {lowest} ({id}) to {highest}, \
             {unknown} of them unknown; needs {least} to end within its objective, and {ample} to do \
             so whatever its estimate is off by",
            chosen.len(),
            attempt.step.step,
        );
        self.log(Some(&attempt.step.job), text);
    }
}
