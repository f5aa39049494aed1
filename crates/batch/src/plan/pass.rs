//! State of one planning pass.

use base::JobId;
use base::Map;
use base::Millis;
use base::ServiceId;
use base::Set;

use super::victims::Stoppable;
use crate::place::Candidate;
use crate::preempt::VictimIndex;
use crate::spec::Resources;
use crate::stop::kept::Held;

/// A placement that failed in a pass. Until the next pass nothing becomes free, so whatever needs at
/// least as much under the same constraints fails too.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) pool: ServiceId,
    pub(super) need: Resources,
    pub(super) count: usize,
    pub(super) duration: Millis,
    pub(super) one_rack: bool,
    pub(super) urgent: bool,
}

impl Failure {
    /// Whether the other placement fails because this one did.
    pub(super) fn covers(&self, other: &Failure) -> bool {
        self.pool == other.pool
            && other.need.fits(&self.need)
            && self.count <= other.count
            && self.duration <= other.duration
            && (!self.one_rack || other.one_rack)
            && (self.urgent || !other.urgent)
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
    /// What is taken from the candidates for each kept room, in the order of the scheduler's list.
    pub(super) held: Vec<Vec<Held>>,
    /// Whether the candidates have the remaining times of their runs.
    pub(super) knows_running: bool,
    /// Jobs of priority 0 that a guarantee covers.
    pub(super) guaranteed: Set<JobId>,
    /// Runs that could be stopped, and what else is known of each; `None` until they are needed.
    pub(super) victims: Option<(VictimIndex, Vec<Stoppable>)>,
    /// Gangs for which preemption found no choice, and the most work that might have been lost for
    /// each.
    pub(super) unaffordable: Vec<(Failure, u64)>,
    pub(super) now: Millis,
    /// Unix time of the pass.
    pub(super) wall: Millis,
}

impl Pass {
    /// Begins a pass over these workers.
    pub(super) fn new(
        candidates: Vec<Candidate>,
        guaranteed: Set<JobId>,
        now: Millis,
        wall: Millis,
    ) -> Pass {
        let mut pools: Map<ServiceId, Vec<usize>> = Map::default();
        for (num, candidate) in candidates.iter().enumerate() {
            match pools.get_mut(&candidate.pool) {
                Some(list) => list.push(num),
                None => {
                    pools.insert(candidate.pool.clone(), vec![num]);
                }
            }
        }
        Pass {
            free: candidates.iter().map(|c| c.free).collect(),
            candidates,
            pools,
            failures: Vec::new(),
            reserved: 0,
            held: Vec::new(),
            knows_running: false,
            guaranteed,
            victims: None,
            unaffordable: Vec::new(),
            now,
            wall,
        }
    }
}
