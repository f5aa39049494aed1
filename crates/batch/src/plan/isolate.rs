//! Workers that are kept for tasks suspected of crashing workers.
//!
//! A suspect runs where no other job does, so that a further crash costs no other job anything, and shows
//! whether the task is the cause. It waits for such a worker only for a while.

use base::DomainId;
use base::JobId;
use base::Map;
use base::Millis;

use super::Attempt;
use super::Pass;
use crate::crash::is_suspect;
use crate::job::RunPhase;
use crate::scheduler::Scheduler;

/// Time that a suspect waits for a worker without other jobs.
pub(crate) const ISOLATION_WAIT: Millis = Millis(2_000);

/// One in so many workers of a pool may be kept for suspects, but at least one.
const ISOLATION_SHARE: usize = 8;

/// Where the suspects of a step may run.
pub(super) struct Isolation {
    /// Indices of the workers.
    pub(super) among: Vec<usize>,
    /// Whether those that find no room there wait.
    pub(super) waits: bool,
}

impl Scheduler {
    /// The workers with a suspect, by their index, and the job that they are kept for.
    pub(super) fn isolated_workers(&self, pass: &Pass) -> Map<usize, JobId> {
        let found = self.suspects.iter().filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            let open = self
                .open_run(task)
                .filter(|o| o.phase != RunPhase::Adrift)?;
            if !is_suspect(&job.task(task)?.crashes) {
                return None;
            }
            let candidates = &pass.candidates;
            let at = candidates.binary_search_by(|c| c.id.cmp(&open.worker));
            Some((at.ok()?, task.job.clone()))
        });
        found.collect()
    }

    /// Where the suspects among the missing tasks of a step may run; `None` if there are none. `among`
    /// are the workers that are eligible for its other tasks.
    pub(super) fn isolation(
        &self,
        pass: &Pass,
        attempt: &Attempt,
        among: &[usize],
    ) -> Option<Isolation> {
        if attempt.suspects.is_empty() {
            return None;
        }
        let job = &attempt.step.job;
        let held = attempt.held_since.map(|at| pass.now.since(at));
        if held.is_some_and(|held| held >= ISOLATION_WAIT) {
            return Some(Isolation {
                among: self.least_used(pass, attempt, among),
                waits: false,
            });
        }
        let own = among
            .iter()
            .filter(|&num| pass.isolated.get(num) == Some(job));
        let own: Vec<usize> = own.copied().collect();
        let pool = pass.pools.get(&attempt.pool).map_or(0, Vec::len);
        let is_full = pass.isolated.len() >= (pool / ISOLATION_SHARE).max(1);
        // One worker at a time for a job, but for the members of a gang, which start together.
        if !own.is_empty() || is_full {
            return Some(Isolation {
                among: own,
                waits: true,
            });
        }
        let free_of_others = |num: &&usize| {
            let worker = self.workers.get(&pass.candidates[**num].id);
            worker.is_some_and(|w| w.open.keys().all(|task| task.job == *job))
        };
        let mut found: Vec<usize> = among.iter().filter(free_of_others).copied().collect();
        prefer(&mut found, |num| {
            let worker = self.workers.get(&pass.candidates[num].id);
            worker.is_some_and(|w| !self.losses.has_crashed(&w.entry.address))
        });
        let groups = self.group_sizes(pass);
        let size = |num| groups.get(&self.group(pass, num)).copied();
        prefer(&mut found, |num| size(num) > Some(1));
        Some(Isolation {
            among: found,
            waits: true,
        })
    }

    /// The eligible workers with room on which the fewest runs would be lost.
    fn least_used(&self, pass: &Pass, attempt: &Attempt, among: &[usize]) -> Vec<usize> {
        let need = attempt.spec.occupies();
        let fitting = among.iter().filter(|&&num| pass.free[num].fits(&need));
        let runs = |num: usize| {
            let worker = self.workers.get(&pass.candidates[num].id);
            worker.map_or(0, |w| w.open.len())
        };
        let fewest = fitting.clone().map(|&num| runs(num)).min();
        let mut found = among.to_vec();
        if !attempt.spec.gang {
            found.retain(|&num| Some(runs(num)) == fewest);
        }
        found
    }

    /// Kind and failure domain of a worker.
    fn group<'a>(&'a self, pass: &'a Pass, num: usize) -> Group<'a> {
        let candidate = &pass.candidates[num];
        let worker = self.workers.get(&candidate.id);
        let kind = candidate.labels.first().map(String::as_str);
        (kind, worker.map(|w| &w.entry.domain))
    }

    /// Number of usable workers of each kind in each failure domain.
    fn group_sizes<'a>(&'a self, pass: &'a Pass) -> Map<Group<'a>, usize> {
        let mut sizes: Map<Group, usize> = Map::default();
        for num in 0..pass.candidates.len() {
            *sizes.entry(self.group(pass, num)).or_default() += 1;
        }
        sizes
    }
}

/// Kind and failure domain.
type Group<'a> = (Option<&'a str>, Option<&'a DomainId>);

/// Keeps the workers for which the condition holds, if there are any.
fn prefer(workers: &mut Vec<usize>, holds: impl Fn(usize) -> bool) {
    let preferred: Vec<usize> = workers.iter().copied().filter(|&num| holds(num)).collect();
    if !preferred.is_empty() {
        *workers = preferred;
    }
}
