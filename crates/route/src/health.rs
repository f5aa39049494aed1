//! Isolation of failing upstreams, with probes to restore them (a circuit breaker).

use base::Millis;

/// Largest number of doublings of the isolation period.
const MAX_DOUBLINGS: u32 = 16;

/// Health of an upstream, which decides whether it gets requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    /// In service, with the number of consecutive failures.
    Healthy { failures: u32 },
    /// Gets no requests before `until`; `failed_probes` counts failed probes.
    Isolated { until: Millis, failed_probes: u32 },
    /// A single request is in progress as a probe.
    Probing { failed_probes: u32 },
}

impl Health {
    /// Whether the upstream may get a request now, and whether that request is a probe.
    pub fn admits(&self, now: Millis) -> Option<Probe> {
        match self {
            Health::Healthy { .. } => Some(Probe::No),
            Health::Isolated { until, .. } if *until <= now => Some(Probe::Yes),
            _ => None,
        }
    }

    /// Whether the upstream is isolated or being probed.
    pub fn is_isolated(&self) -> bool {
        !matches!(self, Health::Healthy { .. })
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: Millis) {
        if let Health::Isolated {
            until,
            failed_probes,
        } = *self
        {
            if until <= now {
                *self = Health::Probing { failed_probes };
            }
        }
    }

    /// Records that a request succeeded.
    pub fn on_success(&mut self) {
        *self = Health::Healthy { failures: 0 };
    }

    /// Records that a request failed. `may_isolate` tells whether the limit on isolated
    /// upstreams allows one more.
    pub fn on_failure(&mut self, now: Millis, rule: &IsolationRule, may_isolate: bool) {
        match *self {
            Health::Healthy { failures } if failures + 1 >= rule.threshold && may_isolate => {
                *self = rule.isolate(now, 0);
            }
            Health::Healthy { failures } => {
                *self = Health::Healthy {
                    failures: failures.saturating_add(1),
                };
            }
            Health::Probing { failed_probes } => *self = rule.isolate(now, failed_probes + 1),
            Health::Isolated { .. } => {}
        }
    }

    /// Records a result that says nothing about the upstream. A probe may be repeated at once.
    pub fn on_inconclusive(&mut self, now: Millis) {
        if let Health::Probing { failed_probes } = *self {
            *self = Health::Isolated {
                until: now,
                failed_probes,
            };
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
    pub threshold: u32,
    pub first_period: Millis,
    pub max_period: Millis,
}

impl IsolationRule {
    fn isolate(&self, now: Millis, failed_probes: u32) -> Health {
        let factor = 1u64 << failed_probes.min(MAX_DOUBLINGS);
        let period = Millis(self.first_period.0.saturating_mul(factor)).min(self.max_period);
        Health::Isolated {
            until: now + period,
            failed_probes,
        }
    }
}
