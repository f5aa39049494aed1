//! HTTP header names of the request protocol, used by callers and upstreams alike.

/// Number of this attempt; `1` states that the id was not sent before.
pub const ATTEMPT: &str = "bt-attempt";

/// Time left until the whole response must have been received, in milliseconds.
pub const DEADLINE: &str = "bt-deadline-ms";

/// XXH3 hash of the response body in 16 hex digits.
pub const DIGEST: &str = "bt-digest";

/// Number of the membership view under which a non-idempotent request was claimed.
pub const FENCE: &str = "bt-fence";

/// Id that the caller gave the request; every response echoes it.
pub const ID: &str = "bt-request-id";

/// `true` if the request may run more than once.
pub const IDEMPOTENT: &str = "bt-idempotent";

/// `true` if the request was refused because the upstream is leaving.
pub const LEAVING: &str = "bt-leaving";

/// The organisation that the request is for.
pub const ORG: &str = "bt-org";

/// Outcome of the request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "bt-outcome";

/// How long to wait before the next attempt, in milliseconds.
pub const RETRY_AFTER: &str = "bt-retry-after-ms";

/// Parent span as defined by W3C Trace Context.
pub const TRACE: &str = "traceparent";
