//! Which workers suit a step by their speed.
//!
//! Load pattern: a third of a pool is slow, and urgent gangs must end within one and a half times
//! their work. Each step goes to the slowest workers on which it still ends within its objective, so
//! that fast ones stay free for what needs them. Workers of which nothing is known are tried with
//! steps that would end in time even on a slow one.

use base::Millis;

use crate::place::Candidate;
use crate::speed::Speed;

/// Runs that are placed on a worker of unknown speed before others are tried.
const TRIAL_RUNS: u32 = 2;

/// What a step asks of its workers' speed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SpeedNeed {
    /// Speed from which the step is expected to end within its objective, and the higher one from
    /// which it almost surely does; `None` if the workers are alike or it does not matter.
    pub least: Option<(Speed, Speed)>,
    /// Whether the step is urgent. Any other leaves fast workers to those as far as it can.
    pub urgent: bool,
    /// Whether the step is used to try workers of unknown speed.
    pub tries: bool,
}

/// Part of the objective that is left aside for starts and for reports that are late.
const START_TIME: Millis = Millis(150);

/// Highest speed that is asked for, in percent.
const MAX_NEED: u64 = 400;

impl SpeedNeed {
    /// For a step with `work` left at the usual speed and an objective in `left`. The work may be
    /// more by the factor `margin`. `cautious` is the speed to reckon with on a worker of which
    /// nothing is known.
    pub fn new(
        work: Millis,
        margin: f64,
        left: Millis,
        urgent: bool,
        cautious: Speed,
    ) -> SpeedNeed {
        let left = left.since(START_TIME).0.max(1);
        let speed = |work: u64| Speed((work.saturating_mul(100) / left).min(MAX_NEED) as u32);
        let least = speed(work.0);
        let ample = speed((work.0 as f64 * margin) as u64);
        SpeedNeed {
            least: Some((least, ample)),
            urgent,
            tries: !urgent && least <= cautious,
        }
    }

    /// Whether the candidate is fast enough.
    pub fn is_met(&self, candidate: &Candidate) -> bool {
        let enough = |(least, ample): (Speed, Speed)| {
            let asked = if self.urgent { ample } else { least };
            candidate.speed >= asked && (candidate.known || !self.urgent)
        };
        self.tries && !candidate.known || self.least.is_none_or(enough)
    }

    /// Sort key of a candidate; smaller ones are preferred. Of those that are too slow, one of unknown
    /// speed may turn out to be faster.
    pub(crate) fn preference(&self, candidate: &Candidate) -> (u32, i32, bool) {
        let Some((least, ample)) = self.least else {
            return (0, 0, false);
        };
        let class = candidate.speed.class();
        let usual = Speed::USUAL.max(ample).class();
        match () {
            () if self.tries && !candidate.known && candidate.runs < TRIAL_RUNS => (0, 0, false),
            () if self.urgent && self.is_met(candidate) => (1, class, false),
            () if !self.urgent && candidate.speed >= ample && class <= usual => (1, class, false),
            () if self.urgent => (2, -class, candidate.known),
            () if class > usual => (3, class, false),
            () if candidate.speed >= least => (2, -class, false),
            () => (4, -class, candidate.known),
        }
    }
}

/// Least classes of speed to try for a gang, in this order: the workers that are fast enough, for
/// which it is `None`, then each lower class that occurs.
pub(crate) fn floors(
    group: &[usize],
    candidates: &[Candidate],
    need: &SpeedNeed,
) -> Vec<Option<i32>> {
    let lower = group.iter().map(|&num| &candidates[num]);
    let lower = lower.filter(|c| !need.is_met(c));
    let mut lower: Vec<i32> = lower.map(|c| c.speed.class()).collect();
    lower.sort_unstable_by(|a, b| b.cmp(a));
    lower.dedup();
    std::iter::once(None)
        .chain(lower.into_iter().map(Some))
        .collect()
}

/// The workers of a rack that are fast enough or at least of this class.
pub(crate) fn above(
    rack: &[usize],
    candidates: &[Candidate],
    need: &SpeedNeed,
    floor: Option<i32>,
) -> Vec<usize> {
    let reaches = |num: &usize| {
        let candidate = &candidates[*num];
        need.is_met(candidate) || floor.is_some_and(|class| candidate.speed.class() >= class)
    };
    rack.iter().copied().filter(reaches).collect()
}
