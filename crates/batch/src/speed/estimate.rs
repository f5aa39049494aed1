//! What is known about the speed of one worker.

use base::Millis;

use super::Rate;
use super::Speed;

/// Most runs of a worker that are remembered.
const MAX_SAMPLES: usize = 8;

/// Standard deviation of the logarithm up to which a speed counts as known.
const KNOWN: f64 = 0.3;

/// What runs with a rate have in common with others of their step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Member of a gang, all of which have the same work.
    Member,
    /// One of several tasks that may differ.
    Single,
}

/// The rate of one run on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Identifies the step, or the one run of a gang: what runs alike apart from the workers.
    pub step: u64,
    /// Identifies the run.
    pub run: u64,
    /// The rate.
    pub rate: Rate,
    /// Whether the tasks of its step may differ.
    pub kind: Kind,
    /// When it was last measured.
    pub at: Millis,
}

/// The speed of a worker, as placement uses it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// The speed; 100 % while the workers of the pool are alike or nothing is known.
    pub speed: Speed,
    /// Whether enough of its runs were seen.
    pub known: bool,
}

impl Default for Estimate {
    fn default() -> Estimate {
        Estimate {
            speed: Speed::USUAL,
            known: true,
        }
    }
}

/// Evidence of the speed of one worker, in its present incarnation.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Incarnation of the worker that it is about (its start as Unix time).
    pub born: u64,
    /// Its latest runs.
    pub samples: Vec<Sample>,
    /// Estimated logarithm of its speed relative to the pool, and the standard deviation; `None`
    /// without evidence.
    pub level: Option<(f64, f64)>,
    /// The same as an earlier coordinator recorded it, and when it was read.
    pub recorded: Option<(f64, f64, Millis)>,
    /// Number of runs measured.
    pub runs: u32,
    /// What placement uses.
    pub estimate: Estimate,
}

impl Evidence {
    /// Adds or updates the rate of one run.
    pub fn add(&mut self, sample: Sample) {
        if let Some(known) = self.samples.iter_mut().find(|s| s.run == sample.run) {
            *known = sample;
            return;
        }
        self.runs += 1;
        if self.samples.len() >= MAX_SAMPLES {
            let oldest = self.samples.iter().enumerate().min_by_key(|(_, s)| s.at);
            if let Some((num, _)) = oldest {
                self.samples.swap_remove(num);
            }
        }
        self.samples.push(sample);
    }

    /// Forgets what came before `now`, because the worker has changed its speed.
    pub fn forget(&mut self, now: Millis) {
        self.samples.retain(|s| s.at >= now);
        self.recorded = None;
        self.level = None;
    }

    /// Whether the speed is known well enough to rely on.
    pub(crate) fn is_known(&self) -> bool {
        self.level.is_some_and(|(_, deviation)| deviation <= KNOWN)
    }

    /// Whether its speed can be told from the length of its tasks: members of a gang have the same
    /// work, while of single tasks it takes several.
    pub(super) fn is_clear(&self) -> bool {
        let first = self.samples.first();
        let several = first.is_some_and(|f| self.samples.iter().any(|s| s.step != f.step));
        several || self.recorded.is_some() || self.samples.iter().any(|s| s.kind == Kind::Member)
    }

    /// When a run was last measured.
    pub fn measured_at(&self) -> Option<Millis> {
        self.samples.iter().map(|s| s.at).max()
    }
}
