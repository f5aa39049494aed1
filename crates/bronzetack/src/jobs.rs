//! Jobs service: accepts gang jobs, stores their records, and schedules the jobs of this
//! daemon's failure domain while the daemon holds the domain's coordinator lock.

mod actor;
mod calls;
mod cancel;
mod info;
mod lock;
mod offers;
mod records;
mod scheduler;
mod submit;
mod tombstone;

pub use actor::start;
pub use actor::Jobs;
pub use actor::JobsState;
pub use actor::ReadJobsState;
pub use actor::SetPermit;
pub use actor::SetPolicy;
pub use actor::JOBS;
pub use scheduler::Action;
pub use scheduler::DomainScheduler;
pub use scheduler::Input;
