//! The bronzetack daemon: its services, and the types that start and stop them.

pub mod batch;
pub mod claims;
pub mod daemon;
pub mod jobs;
pub mod members;
pub mod peers;
pub mod settings;
pub mod status;

mod context;
mod keys;
mod requests;
mod store;
mod vms;

pub use batch::BatchDaemon;
pub use daemon::Daemon;
pub use daemon::DaemonError;
pub use daemon::Ports;
