//! What stops have cost so far.

/// Sums over one coordinator's epoch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StopTotals {
    /// Decisions to stop runs for a step, by how pressing it was: not, for its guarantee, and at last.
    pub decisions: [u64; 3],
    /// Runs that were stopped, likewise.
    pub runs: [u64; 3],
    /// Work that they lost in core-milliseconds, likewise.
    pub lost: [u64; 3],
    /// Times that a step was left to wait because it is expected to start in time.
    pub spared: u64,
    /// Times that nothing was stopped for a step because it would end late all the same.
    pub late: u64,
    /// Times that stops would have cost more than allowed.
    pub dear: u64,
    /// Decisions for a step for which runs had been stopped before.
    pub repeated: u64,
}
