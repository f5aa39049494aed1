//! Node settings, the operators' settings tree and its distribution.
//!
//! - [`node`] reads the settings file of one daemon.
//! - [`batch`] reads the settings file of one daemon of a whole site's scheduler.
//! - [`tree`] holds the operators' settings as a pure value.
//! - [`sync`] keeps the tree of a daemon the newest and carries changes out.
//! - [`api`] holds the JSON messages of the operators' port.

pub mod api;
pub mod batch;
pub mod node;
mod source;
pub mod sync;
pub mod tree;
