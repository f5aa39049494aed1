//! Isolation of failing upstreams, with probes to restore them (a circuit breaker).

use base::Millis;

/// Largest number of doublings of the isolation period; avoids an overflow of the shift.
const MAX_DOUBLINGS: u32 = 16;

/// Health of an upstream, which decides whether it gets requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    /// In service, with the number of consecutive failures.
    Good { failures: u32 },
    /// Gets no requests before `until`; `times` counts failed probes.
    Isolated { until: Millis, times: u32 },
    /// A single request is in progress as a probe.
    Probing { times: u32 },
}

impl Health {
    /// Whether the upstream may get a request now, and whether that request is a probe.
    pub fn open(&self, now: Millis) -> Option<Probe> {
        match self {
            Health::Good { .. } => Some(Probe::No),
            Health::Isolated { until, .. } if *until <= now => Some(Probe::Yes),
            _ => None,
        }
    }

    /// Whether the upstream is isolated or being probed.
    pub fn is_isolated(&self) -> bool {
        !matches!(self, Health::Good { .. })
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Millis) {
        if let Health::Isolated { until, times } = *self {
            if until <= now {
                *self = Health::Probing { times };
            }
        }
    }

    /// Records that a request succeeded.
    pub fn good(&mut self) {
        *self = Health::Good { failures: 0 };
    }

    /// Records that a request failed. `may_isolate` tells whether the limit on isolated
    /// upstreams allows one more.
    pub fn bad(&mut self, now: Millis, rule: &IsolationRule, may_isolate: bool) {
        match *self {
            Health::Good { failures } if failures + 1 >= rule.failures && may_isolate => {
                *self = rule.isolate(now, 0);
            }
            Health::Good { failures } => {
                *self = Health::Good {
                    failures: failures.saturating_add(1),
                };
            }
            Health::Probing { times } => *self = rule.isolate(now, times + 1),
            Health::Isolated { .. } => {}
        }
    }

    /// Records a result that says nothing about the upstream. A probe may be repeated at once.
    pub fn unproved(&mut self, now: Millis) {
        if let Health::Probing { times } = *self {
            *self = Health::Isolated { until: now, times };
        }
    }
}

/// Whether a request is a probe of an isolated upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Probe {
    No,
    Yes,
}

/// Number of failures that isolate an upstream, and duration of the isolation.
pub(crate) struct IsolationRule {
    pub failures: u32,
    pub first: Millis,
    pub max: Millis,
}

impl IsolationRule {
    fn isolate(&self, now: Millis, times: u32) -> Health {
        let factor = 1u64 << times.min(MAX_DOUBLINGS);
        let span = Millis(self.first.0.saturating_mul(factor)).min(self.max);
        Health::Isolated {
            until: now + span,
            times,
        }
    }
}
