//! Messages between VMs, and the data that the platform stores and lists.

use base::DomainId;
use base::Millis;
use base::VmId;
use claim::View;
use claim::ViewNumber;
use serde::Deserialize;
use serde::Serialize;

/// An entry VM as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ListedVm {
    /// Id of the VM.
    pub id: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Whether the VM is about to stop.
    pub leaving: bool,
}

/// The value that the platform stores for one home domain.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ViewRecord {
    /// The current view.
    pub view: View,
    /// The VMs that may replace the view: all that were known to its proposer. As long as each of
    /// them reports that it knows no newer view and is not proposing one, there is no newer view.
    pub known: Vec<VmId>,
}

/// What a VM knows of one view.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ViewProof {
    /// The home domain of the view.
    pub domain: DomainId,
    /// Number of the newest view known to the VM.
    pub number: ViewNumber,
    /// Age of the VM's proof that this view is the newest; `None` without a proof.
    pub age: Option<Millis>,
    /// Whether a proposal of a newer view by this VM may still take effect.
    pub open: bool,
}

/// The reply to a ping.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PeerState {
    /// Failure domain of the VM that replies.
    pub domain: DomainId,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Age of its latest answer from the platform; `None` without one.
    pub platform: Option<Millis>,
    /// Age of its latest proof that its settings are the newest; `None` without a proof.
    pub settings: Option<Millis>,
    /// The VMs that it can reach.
    pub hears: Vec<VmId>,
    /// The views that it knows.
    pub views: Vec<ViewProof>,
}
