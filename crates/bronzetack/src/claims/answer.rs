//! Conversions between replies to callers and the answers and verdicts of the claims state machine.

use base::Millis;
use base::Outcome;
use bytes::Bytes;
use claim::Answer;
use claim::Body;
use claim::Reason;
use claim::Verdict;
use entry::Reply;

/// Length in bytes of the HTTP status (big-endian) that precedes a stored body.
const STATUS_LEN: usize = 2;

/// Delay after which callers should retry when the outcome is in doubt.
const RETRY_IN_DOUBT: Millis = Millis(1_000);

/// Encodes a reply as the answer that claims store; `None` unless the request ran.
pub fn to_answer(reply: &Reply) -> Option<Answer> {
    let Reply::Ran { status, body } = reply else {
        return None;
    };
    let mut stored = Vec::with_capacity(STATUS_LEN + body.len());
    stored.extend_from_slice(&status.to_be_bytes());
    stored.extend_from_slice(body);
    Some(Answer {
        outcome: Outcome::Ran,
        body: Some(Body::from(stored)),
    })
}

/// Converts a verdict to the reply for the caller.
pub fn into_reply(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Answer(answer) => stored_reply(&answer),
        Verdict::NotRun { reason, after } => Reply::NotRun {
            why: describe(reason).to_string(),
            retry: after,
        },
        Verdict::Unknown { reason, after } => Reply::Unknown {
            why: describe(reason).to_string(),
            retry: after,
        },
    }
}

fn stored_reply(answer: &Answer) -> Reply {
    let stored = answer.body.as_ref().map(|body| body.as_slice());
    match stored.and_then(|stored| stored.split_at_checked(STATUS_LEN)) {
        Some((status, body)) => Reply::Ran {
            status: u16::from_be_bytes([status[0], status[1]]),
            body: Bytes::copy_from_slice(body),
        },
        None => Reply::Unknown {
            why: "an earlier send ran; its answer was too large to keep".to_string(),
            retry: RETRY_IN_DOUBT,
        },
    }
}

/// Returns the verdict on a failed dispatch with the reason of the dispatch and the longer of both
/// retry delays. A verdict with another outcome than the dispatch is returned unchanged.
pub fn with_dispatch_reason(verdict: Reply, dispatched: &Reply) -> Reply {
    match (verdict, dispatched) {
        (Reply::NotRun { retry, .. }, Reply::NotRun { why, retry: own }) => Reply::NotRun {
            why: why.clone(),
            retry: retry.max(*own),
        },
        (Reply::Unknown { retry, .. }, Reply::Unknown { why, retry: own }) => Reply::Unknown {
            why: why.clone(),
            retry: retry.max(*own),
        },
        (other, _) => other,
    }
}

/// Reply for an outcome that could not be recorded: a request that ran is still reported as run,
/// any other outcome becomes unknown.
pub fn not_recorded(reply: &Reply) -> Reply {
    match reply {
        Reply::Ran { .. } => reply.clone(),
        Reply::NotRun { why, .. } | Reply::Unknown { why, .. } => Reply::Unknown {
            why: format!("{why}; its end could not be recorded"),
            retry: RETRY_IN_DOUBT,
        },
    }
}

/// Refusal of a claim because the daemon is stopping.
pub fn stopping() -> Reply {
    Reply::Unknown {
        why: "the daemon is stopping".to_string(),
        retry: RETRY_IN_DOUBT,
    }
}

fn describe(reason: Reason) -> &'static str {
    match reason {
        Reason::Closed => "an earlier send ended without running, and the id is closed",
        Reason::Doubt => "earlier sends of this id may be lost to memory",
        Reason::Full => "the table of claims is full",
        Reason::Future => "the id carries a time in the future",
        Reason::Held => "another send of this id is in progress",
        Reason::NoCopy => "the second holder of the claim is not heard",
        Reason::NoLease => "the holder of the claim cannot prove its membership view",
        Reason::NoOwner => "the holder of the claim is not heard",
        Reason::NoView => "no membership view of the id's failure domain is known",
        Reason::Pending => "too many requests wait for claims",
        Reason::Timeout => "the deadline passed before the claim was granted",
        Reason::TooOld => "the id is older than claims are kept",
        Reason::Upstream => "no upstream ran the request",
    }
}
