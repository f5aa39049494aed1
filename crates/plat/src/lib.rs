//! Client of the platform: key-value service and list of VMs.
//!
//! [`Store`] speaks the etcd v3 JSON gateway behind a narrow interface. It keeps a node within
//! its call budget, tells calls that were certainly not applied from calls that may have been,
//! and resumes watches without gaps.

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

pub use budget::Budget;
pub use budget::Priority;
pub use config::StoreConfig;
pub use error::StoreError;
pub use error::Violation;
pub use health::Admission;
pub use health::CallResult;
pub use health::Health;
pub use health::HealthState;
pub use store::Store;
pub use types::Change;
pub use types::Entry;
pub use types::Expect;
pub use types::KeepAlive;
pub use types::LeaseId;
pub use types::Listing;
pub use types::Put;
pub use vms::EntryVm;
pub use vms::VmError;
pub use vms::VmList;
pub use vms::VmState;
pub use vms::Vms;
pub use vms::VmsConfig;
pub use vms::WorkerVm;
pub use watch::Watch;
pub use watch::WatchEvent;
