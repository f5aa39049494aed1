//! Protocol of the workers and its clients.
//!
//! The protocol is HTTP with JSON bodies; `docs/INTERFACE.md` describes it.

pub mod request;
pub mod wire;

mod client;
mod exchange;

pub use client::CallError;
pub use client::TaskClient;
pub use exchange::ExchangeResult;
pub use exchange::UpstreamClient;
pub use exchange::UpstreamRequest;
pub use exchange::UpstreamResponse;
