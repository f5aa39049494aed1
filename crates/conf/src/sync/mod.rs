//! Distribution of the operators' settings: which revision a daemon holds, how it knows
//! that no newer one exists, and how a change is made durable.
//!
//! [`Sync`] runs on each daemon all the time; a [`ChangeRun`] lives as long as one change.
//! Both are pure: the service feeds them with answers, notes and ticks, and carries their
//! actions out.

mod change;
mod held;
mod input;
mod note;
mod state;

pub use change::ChangeAction;
pub use change::ChangeGuards;
pub use change::ChangeInput;
pub use change::ChangeRun;
pub use change::ChangeSetup;
pub use change::Reply;
pub use change::WriteResult;
pub use held::Guards;
pub use held::Held;
pub use input::Action;
pub use input::Alarm;
pub use input::Config;
pub use input::Input;
pub use input::Violation;
pub use note::Note;
pub use note::Stamp;
pub use note::StoreRev;
pub use note::Stored;
pub use state::Sync;
