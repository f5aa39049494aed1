//! Models of workers, network and store around real coordinators, for tests and examples.
#![allow(dead_code)]

pub mod site;
pub mod worker;
