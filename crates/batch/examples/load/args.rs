//! Arguments of the emulator.

#![allow(missing_docs)]

xflags::xflags! {
    /// Emulates a site and prints one line of JSON for each seed and one with the means.
    cmd load {
        /// Number of workers; 1100 if not given.
        optional --workers workers: usize
        /// First seed; 1 if not given.
        optional --seed seed: u64
        /// Number of seeds; 4 if not given.
        optional --seeds seeds: u64
        /// Factor of the burst of urgent jobs from second 5 to 11; 2.6 if not given.
        optional --burst burst: f64
        /// Factor of the burst of small tasks from second 9 to 13; 2.6 if not given.
        optional --small small: f64
        /// Number of workers that run at a quarter of their speed; 0 if not given.
        optional --slow slow: usize
        /// Speeds of the workers in percent, in turn, such as 60,100,160; all 100 if not given.
        optional --speeds speeds: String
        /// Number of workers that fail all that they start from second 1.5 to 8; 0 if not given.
        optional --failing failing: usize
        /// Number of organisations; 24 if not given.
        optional --orgs orgs: usize
        /// Gives the organisations weights, by turns of 1, 2 and 4.
        optional --weights
        /// Limit of each organisation in accelerators; none if not given.
        optional --limit limit: u64
        /// Number of jobs that wait from the start, for the cost of a pass; 0 if not given.
        optional --backlog backlog: usize
        /// Number of turns after which it ends; all if not given.
        optional --turns turns: u64
        /// Prints the worth by windows of two seconds.
        optional --windows
    }
}
