//! Names of the platform's keys.

use base::DomainId;
use base::JobId;

/// Prefix of the records of jobs.
pub const JOBS: &str = "bronzetack/jobs/";

/// The operators' settings.
pub const SETTINGS: &str = "bronzetack/settings";

/// The record of a job.
pub fn job(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

/// The lock of a failure domain's coordinator.
pub fn lock(domain: &DomainId) -> String {
    format!("bronzetack/locks/{domain}")
}

/// The membership view of a failure domain.
pub fn view(domain: &DomainId) -> String {
    format!("bronzetack/views/{domain}")
}
