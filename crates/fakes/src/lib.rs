//! Fakes of the platform and of workers, and a fault-injecting TCP relay, for tests.
//!
//! Nothing here is shipped. Each fake runs on its own thread, or as a separate process through the
//! examples of this package.

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
