//! The `tackctl` operator tool.

fn main() {}
