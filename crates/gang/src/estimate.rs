//! Run times learned by organisation and kind of job.

use base::JobKind;
use base::JobSpec;
use base::Map;
use base::Millis;
use base::OrgId;

/// Weight of the newest job in the running mean.
const SMOOTHING: f64 = 0.2;

/// Bounds of the learned ratio of actual to declared run time.
const RATIO_BOUNDS: (f64, f64) = (0.01, 100.0);

/// Most pairs of organisation and kind that are remembered.
const MAX_KINDS: usize = 4096;

/// Learned ratios of actual to declared run time.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    mean_logs: Map<OrgId, Map<JobKind, f64>>,
    kind_count: usize,
}

impl Estimates {
    /// Takes note of a finished job's actual run time.
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

    /// The expected run time of a whole job.
    pub fn run_time(&self, spec: &JobSpec) -> Millis {
        let kinds = self.mean_logs.get(&spec.org);
        let log = kinds
            .and_then(|k| k.get(&spec.kind))
            .copied()
            .unwrap_or(0.0);
        Millis((spec.length.0.max(1) as f64 * log.exp()) as u64)
    }

    /// The expected time left of a job after it has run for `run`. One that runs over is
    /// expected to take half as long again as it already took.
    pub fn remaining_time(&self, spec: &JobSpec, elapsed: Millis) -> Millis {
        let run_time = self.run_time(spec);
        if elapsed < run_time {
            return run_time.since(elapsed);
        }
        Millis((elapsed.0 / 2).max(1))
    }
}
