//! Messages on the state of the site and its workers.

use base::Accels;
use base::DomainId;
use base::Epoch;
use base::Millis;
use base::RackId;
use base::Revision;
use base::VmId;
use base::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use crate::api::settings::ShapeInfo;

/// What a daemon knows of the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// Does not answer.
    Down,
    /// Answers late.
    Slow,
    /// Answers.
    Up,
}

/// The site as one daemon sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The daemon.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it takes requests.
    pub ready: bool,
    /// Why it does not, or what is impaired.
    pub alarms: Vec<String>,
    /// The platform.
    pub platform: PlatformState,
    /// The settings revision in force.
    pub revision: Revision,
    /// Age of the proof that no newer revision exists; absent without any.
    pub age: Option<Millis>,
    /// Whether starts are held for want of a fresh proof.
    pub held: bool,
    /// Known holders of the coordinator's role.
    pub coordinators: Vec<Coordinator>,
    /// Other daemons.
    pub peers: Vec<PeerStatus>,
    /// Failure domains.
    pub domains: Vec<DomainStatus>,
    /// Guarantees that could not be claimed now.
    pub short: Vec<ShapeInfo>,
}

/// The holder of a failure domain's coordinator role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coordinator {
    /// The failure domain.
    pub domain: DomainId,
    /// The holder; absent while there is none.
    pub vm: Option<VmId>,
    /// Its epoch.
    pub epoch: Epoch,
}

/// Another daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// The daemon.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Time since it was heard; absent if never.
    pub heard: Option<Millis>,
    /// The settings revision that it has in force.
    pub revision: Revision,
}

/// A failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub domain: DomainId,
    /// Whether operators have taken it out.
    pub out: bool,
    /// Workers, leaving and isolated ones included.
    pub workers: u32,
    /// Accelerators.
    pub accels: Accels,
    /// Accelerators that no task holds.
    pub free: Accels,
    /// Jobs that run.
    pub running: u32,
    /// Jobs that wait.
    pub queued: u32,
}

/// Which workers to list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkersQuery {
    /// Only those of this failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainId>,
}

/// Workers, ordered by failure domain, rack and id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkersReply {
    /// The workers.
    pub workers: Vec<WorkerInfo>,
}

/// A worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerInfo {
    /// The worker.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its rack.
    pub rack: RackId,
    /// Accelerators.
    pub accels: Accels,
    /// Accelerators that no task holds.
    pub free: Accels,
    /// Whether it answers.
    pub live: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is isolated for failing what it starts.
    pub isolated: bool,
    /// Requests in progress as far as this daemon knows.
    pub requests: u32,
}
