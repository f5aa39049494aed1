//! Stand-ins of the platform, the workers and the callers for tests.
//!
//! Nothing here is shipped. Each stand-in runs on a thread of its own, or as a process of
//! its own through the examples of this package.

pub mod tasks;
pub mod worker;
