//! Arguments of the example.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Sends requests through daemons that are killed, frozen and replaced, and audits them.
    cmd args {
        /// Requests to send; 200000 unless given.
        optional --requests requests: u64
        /// Requests a second; 4000 unless given.
        optional --rate rate: u64
        /// Seed of the faults and of the load; 1 unless given.
        optional --seed seed: u64
        /// Daemons in each of the two failure domains; 3 unless given.
        optional --daemons daemons: usize
        /// Workers in each failure domain; 8 unless given.
        optional --workers workers: usize
        /// The daemon's program; beside this example's directory unless given.
        optional --daemon daemon: PathBuf
    }
}
