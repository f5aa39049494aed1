//! Reachability of the platform and of the other entry VMs.

/// Whether and how fast the platform answers this VM.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PlatformStatus {
    /// Calls fail or are not answered.
    Down,
    /// Calls are answered with high latency.
    Slow,
    /// Calls are answered in time.
    Up,
}

/// How many of the other listed entry VMs are reachable.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PeerReach {
    /// All of them, also if there are none.
    All,
    /// None of them.
    None,
    /// At least one, but not all.
    Some,
}
