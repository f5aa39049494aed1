//! Inputs and actions of the membership state machine.

use base::DomainId;
use base::Millis;
use base::VmId;
use claim::ViewNumber;

use crate::state::ListedVm;
use crate::state::PeerState;
use crate::state::ViewRecord;

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CasResult {
    /// Nothing was written, for example because the key had another version.
    NotWritten,
    /// There was no answer, or the answer does not tell whether the record was written.
    Unknown,
    /// The record was written.
    Written {
        /// The new version of the key.
        version: u64,
    },
}

/// An event to handle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A VM replied to a ping.
    PingReply {
        /// The VM that replied.
        from: VmId,
        /// When the ping was sent, by the clock of this VM.
        asked: Millis,
        /// The content of the reply.
        state: PeerState,
    },
    /// The reply to [`Action::Fetch`].
    Fetched {
        /// The home domain of the record.
        domain: DomainId,
        /// The record known to the other VM.
        record: ViewRecord,
    },
    /// A call to the platform ended.
    PlatformCall {
        /// When the call was sent.
        asked: Millis,
        /// Whether the platform answered.
        ok: bool,
    },
    /// The reply to [`Action::Read`].
    Read {
        /// The home domain of the record.
        domain: DomainId,
        /// When the read was sent.
        asked: Millis,
        /// The record and its version; `None` if the key is missing.
        found: Option<(ViewRecord, u64)>,
    },
    /// An [`Action::Read`] failed.
    ReadFailed(DomainId),
    /// The list of entry VMs as kept by the platform.
    VmList(Vec<ListedVm>),
    /// The local settings were proven to be the newest by a request sent at this time.
    Settings(Millis),
    /// A planned stop begins.
    Stop,
    /// The result of [`Action::Propose`].
    ProposeResult {
        /// The home domain of the record.
        domain: DomainId,
        /// When the proposal was sent.
        asked: Millis,
        /// The proposed record.
        record: ViewRecord,
        /// The result of the compare-and-swap.
        result: CasResult,
    },
    /// Time has passed; expected at least every half of [`crate::Settings::local_ping`].
    Tick,
}

/// What the caller of [`crate::Members::step`] has to do, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the VM for its record of a home domain; the reply is passed in as [`Input::Fetched`].
    Fetch {
        /// The VM to ask.
        from: VmId,
        /// The home domain of the record.
        domain: DomainId,
    },
    /// Extend the lease of the claims of the home domain.
    Lease {
        /// The home domain.
        domain: DomainId,
        /// Number of the proven view.
        view: ViewNumber,
        /// When the lease expires.
        until: Millis,
    },
    /// A VM became unreachable; inform the claims.
    PeerDown(VmId),
    /// A VM is reachable again; inform the claims.
    PeerUp(VmId),
    /// Ask the VM for its [`crate::Members::state`]; the reply is passed in as
    /// [`Input::PingReply`].
    Ping(VmId),
    /// Write the record if the key still has the expected version.
    Propose {
        /// The home domain of the record.
        domain: DomainId,
        /// The expected version; zero if the key must be missing.
        version: u64,
        /// The record to write.
        record: ViewRecord,
    },
    /// Read the record of a home domain from the platform.
    Read(DomainId),
    /// A newer view is known; pass it to the claims of the home domain.
    View {
        /// The home domain of the record.
        domain: DomainId,
        /// The record with the new view.
        record: ViewRecord,
    },
}
