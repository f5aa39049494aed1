//! Command-line arguments of the chaos test.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Sends requests through daemons that are killed, frozen and replaced, and audits the
    /// outcomes.
    cmd args {
        /// Requests to send. Default: 200000
        optional --requests requests: u64
        /// Requests per second. Default: 4000
        optional --rate rate: u64
        /// Seed of the faults and of the load. Default: 1
        optional --seed seed: u64
        /// Daemons in each of the two failure domains. Default: 3
        optional --daemons daemons: usize
        /// Workers in each failure domain. Default: 8
        optional --workers workers: usize
        /// Path of the daemon program. Default: `bronzetack` in the directory above the examples
        optional --daemon daemon: PathBuf
    }
}
