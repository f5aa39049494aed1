//! Stand-ins of the platform, the workers and the callers for tests.
//!
//! Nothing here is shipped. Each stand-in runs on a thread of its own, or as a process of
//! its own through the examples of this package.

pub mod fault;
pub mod fault_relay;
pub mod platform;
pub mod platform_calls;
pub mod platform_http;
pub mod platform_kv;
pub mod platform_state;
pub mod platform_vms;
pub mod platform_watch;
pub mod platform_wire;
pub mod tasks;
pub mod worker;
