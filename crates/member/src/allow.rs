//! Which activities a failure domain may carry on, depending on whether the platform and the other
//! entry VMs are reachable.

use std::fmt;

use crate::status::PeerReach;
use crate::status::PlatformStatus;

/// An activity that may depend on the platform or on other entry VMs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Activity {
    /// Dispatch of idempotent requests.
    Idempotent,
    /// Acceptance of new jobs.
    NewJobs,
    /// Start of tasks.
    NewTasks,
    /// Dispatch of non-idempotent requests.
    NonIdempotent,
    /// Continuation of tasks that are already running.
    RunningTasks,
    /// Changes of settings by operators.
    SettingsChange,
}

impl Activity {
    /// All activities, in the column order of the documented table.
    pub const ALL: [Activity; 6] = [
        Activity::Idempotent,
        Activity::NonIdempotent,
        Activity::RunningTasks,
        Activity::NewTasks,
        Activity::NewJobs,
        Activity::SettingsChange,
    ];
}

/// Whether and under which condition an activity is allowed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Decision {
    /// As [`Decision::Part`], but only until the leases of the owners expire.
    Lease,
    /// Not allowed.
    No,
    /// Allowed for ids whose owner and backup are both reachable.
    Part,
    /// Allowed only with a recent proof that the local settings are the newest.
    Proof,
    /// Allowed only through a peer that reaches the platform.
    Relay,
    /// Allowed without condition.
    Yes,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Decision::Lease => "lease",
            Decision::No => "no",
            Decision::Part => "part",
            Decision::Proof => "proof",
            Decision::Relay => "relay",
            Decision::Yes => "yes",
        })
    }
}

/// Decides whether `activity` is allowed.
///
/// `only_daemons` states that operators change settings only through the daemons. In that case no
/// setting can have changed while no entry VM reaches the platform and all VMs are reachable.
pub fn allowed(
    platform: PlatformStatus,
    peers: PeerReach,
    activity: Activity,
    only_daemons: bool,
) -> Decision {
    let down = platform == PlatformStatus::Down;
    match activity {
        Activity::Idempotent | Activity::RunningTasks => Decision::Yes,
        Activity::NonIdempotent => match (down, peers) {
            (_, PeerReach::All) => Decision::Yes,
            (false, _) => Decision::Part,
            (true, _) => Decision::Lease,
        },
        Activity::NewTasks => match (platform, peers) {
            (PlatformStatus::Up, _) => Decision::Yes,
            (PlatformStatus::Slow, _) => Decision::Proof,
            (PlatformStatus::Down, PeerReach::None) => Decision::No,
            (PlatformStatus::Down, PeerReach::All) if only_daemons => Decision::Yes,
            (PlatformStatus::Down, _) => Decision::Proof,
        },
        Activity::NewJobs | Activity::SettingsChange => match (down, peers) {
            (false, _) => Decision::Yes,
            (true, PeerReach::None) => Decision::No,
            (true, _) => Decision::Relay,
        },
    }
}
