//! Replication of the operators' settings to every daemon.
//!
//! [`Replica`] keeps a daemon's copy up to date and tracks how recently it was confirmed to be
//! the newest. A [`ChangeRun`] makes one change durable. Both are state machines without I/O:
//! the service passes them answers, messages and ticks, and performs the actions that they
//! return.

mod active;
mod change;
mod input;
mod message;
mod state;

pub use active::ActiveTree;
pub use active::Guards;
pub use change::ChangeAction;
pub use change::ChangeGuards;
pub use change::ChangeInput;
pub use change::ChangeRun;
pub use change::ChangeSetup;
pub use change::Reply;
pub use change::WriteResult;
pub use input::Action;
pub use input::Alarm;
pub use input::Config;
pub use input::Input;
pub use input::Violation;
pub use message::PeerMessage;
pub use message::Stamp;
pub use message::StoreRev;
pub use message::StoredDoc;
pub use state::Replica;
