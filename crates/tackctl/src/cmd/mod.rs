//! The commands, one module each.

pub mod check;
pub mod domain;
pub mod job;
pub mod load;
pub mod org;
pub mod report;
pub mod settings;
pub mod shape;
pub mod site;
pub mod status;
pub mod worker;
