//! Timing and limits of the membership.

use base::Millis;

/// Timing and limits. All daemons of a site must use the same values.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Interval of pings to VMs of the same failure domain.
    pub local_ping: Millis,
    /// Interval of pings to VMs of other failure domains.
    pub remote_ping: Millis,
    /// Number of ping intervals without a reply after which a VM counts as unreachable.
    pub missed_pings: u32,
    /// How long a member may be unreachable before it is replaced, if another reachable VM still
    /// reaches it.
    pub indirect_timeout: Millis,
    /// How long all members of a view have to be unreachable before a VM of another failure domain
    /// may replace them.
    pub takeover_timeout: Millis,
    /// Minimum time between two views of one domain; doubled with each recent change after the
    /// first few.
    pub min_interval: Millis,
    /// Maximum of the doubled time between two views.
    pub max_interval: Millis,
    /// Age up to which a change counts as recent.
    pub recent_window: Millis,
    /// Duration of the lease after a proof that a view is the newest. Must be equal to the lease
    /// in the limits of the claims.
    pub lease: Millis,
    /// Maximum delay with which the platform removes a terminated VM from its list or adds a new
    /// one.
    pub list_lag: Millis,
    /// Maximum time after which an unanswered compare-and-swap may still take effect.
    pub settle_time: Millis,
    /// Latency above which the platform counts as slow.
    pub slow_after: Millis,
    /// Time without an answer after which the platform counts as down.
    pub down_after: Millis,
    /// Maximum age of the proof of the newest settings with which tasks may be started.
    pub settings_freshness: Millis,
    /// Whether operators change settings only through the daemons.
    pub only_daemons: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            local_ping: Millis(500),
            remote_ping: Millis(1000),
            missed_pings: 4,
            indirect_timeout: Millis::from_secs(10),
            takeover_timeout: Millis::from_secs(30),
            min_interval: Millis::from_secs(2),
            max_interval: Millis::from_secs(60),
            recent_window: Millis::from_secs(60),
            lease: Millis::from_secs(120),
            list_lag: Millis::from_secs(300),
            settle_time: Millis::from_secs(30),
            slow_after: Millis(500),
            down_after: Millis::from_secs(3),
            settings_freshness: Millis::from_secs(2),
            only_daemons: false,
        }
    }
}
