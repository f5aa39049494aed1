//! Arguments of the example.
#![allow(missing_docs)]

xflags::xflags! {
    /// Runs a small site on loopback.
    cmd args {
        /// How long requests are sent; 10 unless given.
        optional --seconds seconds: u64
        /// Failure domains; 2 unless given.
        optional --domains domains: usize
        /// Daemons in each failure domain; 1 unless given.
        optional --daemons daemons: usize
        /// Workers in each failure domain; 4 unless given.
        optional --workers workers: usize
        /// Requests a second; 400 unless given.
        optional --rate rate: u64
        /// Gang jobs; 20 unless given.
        optional --jobs jobs: usize
    }
}
