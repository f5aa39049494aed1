//! The service of jobs: accepts them, keeps their records, and coordinates the own failure
//! domain while this daemon holds its lock.

mod bridge;
mod calls;
mod cancel;
mod host;
mod info;
mod lock;
mod offers;
mod records;
mod submit;

pub use bridge::Action;
pub use bridge::Bridge;
pub use bridge::Input;
pub use host::start;
pub use host::Jobs;
pub use host::JobsState;
pub use host::ReadJobsState;
pub use host::SetPolicy;
pub use host::SetProof;
pub use host::JOBS;
