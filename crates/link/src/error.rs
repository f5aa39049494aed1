//! Errors of sends, requests and links.

use quick_error::quick_error;

quick_error! {
    /// Why a message was not queued. No part of it was sent.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum SendError {
        /// The links are being closed.
        Closed {
            display("the links are closed")
        }
        /// No link to the peer is up.
        Down {
            display("no link to the peer is up")
        }
        /// The send queue of the peer has no room for the message.
        Full {
            display("the send queue of the peer is full")
        }
        /// The message exceeds the frame limit.
        TooLarge {
            display("the message exceeds the frame limit")
        }
    }
}

quick_error! {
    /// Why a request has no reply.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CallError {
        /// The request was sent, but its reply will not be received. The peer may have handled
        /// it.
        Lost(why: &'static str) {
            display("the reply was lost: {why}")
        }
        /// The request was not sent.
        NotSent(e: SendError) {
            from()
            display("the request was not sent: {e}")
        }
        /// The peer received the request and dropped it without a reply.
        NoReply {
            display("the peer dropped the request without a reply")
        }
    }
}

quick_error! {
    /// Why a link was not established or ended. The displayed text is sent to the peer as the
    /// close reason.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum LinkError {
        /// The links are being closed.
        Closing {
            display("closing")
        }
        /// Too many connections without a hello came after this one.
        Crowded {
            display("too many connections without a hello")
        }
        /// The existing link to the same peer is kept instead.
        Duplicate {
            display("another link to the same peer is kept")
        }
        /// The peer belongs to another site or has another secret.
        Foreign(what: &'static str) {
            display("the peer's {what} differs")
        }
        /// Reading or writing failed, or the peer closed the link.
        Io(text: String) {
            display("{text}")
        }
        /// A message cannot be decoded.
        Malformed(text: String) {
            display("malformed message: {text}")
        }
        /// A frame exceeds the limit.
        Oversized {
            display("a frame is too long")
        }
        /// A newer link to the same peer replaced this one.
        Replaced {
            display("replaced by another link")
        }
        /// The peer sent nothing within the time limit.
        Silent {
            display("nothing came for too long")
        }
        /// The peer uses another version of the protocol.
        Version(version: u32) {
            display("the peer speaks version {version}")
        }
        /// Another VM answers at the peer's address.
        WrongPeer(vm: String) {
            display("VM {vm} answers at the peer's address")
        }
    }
}

impl LinkError {
    /// WebSocket close code sent to the peer. Codes from 4000 are private to this protocol.
    pub fn close_code(&self) -> u16 {
        match self {
            LinkError::Closing => 1001,
            LinkError::Malformed(_) => 1007,
            LinkError::Oversized => 1009,
            LinkError::Io(_) => 1011,
            LinkError::Foreign(_) => 4001,
            LinkError::Version(_) => 4002,
            LinkError::Duplicate => 4003,
            LinkError::WrongPeer(_) => 4004,
            LinkError::Replaced => 4005,
            LinkError::Silent => 4006,
            LinkError::Crowded => 4007,
        }
    }

    /// Value of the `why` label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            LinkError::Closing => "closing",
            LinkError::Crowded => "crowded",
            LinkError::Duplicate => "duplicate",
            LinkError::Foreign(_) => "foreign",
            LinkError::Io(_) => "io",
            LinkError::Malformed(_) => "malformed",
            LinkError::Oversized => "oversized",
            LinkError::Replaced => "replaced",
            LinkError::Silent => "silent",
            LinkError::Version(_) => "version",
            LinkError::WrongPeer(_) => "wrong-peer",
        }
    }
}
