//! Inputs and actions of the state machine.

use base::DomainId;
use base::Millis;
use base::VmId;
use claim::ViewNumber;

use crate::state::PeerState;
use crate::state::RosterVm;
use crate::state::ViewRecord;

/// What became of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Swap {
    /// Another version was there. Nothing was written.
    Lost,
    /// No answer, or one that does not tell.
    Unknown,
    /// The record was written.
    Won {
        /// Its version.
        version: u64,
    },
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A VM replied to a ping sent at `asked`.
    Heard {
        /// The VM.
        from: VmId,
        /// When the ping was sent, by this VM's clock.
        asked: Millis,
        /// The reply.
        state: PeerState,
    },
    /// A record that another VM passed on.
    Passed {
        /// The home domain.
        domain: DomainId,
        /// The record.
        record: ViewRecord,
    },
    /// Any platform call ended: when it was sent, and whether it was answered.
    Platform {
        /// When it was sent.
        asked: Millis,
        /// Whether the platform answered.
        ok: bool,
    },
    /// The platform's record of a view.
    Read {
        /// The home domain.
        domain: DomainId,
        /// When the read was sent.
        asked: Millis,
        /// The record and its version; `None` if the key is missing.
        found: Option<(ViewRecord, u64)>,
    },
    /// A read of a view failed.
    ReadFailed(DomainId),
    /// The platform's list of entry VMs.
    Roster(Vec<RosterVm>),
    /// The settings held were the newest when asked for at this time.
    Settings(Millis),
    /// A planned stop has begun.
    Stop,
    /// The result of [`Action::Propose`].
    Swapped {
        /// The home domain.
        domain: DomainId,
        /// When it was sent.
        asked: Millis,
        /// The proposed record.
        record: ViewRecord,
        /// What became of it.
        swap: Swap,
    },
    /// Time passed; due at least every half of [`crate::Settings::near`].
    Tick,
}

/// What the caller of [`crate::Members::step`] has to do, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the VM for its record of a home domain; the reply comes as [`Input::Passed`].
    Fetch {
        /// The VM.
        from: VmId,
        /// The home domain.
        domain: DomainId,
    },
    /// Pass the authority on to the claims of the home domain.
    Lease {
        /// The home domain.
        domain: DomainId,
        /// The view.
        view: ViewNumber,
        /// End of the authority.
        until: Millis,
    },
    /// The VM is heard no more; tell the claims.
    PeerDown(VmId),
    /// The VM is heard again.
    PeerUp(VmId),
    /// Ask the VM for its state; the reply is [`crate::Members::state`] there.
    Ping(VmId),
    /// Write the record if the platform still has the expected version.
    Propose {
        /// The home domain.
        domain: DomainId,
        /// Expected version; zero if the key must be missing.
        version: u64,
        /// The record.
        record: ViewRecord,
    },
    /// Read the record of a home domain from the platform.
    Read(DomainId),
    /// A newer view; pass it on to the claims of the home domain.
    View {
        /// The home domain.
        domain: DomainId,
        /// The record.
        record: ViewRecord,
    },
}
