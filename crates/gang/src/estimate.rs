//! Run time estimates, learned by organisation and kind of job.

use base::JobKind;
use base::JobSpec;
use base::Map;
use base::Millis;
use base::OrgId;

/// Weight of the latest job in the exponential moving average.
const SMOOTHING: f64 = 0.2;

/// Lower and upper bound of a recorded ratio.
const RATIO_BOUNDS: (f64, f64) = (0.01, 100.0);

/// Limit of the pairs of organisation and kind with a recorded ratio; further pairs use the
/// declared run time.
const MAX_KINDS: usize = 4096;

/// Moving averages of the logarithm of actual to declared run time, by organisation and kind.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    mean_logs: Map<OrgId, Map<JobKind, f64>>,
    kind_count: usize,
}

impl Estimates {
    /// Records the actual run time of a finished job.
    pub fn record(&mut self, spec: &JobSpec, actual: Millis) {
        let ratio = actual.0.max(1) as f64 / spec.length.0.max(1) as f64;
        let log = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln();
        let kinds = self.mean_logs.entry(spec.org.clone()).or_default();
        if let Some(mean) = kinds.get_mut(&spec.kind) {
            *mean += SMOOTHING * (log - *mean);
        } else if self.kind_count < MAX_KINDS {
            self.kind_count += 1;
            kinds.insert(spec.kind.clone(), log);
        }
    }

    /// Expected run time of the whole job.
    pub fn run_time(&self, spec: &JobSpec) -> Millis {
        let kinds = self.mean_logs.get(&spec.org);
        let log = kinds
            .and_then(|k| k.get(&spec.kind))
            .copied()
            .unwrap_or(0.0);
        Millis((spec.length.0.max(1) as f64 * log.exp()) as u64)
    }

    /// Expected remaining time of a job that has run for `elapsed`. A job that exceeds its
    /// estimate is expected to take half as long again as it has already run.
    pub fn remaining_time(&self, spec: &JobSpec, elapsed: Millis) -> Millis {
        let run_time = self.run_time(spec);
        if elapsed < run_time {
            return run_time.since(elapsed);
        }
        Millis((elapsed.0 / 2).max(1))
    }
}
