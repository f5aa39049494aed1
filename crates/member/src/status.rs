//! Classes of reach.

/// How the platform answers this VM.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Platform {
    /// Calls fail or stay open.
    Down,
    /// Calls are answered late.
    Slow,
    /// Calls are answered in time.
    Up,
}

/// How many of the other listed entry VMs are heard.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Peers {
    /// Each of them.
    All,
    /// None of them.
    None,
    /// Some, but not all.
    Some,
}
