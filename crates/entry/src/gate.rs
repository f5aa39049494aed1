//! The gate that a non-idempotent request passes before it is sent to an upstream.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use crate::head::Head;
use crate::msg::Reply;

/// A future of the gate.
pub type GateFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Answer of the gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claimed {
    /// The caller gets this answer; nothing may be sent.
    Answer(Reply),
    /// It may be sent to one upstream, once.
    Send {
        /// Number of the view, passed to the upstream as a fence.
        fence: u64,
        /// Names the claim when it is settled.
        token: u64,
    },
}

/// Claims non-idempotent requests, so that each is sent at most once.
#[derive(Clone)]
pub struct Gate {
    /// Claims a request for the one send.
    pub claim: Rc<dyn Fn(Head) -> GateFuture<Claimed>>,
    /// Records how the claimed request ended; answers with what the caller is told.
    pub settle: Rc<dyn Fn(u64, Reply) -> GateFuture<Reply>>,
}

impl Gate {
    /// A gate that refuses every claim for want of a membership view.
    pub fn shut() -> Gate {
        Gate {
            claim: Rc::new(|_| Box::pin(async { Claimed::Answer(no_view()) })),
            settle: Rc::new(|_, reply| Box::pin(async { reply })),
        }
    }
}

fn no_view() -> Reply {
    Reply::Unknown {
        why: "this daemon has no membership view yet".to_string(),
        retry: base::Millis(500),
    }
}
