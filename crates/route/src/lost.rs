//! Limit on sends of a request under which connections to upstreams break.
//!
//! Load pattern: a request crashes each upstream that works on it. It is safe to repeat for its caller,
//! but each repetition costs an upstream, and the caller asks again. A single broken connection may have
//! any cause; after the second upstream, pauses are made that grow with each further one.

use base::Map;
use base::Millis;
use base::RequestId;
use base::WorkerId;

/// Pauses before the next send after so many upstreams, from the second on. The last one stays.
const PAUSES: [Millis; 3] = [Millis(5_000), Millis(30_000), Millis(300_000)];

/// Number of upstreams without a pause.
const FREE_UPSTREAMS: usize = 1;

/// Time for which a broken connection is remembered.
const MEMORY: Millis = Millis(600_000);

/// Most requests remembered; beyond it the one whose last break is the oldest is forgotten.
const MAX_REQUESTS: usize = 4_096;

/// Connections that broke while an upstream worked on a request.
#[derive(Clone, Debug, Default)]
pub struct LostSends {
    /// The upstreams of each request, and when the last connection broke.
    requests: Map<RequestId, (Vec<WorkerId>, Millis)>,
}

/// Why a request is not sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostPause {
    /// Number of upstreams to which the connection broke.
    pub upstreams: usize,
    /// Time until it may be sent again.
    pub left: Millis,
}

impl LostSends {
    /// Records that the connection to an upstream broke while it worked on the request.
    pub fn record(&mut self, id: &RequestId, upstream: &WorkerId, now: Millis) {
        self.requests.retain(|_, (_, at)| now.since(*at) <= MEMORY);
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(id) {
            let oldest = self.requests.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.requests.remove(&oldest);
            }
        }
        let (upstreams, at) = self.requests.entry(id.clone()).or_default();
        *at = now;
        if !upstreams.contains(upstream) {
            upstreams.push(upstream.clone());
        }
    }

    /// Forgets a request that an upstream has answered.
    pub fn forget(&mut self, id: &RequestId) {
        self.requests.remove(id);
    }

    /// The pause that the request has to keep; `None` if it may be sent.
    pub fn pause(&self, id: &RequestId, now: Millis) -> Option<LostPause> {
        let (upstreams, at) = self.requests.get(id)?;
        let upstreams = upstreams.len();
        let beyond = upstreams.checked_sub(FREE_UPSTREAMS + 1)?;
        let pause = PAUSES[beyond.min(PAUSES.len() - 1)];
        let left = pause.since(now.since(*at));
        (left > Millis::ZERO).then_some(LostPause { upstreams, left })
    }
}
