//! Choice of upstreams, limits, admission and retries of requests.
