//! Command-line arguments of the example.
#![allow(missing_docs)]

xflags::xflags! {
    /// Runs a small site on the loopback interface under load and audits the outcomes.
    cmd args {
        /// Duration of the request load in seconds. Default: 10
        optional --seconds seconds: u64
        /// Failure domains. Default: 2
        optional --domains domains: usize
        /// Daemons in each failure domain. Default: 1
        optional --daemons daemons: usize
        /// Workers in each failure domain. Default: 4
        optional --workers workers: usize
        /// Requests per second. Default: 400
        optional --rate rate: u64
        /// Gang jobs to submit. Default: 20
        optional --jobs jobs: usize
    }
}
