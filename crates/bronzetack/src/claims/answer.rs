//! Answers as claims keep them, and verdicts as callers are told.

use base::Millis;
use base::Outcome;
use bytes::Bytes;
use claim::Answer;
use claim::Body;
use claim::Reason;
use claim::Verdict;
use entry::Reply;

/// Bytes in front of a kept body that hold the HTTP status.
const STATUS_LEN: usize = 2;

/// Time to come back after an answer that is in doubt.
const RETRY_DOUBT: Millis = Millis(1_000);

/// What claims keep of a whole answer; `None` if there is none.
pub fn answer(reply: &Reply) -> Option<Answer> {
    let Reply::Ran { status, body } = reply else {
        return None;
    };
    let mut kept = Vec::with_capacity(STATUS_LEN + body.len());
    kept.extend_from_slice(&status.to_be_bytes());
    kept.extend_from_slice(body);
    Some(Answer {
        outcome: Outcome::Ran,
        body: Some(Body::from(kept)),
    })
}

/// What the caller is told of a verdict.
pub fn reply(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Answer(answer) => kept_reply(&answer),
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

fn kept_reply(answer: &Answer) -> Reply {
    let kept = answer.body.as_ref().map(|body| body.as_slice());
    match kept.and_then(|kept| kept.split_at_checked(STATUS_LEN)) {
        Some((status, body)) => Reply::Ran {
            status: u16::from_be_bytes([status[0], status[1]]),
            body: Bytes::copy_from_slice(body),
        },
        None => Reply::Unknown {
            why: "an earlier send ran; its answer was too large to keep".to_string(),
            retry: RETRY_DOUBT,
        },
    }
}

/// The verdict on a failed dispatch, with the reason and the time of the dispatch itself.
pub fn with_why(verdict: Reply, dispatched: &Reply) -> Reply {
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

/// What may be told of an end that could not be recorded.
pub fn doubtful(reply: &Reply) -> Reply {
    match reply {
        Reply::Ran { .. } => reply.clone(),
        Reply::NotRun { why, .. } | Reply::Unknown { why, .. } => Reply::Unknown {
            why: format!("{why}; its end could not be recorded"),
            retry: RETRY_DOUBT,
        },
    }
}

/// The answer of a daemon that is stopping.
pub fn stopping() -> Reply {
    Reply::Unknown {
        why: "the daemon is stopping".to_string(),
        retry: RETRY_DOUBT,
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
