//! Which workers are kept for urgent jobs, reserved or paused in a pass, and which steps may use them.

use base::Millis;

use super::Pass;
use super::WaitingStep;
use crate::headroom;
use crate::health::tries_paused;
use crate::place::Candidate;
use crate::scheduler::Scheduler;

/// Time with nothing running after which a step is held back by no preference on a quiet pool.
const QUIET_PATIENCE: Millis = Millis(2_000);

/// Time without a new job after which nothing is withheld for long on a busy pool either: no urgent work
/// comes, and work that goes before a gang can delay it only once.
const CALM_TIME: Millis = Millis(1_000);

/// There is room for work if it fits this many times.
pub(crate) const ROOM_FACTOR: u64 = 2;

impl Scheduler {
    /// Marks the workers that are kept for urgent jobs.
    pub(super) fn keep_headroom(&self, candidates: &mut [Candidate], now: Millis) {
        for (pool, demand) in &self.urgent {
            headroom::keep_free(candidates, pool, demand.accels(now));
        }
    }

    /// Whether a step that has waited for `waited` may use what is kept for urgent jobs.
    pub(super) fn uses_headroom(&self, pass: &Pass, at: &WaitingStep, waited: Millis) -> bool {
        let Some(job) = self.jobs.get(&at.job) else {
            return false;
        };
        // A task that lasts has no end to be in time for, and is to be at work again soon.
        let lasts = job.submitted.work.steps[usize::from(at.step)].lasting;
        let is_quiet = pass.quiet.contains(&self.pool_of(job));
        job.submitted.priority == 0
            || lasts
            || self.is_overdue(pass, at)
            || headroom::may_use(at.rank.slack, waited, is_quiet)
    }

    /// Whether a step has had nothing running for so long that nothing that suits better, or others more,
    /// keeps it from free room. While a pool is busy and work keeps coming, what is withheld is soon used; a
    /// task that lasts is to be at work again soon all the same.
    pub(super) fn is_overdue(&self, pass: &Pass, at: &WaitingStep) -> bool {
        if self.idle_time(at, pass.now) < QUIET_PATIENCE {
            return false;
        }
        let Some(job) = self.jobs.get(&at.job) else {
            return false;
        };
        let lasts = job.submitted.work.steps[usize::from(at.step)].lasting;
        let is_calm = pass.now.since(self.added_at) >= CALM_TIME;
        lasts || is_calm || pass.quiet.contains(&self.pool_of(job))
    }

    /// Time for which a step has had nothing running.
    pub(super) fn idle_time(&self, at: &WaitingStep, now: Millis) -> Millis {
        let job = self.jobs.get(&at.job);
        let state = job.and_then(|j| j.open.get(&at.occurrence));
        let since = state.and_then(|o| o.steps[usize::from(at.step)].idle_since);
        since.map_or(Millis::ZERO, |since| now.since(since))
    }

    /// Whether a step that has waited for `waited` is tried on paused workers too.
    pub(super) fn uses_paused(&self, pass: &Pass, at: &WaitingStep, waited: Millis) -> bool {
        let Some(job) = self.jobs.get(&at.job) else {
            return false;
        };
        let lasts = job.submitted.work.steps[usize::from(at.step)].lasting;
        self.is_overdue(pass, at)
            || tries_paused(waited, lasts, pass.quiet.contains(&self.pool_of(job)))
    }
}
