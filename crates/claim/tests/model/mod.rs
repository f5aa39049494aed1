//! Model of entry VMs, network, platform and upstream around the claim state machine. Its possible
//! next events can be enumerated and applied one by one.

#![allow(dead_code, unused_imports)]

mod events;
mod search;
mod system;
mod walk;

pub use search::search;
pub use search::SearchResult;
pub use system::Budget;
pub use system::Event;
pub use system::System;
pub use walk::describe;
pub use walk::shrink;
pub use walk::walk;
pub use walk::Walk;
