//! Runs every command of the compiled tool against a fake daemon.

mod check;
mod common;
mod domain;
mod failure;
mod help;
mod job;
mod load;
mod org;
mod output;
mod report;
mod settings;
mod shape;
mod site;
mod status;
mod worker;
