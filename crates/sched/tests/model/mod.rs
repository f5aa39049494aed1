//! Simulated workers, network and store around real coordinators, for tests and examples.
#![allow(dead_code)]

pub mod event;
pub mod observer;
pub mod search;
pub mod site;
pub mod soak;
pub mod worker;
pub mod world;
