//! Keys of the entries that the daemon reads and writes in the platform store.

use base::DomainId;
use base::JobId;

/// Prefix of the keys of job records.
pub const JOBS: &str = "bronzetack/jobs/";

/// Key of the settings document.
pub const SETTINGS: &str = "bronzetack/settings";

/// Key of a job's record.
pub fn job(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

/// Key of the coordinator lock of a failure domain.
pub fn lock(domain: &DomainId) -> String {
    format!("bronzetack/locks/{domain}")
}

/// Key of the membership view of a failure domain.
pub fn view(domain: &DomainId) -> String {
    format!("bronzetack/views/{domain}")
}
