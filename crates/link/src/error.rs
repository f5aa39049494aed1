//! Why a message was not taken, a request has no reply or a link ended.

use quick_error::quick_error;

quick_error! {
    /// Why a message was not taken. Nothing of it was sent.
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
        /// Too much waits for the peer.
        Full {
            display("too much waits for the peer")
        }
        /// The message is longer than a frame.
        TooLarge {
            display("the message is longer than a frame")
        }
    }
}

quick_error! {
    /// Why a request has no reply.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CallError {
        /// The peer may have handled the request; its reply will not come.
        Lost(why: &'static str) {
            display("the reply was lost: {why}")
        }
        /// The request was not sent.
        NotSent(e: SendError) {
            from()
            display("the request was not sent: {e}")
        }
        /// The peer received the request and gave no reply.
        Refused {
            display("the peer gave no reply")
        }
    }
}

quick_error! {
    /// Why a link was not made or ended.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum LinkError {
        /// The links are being closed.
        Closing {
            display("closing")
        }
        /// Another link to the same peer is kept.
        Duplicate {
            display("another link to the same peer is kept")
        }
        /// The peer is of another site or has another secret.
        Foreign(what: &'static str) {
            display("the peer's {what} differs")
        }
        /// Reading or writing failed, or the peer ended the link.
        Io(text: String) {
            display("{text}")
        }
        /// A message cannot be understood.
        Malformed(text: String) {
            display("malformed message: {text}")
        }
        /// A frame is longer than allowed.
        Oversized {
            display("a frame is too long")
        }
        /// A newer link took its place.
        Replaced {
            display("replaced by another link")
        }
        /// Nothing came for too long.
        Silent {
            display("nothing came for too long")
        }
        /// The peer speaks another version of the protocol.
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
    /// The close code that tells the peer; codes from 4000 on are this protocol's.
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
        }
    }

    /// The label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            LinkError::Closing => "closing",
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
