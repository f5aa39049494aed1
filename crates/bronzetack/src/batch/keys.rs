//! Names of the keys in the store.

use base::JobId;

/// Lock of the coordinator.
pub const LOCK: &str = "bronzetack/lock";

/// What the coordinator publishes of the load.
pub const LOAD: &str = "bronzetack/load";

/// Prefix of the daemons' own addresses.
pub const PEERS: &str = "bronzetack/peers/";

/// Prefix of what callers have asked for: submissions and cancellations.
pub const ASKED: &str = "bronzetack/asked/";

/// Prefix of what the coordinator has recorded.
pub const RUNS: &str = "bronzetack/runs/";

/// Prefix of the coordinator's records of waves of upkeep.
pub const WAVES: &str = "bronzetack/wave/";

const JOB: &str = "/job";
const CANCEL: &str = "/cancel";

/// What a key under [`ASKED`] holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Asked {
    /// A cancellation.
    Cancel(JobId),
    /// A submission or its refusal.
    Job(JobId),
}

/// Key of a submission.
pub fn job(id: &JobId) -> String {
    format!("{ASKED}{id}{JOB}")
}

/// Key of a cancellation.
pub fn cancel(id: &JobId) -> String {
    format!("{ASKED}{id}{CANCEL}")
}

/// Key of the coordinator's record of a job.
pub fn run(id: &JobId) -> String {
    format!("{RUNS}{id}")
}

/// What a key under [`ASKED`] holds; `None` for a foreign key.
pub fn asked(key: &str) -> Option<Asked> {
    let rest = key.strip_prefix(ASKED)?;
    if let Some(id) = rest.strip_suffix(JOB) {
        return Some(Asked::Job(id.parse().ok()?));
    }
    let id = rest.strip_suffix(CANCEL)?;
    Some(Asked::Cancel(id.parse().ok()?))
}

/// The job whose record a key under [`RUNS`] holds.
pub fn run_of(key: &str) -> Option<JobId> {
    key.strip_prefix(RUNS)?.parse().ok()
}

/// Key of the coordinator's record of a wave of upkeep.
pub fn wave(number: u64) -> String {
    format!("{WAVES}{number}")
}

/// The wave whose record a key under [`WAVES`] holds.
pub fn wave_of(key: &str) -> Option<u64> {
    key.strip_prefix(WAVES)?.parse().ok()
}
