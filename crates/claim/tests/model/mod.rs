//! A model of entry VMs, network, platform and upstream around the claim machine, whose
//! next events can be listed and carried out one by one.

#![allow(dead_code, unused_imports)]

mod events;
mod search;
mod walk;
mod world;

pub use search::search;
pub use search::Found;
pub use walk::explain;
pub use walk::shrink;
pub use walk::walk;
pub use walk::Walk;
pub use world::Budget;
pub use world::Event;
pub use world::World;
