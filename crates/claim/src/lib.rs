//! At-most-once dispatch of non-idempotent requests.
//!
//! A caller may send a request several times under the same request id; each transmission is
//! called a send. Before an entry VM dispatches a send, it needs a claim of the id. Claims are
//! kept by the members of a numbered view of the id's home failure domain: for each id, rendezvous
//! hashing selects an owner, which decides, and a backup, which holds a copy. A claim is granted
//! only after both have recorded it; in a view with one member, the owner alone records it.
//!
//! [`Claims`] is the state machine of one entry VM for one home domain. It does no I/O and reads
//! no clock.

mod body;
mod check;
mod coverage;
mod entry;
mod home;
mod limits;
mod machine;
mod message;
mod owner;
mod packet;
mod record;
mod table;
mod view;
mod view_change;

pub use body::Body;
pub use check::Violation;
pub use coverage::Completeness;
pub use home::creation_time;
pub use home::home_domain;
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
