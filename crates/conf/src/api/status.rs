//! Responses about the state of the site and its workers.

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

/// State of the platform as seen by a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The platform does not respond.
    Down,
    /// The platform responds slowly.
    Slow,
    /// The platform responds normally.
    Up,
}

/// State of the site as seen by one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// VM of the answering daemon.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether the daemon accepts requests.
    pub ready: bool,
    /// Reasons for not being ready, and degraded functions.
    pub alarms: Vec<String>,
    /// State of the platform.
    pub platform: PlatformState,
    /// Settings revision in force.
    pub revision: Revision,
    /// Time since the revision was last confirmed to be the newest; absent if it never was.
    pub age: Option<Millis>,
    /// Whether task starts are suspended because that confirmation is too old.
    pub held: bool,
    /// Known coordinators of the failure domains.
    pub coordinators: Vec<Coordinator>,
    /// Other daemons known to this one.
    pub peers: Vec<PeerStatus>,
    /// State of each failure domain.
    pub domains: Vec<DomainStatus>,
    /// Guarantees that the current capacity cannot satisfy.
    pub short: Vec<ShapeInfo>,
}

/// Coordinator of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coordinator {
    /// Failure domain.
    pub domain: DomainId,
    /// VM of the coordinator; absent while there is none.
    pub vm: Option<VmId>,
    /// Epoch of the coordinator.
    pub epoch: Epoch,
}

/// State of another daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// VM of the other daemon.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Time since its last message; absent if there was none.
    pub heard: Option<Millis>,
    /// Settings revision that it has in force.
    pub revision: Revision,
}

/// State of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainStatus {
    /// Name of the failure domain.
    pub domain: DomainId,
    /// Whether operators have taken it out of service.
    pub out: bool,
    /// Number of workers, including those that are leaving or isolated.
    pub workers: u32,
    /// Total number of accelerators.
    pub accels: Accels,
    /// Number of accelerators not assigned to a task.
    pub free: Accels,
    /// Number of running jobs.
    pub running: u32,
    /// Number of queued jobs.
    pub queued: u32,
}

/// Filter of the workers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkersQuery {
    /// Restricts the list to this failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainId>,
}

/// List of workers, ordered by failure domain, rack and id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkersReply {
    /// Workers that match the query.
    pub workers: Vec<WorkerInfo>,
}

/// State of one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerInfo {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Rack that it is installed in.
    pub rack: RackId,
    /// Total number of accelerators.
    pub accels: Accels,
    /// Number of accelerators not assigned to a task.
    pub free: Accels,
    /// Whether the worker responds.
    pub live: bool,
    /// Whether the worker is leaving and takes no new work.
    pub leaving: bool,
    /// Whether the worker is isolated after repeated failures.
    pub isolated: bool,
    /// Requests in progress on the worker, as known to this daemon.
    pub requests: u32,
}
