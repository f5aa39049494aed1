//! Node settings and the operators' settings tree.

pub mod node;
mod source;
