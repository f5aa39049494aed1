//! Membership of the entry VMs: which VMs are reachable, whether the platform answers, and which
//! VMs keep the claims of each home domain.
//!
//! [`Members`] is the state machine of one entry VM; it does no I/O and reads no clock.

mod allow;
mod check;
mod event;
mod machine;
mod peers;
mod propose;
mod settings;
mod state;
mod status;
mod views;

pub use allow::allowed;
pub use allow::Activity;
pub use allow::Decision;
pub use check::Violation;
pub use event::Action;
pub use event::CasResult;
pub use event::Input;
pub use machine::Members;
pub use settings::Settings;
pub use state::ListedVm;
pub use state::PeerState;
pub use state::ViewProof;
pub use state::ViewRecord;
pub use status::PeerReach;
pub use status::PlatformStatus;
