//! The `bronzetack` daemon.

fn main() {}
