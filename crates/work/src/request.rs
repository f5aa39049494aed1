//! Header names of the request protocol, the same for callers and upstreams.

/// Which send of this id it is; `1` states that no earlier send exists.
pub const ATTEMPT: &str = "bt-attempt";

/// Time that is left for the whole answer, in milliseconds.
pub const DEADLINE: &str = "bt-deadline-ms";

/// Hash of the answer's body, XXH3 in 16 hex digits.
pub const DIGEST: &str = "bt-digest";

/// Number of the membership view under which a non-idempotent request was claimed.
pub const FENCE: &str = "bt-fence";

/// The caller's id of the request, echoed by every answer.
pub const ID: &str = "bt-request-id";

/// `true` if the request may run more than once.
pub const IDEMPOTENT: &str = "bt-idempotent";

/// `true` in a refusal of an upstream that is leaving.
pub const LEAVING: &str = "bt-leaving";

/// The organisation that the request is for.
pub const ORG: &str = "bt-org";

/// What became of the request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "bt-outcome";

/// When a refused caller may come back, in milliseconds from now.
pub const RETRY_AFTER: &str = "bt-retry-after-ms";

/// Position in the trace, as W3C Trace Context defines it.
pub const TRACE: &str = "traceparent";
