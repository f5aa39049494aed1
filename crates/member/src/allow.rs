//! What a failure domain may do, by its reach of the platform and of the other entry VMs.

use std::fmt;

use crate::status::Peers;
use crate::status::Platform;

/// A kind of work or change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Activity {
    /// Idempotent requests.
    Idempotent,
    /// Jobs not yet recorded.
    NewJobs,
    /// Starts of tasks.
    NewTasks,
    /// Non-idempotent requests.
    NonIdempotent,
    /// Tasks that run.
    RunningTasks,
    /// Changes of the operators' settings.
    SettingsChange,
}

impl Activity {
    /// All activities, in the order of the table in the documentation.
    pub const ALL: [Activity; 6] = [
        Activity::Idempotent,
        Activity::NonIdempotent,
        Activity::RunningTasks,
        Activity::NewTasks,
        Activity::NewJobs,
        Activity::SettingsChange,
    ];
}

/// Whether an activity is allowed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Decision {
    /// As [`Decision::Part`], until the owners' leases end.
    Lease,
    /// Not allowed.
    No,
    /// For the ids whose owner and copy-holder are both heard.
    Part,
    /// Only with a proof, young enough, that the settings held are the newest.
    Proof,
    /// Only through a peer that reaches the platform.
    Relay,
    /// Allowed.
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

/// Whether `activity` is allowed.
///
/// `only_daemons` states that operators change settings through the daemons only. Then no
/// setting can have changed while no entry VM reaches the platform and all are heard.
pub fn allowed(
    platform: Platform,
    peers: Peers,
    activity: Activity,
    only_daemons: bool,
) -> Decision {
    let down = platform == Platform::Down;
    match activity {
        Activity::Idempotent | Activity::RunningTasks => Decision::Yes,
        Activity::NonIdempotent => match (down, peers) {
            (_, Peers::All) => Decision::Yes,
            (false, _) => Decision::Part,
            (true, _) => Decision::Lease,
        },
        Activity::NewTasks => match (platform, peers) {
            (Platform::Up, _) => Decision::Yes,
            (Platform::Slow, _) => Decision::Proof,
            (Platform::Down, Peers::None) => Decision::No,
            (Platform::Down, Peers::All) if only_daemons => Decision::Yes,
            (Platform::Down, _) => Decision::Proof,
        },
        Activity::NewJobs | Activity::SettingsChange => match (down, peers) {
            (false, _) => Decision::Yes,
            (true, Peers::None) => Decision::No,
            (true, _) => Decision::Relay,
        },
    }
}
