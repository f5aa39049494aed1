//! Client of the platform: key-value service and list of VMs.
//!
//! [`Store`] is a client of the etcd v3 JSON gateway. It limits the call rate of a node, reports
//! for each failed call whether it may have taken effect, and resumes watches without missing
//! changes. [`Vms`] polls the list of VMs.

mod budget;
mod call;
mod config;
mod error;
mod health;
mod inner;
mod lines;
mod metrics;
mod resolve;
mod store;
mod types;
mod vms;
mod watch;
mod watch_wire;
mod wire;

pub use budget::CallBudget;
pub use budget::Priority;
pub use config::StoreConfig;
pub use error::StoreError;
pub use error::Violation;
pub use health::Admission;
pub use health::CallResult;
pub use health::HealthState;
pub use health::HealthTracker;
pub use store::Store;
pub use types::Change;
pub use types::Entry;
pub use types::Expect;
pub use types::KeepAlive;
pub use types::LeaseId;
pub use types::Listing;
pub use types::WriteOutcome;
pub use vms::EntryVm;
pub use vms::VmError;
pub use vms::VmList;
pub use vms::VmState;
pub use vms::Vms;
pub use vms::VmsConfig;
pub use vms::WorkerVm;
pub use watch::Watch;
pub use watch::WatchEvent;
