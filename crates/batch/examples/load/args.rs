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
        /// Number of workers that fail all that they start from second 1.5 to 8; 0 if not given.
        optional --failing failing: usize
        /// Number of the six failure domains that are out of service from second 1 to 10; 0 if not
        /// given.
        optional --out out: usize
        /// Workers of 128 cores on racks of 20, and tasks that need much of their processors.
        optional --heavy
        /// Prints what stops have cost.
        optional --stops
        /// Prints the worth by windows of two seconds.
        optional --windows
    }
}
