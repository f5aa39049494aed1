//! Protocol of the workers and a client for it.
//!
//! The protocol is HTTP with JSON bodies; `docs/INTERFACE.md` describes it.

pub mod wire;
