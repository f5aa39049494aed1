//! At-most-once claims of non-idempotent requests.
//!
//! Each request id has a home failure domain. Within it an owner and a copy-holder record
//! a claim before any entry VM may dispatch the request. [`Claims`] is the state machine of
//! one entry VM for one home domain; it does no I/O and reads no clock.

mod body;
mod check;
mod cover;
mod entry;
mod home;
mod limits;
mod machine;
mod message;
mod owner;
mod packet;
mod pull;
mod record;
mod table;
mod view;

pub use body::Body;
pub use check::Violation;
pub use cover::Quality;
pub use home::created;
pub use home::home;
pub use limits::Ablation;
pub use limits::Limits;
pub use machine::Action;
pub use machine::Claims;
pub use machine::Input;
pub use machine::Reason;
pub use machine::Verdict;
pub use message::Message;
pub use packet::Batch;
pub use packet::Packet;
pub use packet::PacketError;
pub use record::Answer;
pub use record::Record;
pub use record::SendKey;
pub use record::State;
pub use view::View;
pub use view::ViewNumber;
