//! Times and bounds of the membership.

use base::Millis;

/// Times and bounds. All daemons of a site use the same values.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Time between pings to VMs of the same failure domain.
    pub near: Millis,
    /// Time between pings to VMs of other failure domains.
    pub far: Millis,
    /// Pings without a reply after which a VM counts as silent.
    pub misses: u32,
    /// How long a member of a view is silent before it is replaced while a VM that is heard
    /// still hears it.
    pub broken: Millis,
    /// How long all members of a view are silent before a VM of another failure domain
    /// replaces them.
    pub takeover: Millis,
    /// Least time between two views of one domain; doubled with each recent change.
    pub gap: Millis,
    /// Longest time between two views that the doubling leads to.
    pub gap_limit: Millis,
    /// Age of a change that no longer counts as recent.
    pub recent: Millis,
    /// Authority after a proof that a view is the newest; as in the claims' limits.
    pub lease: Millis,
    /// How long the platform takes at most to stop listing a VM that has ended, or to list
    /// a new one.
    pub lag: Millis,
    /// Longest time after which a compare-and-swap without an answer takes effect.
    pub settle: Millis,
    /// Platform answers later than this count as slow.
    pub slow: Millis,
    /// Without a platform answer for this long, the platform counts as down.
    pub down: Millis,
    /// Age of a proof of the newest settings up to which tasks may be started.
    pub fresh: Millis,
    /// Whether operators change settings through the daemons only.
    pub only_daemons: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            near: Millis(500),
            far: Millis(1000),
            misses: 4,
            broken: Millis::from_secs(10),
            takeover: Millis::from_secs(30),
            gap: Millis::from_secs(2),
            gap_limit: Millis::from_secs(60),
            recent: Millis::from_secs(60),
            lease: Millis::from_secs(120),
            lag: Millis::from_secs(300),
            settle: Millis::from_secs(30),
            slow: Millis(500),
            down: Millis::from_secs(3),
            fresh: Millis::from_secs(2),
            only_daemons: false,
        }
    }
}
