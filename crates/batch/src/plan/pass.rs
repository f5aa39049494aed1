//! State of one planning pass.

use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::ServiceId;
use base::Set;

use super::WaitingStep;
use crate::headroom;
use crate::place::Candidate;
use crate::preempt::VictimIndex;
use crate::spec::Resources;
use crate::spec::StepId;
use crate::spec::TaskId;

fn is_quiet(candidates: &[Candidate], pool: &[usize]) -> bool {
    let (mut capacity, mut free) = (Resources::default(), Resources::default());
    for candidate in pool.iter().map(|&num| &candidates[num]) {
        capacity += candidate.capacity;
        free += candidate.free;
    }
    headroom::is_quiet(&capacity, &free)
}

/// A placement that failed in a pass. Until the next pass nothing becomes free, so whatever needs at
/// least as much under the same constraints fails too.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) pool: ServiceId,
    pub(super) need: Resources,
    pub(super) count: usize,
    pub(super) duration: Millis,
    pub(super) one_rack: bool,
    pub(super) uses_headroom: bool,
    pub(super) paused: bool,
    pub(super) reserved: bool,
}

impl Failure {
    /// Whether the other placement fails because this one did.
    pub(super) fn covers(&self, other: &Failure) -> bool {
        self.pool == other.pool
            && other.need.fits(&self.need)
            && self.count <= other.count
            && self.duration <= other.duration
            && (!self.one_rack || other.one_rack)
            && (self.uses_headroom || !other.uses_headroom)
            && (self.paused || !other.paused)
            && (self.reserved || !other.reserved)
    }
}

/// State of one planning pass.
pub(super) struct Pass {
    pub(super) candidates: Vec<Candidate>,
    /// Indices of the candidates of each pool.
    pub(super) pools: Map<ServiceId, Vec<usize>>,
    /// Failed placements of steps without constraints of their own.
    pub(super) failures: Vec<Failure>,
    /// Free resources that may be used, by the index in `candidates`.
    pub(super) free: Vec<Resources>,
    pub(super) reserved: usize,
    /// Jobs of priority 0 that a guarantee covers.
    pub(super) guaranteed: Set<JobId>,
    /// Runs that could be stopped, and the tasks of each; `None` until they are needed.
    pub(super) victims: Option<(VictimIndex, Vec<Vec<TaskId>>)>,
    /// Gangs for which preemption found no choice, and the most work that might have been lost for
    /// each.
    pub(super) unaffordable: Vec<(Failure, u64)>,
    /// Workers that are kept for a job with a suspect, by their index.
    pub(super) isolated: Map<usize, JobId>,
    /// What is kept of the limit of each organisation for steps that it holds back.
    pub(super) claims: Map<OrgId, Resources>,
    /// The steps that a limit holds back in this pass, each with what is kept for it.
    pub(super) held: Map<StepId, Resources>,
    /// Whether the steps planned now go beyond the shares of their organisations.
    pub(super) beyond_shares: bool,
    /// Steps of which it was noted what keeps them from workers with room.
    pub(super) notes: usize,
    /// Pools that are mostly idle.
    pub(super) quiet: Set<ServiceId>,
    pub(super) now: Millis,
}

impl Pass {
    /// Begins a pass over these workers.
    pub(super) fn new(candidates: Vec<Candidate>, guaranteed: Set<JobId>, now: Millis) -> Pass {
        let mut pools: Map<ServiceId, Vec<usize>> = Map::default();
        for (num, candidate) in candidates.iter().enumerate() {
            match pools.get_mut(&candidate.pool) {
                Some(list) => list.push(num),
                None => {
                    pools.insert(candidate.pool.clone(), vec![num]);
                }
            }
        }
        let quiet = pools
            .iter()
            .filter(|(_, workers)| is_quiet(&candidates, workers));
        let quiet = quiet.map(|(pool, _)| pool.clone()).collect();
        Pass {
            quiet,
            free: candidates.iter().map(|c| c.free).collect(),
            candidates,
            pools,
            failures: Vec::new(),
            reserved: 0,
            guaranteed,
            victims: None,
            unaffordable: Vec::new(),
            isolated: Map::default(),
            claims: Map::default(),
            held: Map::default(),
            beyond_shares: false,
            notes: 0,
            now,
        }
    }

    /// What is kept of the limit of an organisation for other steps than this one.
    pub(super) fn claimed_before(&self, org: &OrgId, at: &WaitingStep) -> Resources {
        let Some(claimed) = self.claims.get(org) else {
            return Resources::default();
        };
        let own = self.held.get(&at.step_id()).copied().unwrap_or_default();
        claimed.saturating_sub(&own)
    }
}
