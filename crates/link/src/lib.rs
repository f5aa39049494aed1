//! WebSocket links that carry CBOR messages between daemons.
//!
//! Each pair of daemons holds one duplex link. [`Links`] dials the peers it is told of,
//! accepts the others, replaces links that are silent, and carries one-way messages and
//! requests with replies. It never blocks its caller: a full queue is told at once.

mod accept;
mod config;
mod conn;
mod dial;
mod error;
mod event;
mod hello;
mod identity;
mod links;
mod outbox;
mod packet;
mod peer;
mod requests;
mod shared;
mod socket;
mod stats;

pub use config::LinkConfig;
pub use config::Secret;
pub use error::CallError;
pub use error::LinkError;
pub use error::SendError;
pub use event::LinkEvent;
pub use event::Topic;
pub use hello::Hello;
pub use hello::Welcome;
pub use hello::PROTOCOL;
pub use identity::judge;
pub use identity::LinkId;
pub use identity::Verdict;
pub use links::Links;
pub use outbox::Outbox;
pub use packet::decode;
pub use packet::encode;
pub use packet::Packet;
pub use peer::PeerInfo;
pub use requests::Replier;
