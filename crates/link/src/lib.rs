//! WebSocket links that carry CBOR messages between daemons.
//!
//! Each pair of daemons shares one duplex link. [`Links`] dials the configured peers, accepts
//! links from others, replaces links whose peer is silent, and transports one-way messages and
//! requests with replies. Sending never blocks: a full queue is an error.

mod accept;
mod config;
mod conn;
mod dial;
mod error;
mod event;
mod handshake;
mod identity;
mod links;
mod outbox;
mod packet;
mod peer;
mod requests;
mod shared;
mod socket;
mod stats;
mod strangers;

pub use config::LinkConfig;
pub use config::Secret;
pub use error::CallError;
pub use error::LinkError;
pub use error::SendError;
pub use event::LinkEvent;
pub use event::Topic;
pub use handshake::Hello;
pub use handshake::Welcome;
pub use handshake::PROTOCOL_VERSION;
pub use identity::resolve_duplicate;
pub use identity::LinkId;
pub use identity::Resolution;
pub use links::Links;
pub use outbox::Outbox;
pub use packet::decode;
pub use packet::encode;
pub use packet::Packet;
pub use peer::PeerInfo;
pub use requests::Replier;
