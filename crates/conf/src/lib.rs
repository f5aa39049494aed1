//! Daemon configuration files, the operators' settings tree and its replication.
//!
//! - [`node`] reads the configuration file of a daemon.
//! - [`batch`] reads the configuration file of a daemon of the site-wide batch scheduler.
//! - [`tree`] holds the operators' settings as an immutable value.
//! - [`sync`] replicates the tree to every daemon and makes changes durable in the store.
//! - [`api`] defines the JSON messages of the operators' port.

pub mod api;
pub mod batch;
pub mod node;
mod source;
pub mod sync;
pub mod tree;
