//! Room that stops have made, kept for the step that they were made for until it starts.

use base::JobId;
use base::Millis;
use base::WorkerId;

use crate::place::Candidate;
use crate::spec::Resources;

/// Room on some workers that is kept for the tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    /// Job of the step.
    pub job: JobId,
    /// Occurrence of the step.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Whether a guarantee covers the job.
    pub guaranteed: bool,
    /// Whether its tasks start only together.
    pub gang: bool,
    /// Worker of each task.
    pub workers: Vec<WorkerId>,
    /// What each task occupies.
    pub need: Resources,
    /// When the stops must have taken effect. Later the room is no longer kept.
    pub until: Millis,
}

/// What is taken from one candidate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    /// Index of the candidate.
    pub num: usize,
    /// Part that was free.
    pub free: Resources,
    /// Part that was being released.
    pub releasing: Resources,
}

/// Takes the kept room from the candidates as far as it is there: a worker may not answer for a while.
pub(crate) fn hold(kept: &Kept, candidates: &mut [Candidate]) -> Vec<Held> {
    let found = kept.workers.iter().filter_map(|worker| {
        let num = candidates.binary_search_by(|c| c.id.cmp(worker)).ok()?;
        hold_one(num, &mut candidates[num], &kept.need)
    });
    found.collect()
}

/// Takes what one task needs, first of what is free.
fn hold_one(num: usize, candidate: &mut Candidate, need: &Resources) -> Option<Held> {
    let mut all = candidate.free;
    all += candidate.releasing;
    if !all.fits(need) {
        return None;
    }
    let releasing = need.saturating_sub(&candidate.free);
    let free = need.saturating_sub(&releasing);
    candidate.free -= free;
    candidate.releasing -= releasing;
    Some(Held {
        num,
        free,
        releasing,
    })
}

/// Undoes [`hold`].
pub(crate) fn give_back(held: &[Held], candidates: &mut [Candidate]) {
    for part in held {
        candidates[part.num].free += part.free;
        candidates[part.num].releasing += part.releasing;
    }
}
