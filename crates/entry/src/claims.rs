//! Claims of non-idempotent requests. A request is claimed before it is sent to an upstream, so that
//! it is sent at most once.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use crate::head::RequestHead;
use crate::msg::Reply;

/// Future of a claim or of its settlement.
pub type ClaimFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Result of claiming a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claimed {
    /// The request must not be sent; the caller gets this answer.
    Answer(Reply),
    /// The request may be sent to one upstream, once.
    Send {
        /// Number of the membership view, passed to the upstream as the fencing token.
        fence: u64,
        /// Identifies the claim when it is settled.
        token: u64,
    },
}

/// Client of the service that claims non-idempotent requests, so that each is sent at most once.
#[derive(Clone)]
pub struct ClaimClient {
    /// Claims a request before it is sent.
    pub claim: Rc<dyn Fn(RequestHead) -> ClaimFuture<Claimed>>,
    /// Records the outcome of a claimed request by its token. Returns the answer for the caller.
    pub settle: Rc<dyn Fn(u64, Reply) -> ClaimFuture<Reply>>,
}

impl ClaimClient {
    /// Refuses every claim with the reason that there is no membership view.
    pub fn unavailable() -> ClaimClient {
        ClaimClient {
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
