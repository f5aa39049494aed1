//! What VMs tell each other, and what the platform stores and lists.

use base::DomainId;
use base::Millis;
use base::VmId;
use claim::View;
use claim::ViewNumber;
use serde::Deserialize;
use serde::Serialize;

/// An entry VM as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RosterVm {
    /// The VM.
    pub id: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's value for one home domain.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ViewRecord {
    /// The view.
    pub view: View,
    /// The VMs that may replace it: all that its maker knew. While each of them says that
    /// it knows no newer view and makes none, there is none.
    pub known: Vec<VmId>,
}

/// What a VM knows of one view.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ViewProof {
    /// The home domain.
    pub domain: DomainId,
    /// The newest view that the VM knows.
    pub number: ViewNumber,
    /// Age of its proof that this is the newest; `None` without one.
    pub age: Option<Millis>,
    /// Whether a compare-and-swap to a newer view by this VM may be open.
    pub open: bool,
}

/// A VM's reply to a ping.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PeerState {
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Age of the newest platform answer; `None` without one.
    pub platform: Option<Millis>,
    /// Age of its newest proof that `revision` is the newest; `None` without one.
    pub settings: Option<Millis>,
    /// The VMs that it hears.
    pub hears: Vec<VmId>,
    /// The views that it knows.
    pub views: Vec<ViewProof>,
}
