//! Keys of the daemons' records in the store.

use base::JobId;

/// The lock that the coordinator holds.
pub const LOCK: &str = "bronzetack/lock";

/// The load of the site as the coordinator publishes it.
pub const LOAD: &str = "bronzetack/load";

/// Prefix of what daemons publish about themselves, one key for each daemon.
pub const PEERS: &str = "bronzetack/daemons/";

/// Prefix of callers' requests: submissions and cancellations. Ends that a former coordinator hands
/// on are there, too.
pub const REQUESTS: &str = "bronzetack/asked/";

/// Prefix of the coordinator's records of jobs.
pub const RUNS: &str = "bronzetack/runs/";

/// Prefix of the coordinator's records of upkeep waves.
pub const WAVES: &str = "bronzetack/wave/";

const JOB: &str = "/job";
const CANCEL: &str = "/cancel";
const ENDS: &str = "/ends";

/// A key under [`REQUESTS`], parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestKey {
    /// Key of the cancellation of this job.
    Cancel(JobId),
    /// Key of the ends that a former coordinator has seen and not recorded.
    Ends,
    /// Key of the submission of this job, or of its refusal.
    Job(JobId),
}

/// Key of what the daemon with this instance publishes about itself.
pub fn peer(instance: &str) -> String {
    format!("{PEERS}{instance}")
}

/// Key of a submission or its refusal.
pub fn job(id: &JobId) -> String {
    format!("{REQUESTS}{id}{JOB}")
}

/// Key of a cancellation.
pub fn cancel(id: &JobId) -> String {
    format!("{REQUESTS}{id}{CANCEL}")
}

/// Key of the coordinator's record of a job.
pub fn run(id: &JobId) -> String {
    format!("{RUNS}{id}")
}

/// Key of a part of the ends that a coordinator of this instance has seen and not recorded. It is under
/// [`REQUESTS`], so that the next coordinator's watch on that prefix shows it.
pub fn ends(instance: &str, part: usize) -> String {
    format!("{REQUESTS}{instance}/{part}{ENDS}")
}

/// Parses a key under [`REQUESTS`]; `None` if it is of another form.
pub fn parse_request(key: &str) -> Option<RequestKey> {
    let rest = key.strip_prefix(REQUESTS)?;
    if let Some(id) = rest.strip_suffix(JOB) {
        return Some(RequestKey::Job(id.parse().ok()?));
    }
    if rest.ends_with(ENDS) {
        return Some(RequestKey::Ends);
    }
    let id = rest.strip_suffix(CANCEL)?;
    Some(RequestKey::Cancel(id.parse().ok()?))
}

/// Parses a key under [`RUNS`]: the job whose record it holds.
pub fn parse_run(key: &str) -> Option<JobId> {
    key.strip_prefix(RUNS)?.parse().ok()
}

/// Key of the coordinator's record of an upkeep wave.
pub fn wave(number: u64) -> String {
    format!("{WAVES}{number}")
}

/// Parses a key under [`WAVES`]: the number of the wave whose record it holds.
pub fn parse_wave(key: &str) -> Option<u64> {
    key.strip_prefix(WAVES)?.parse().ok()
}
