//! Isolation of upstreams that fail, with probes back in.

use base::Millis;

/// Largest exponent of the isolation's doubling.
const MAX_DOUBLINGS: u32 = 16;

/// Whether an upstream is given requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    /// It serves; the number counts failures in a row.
    Good { failures: u32 },
    /// It gets nothing until a time.
    Isolated { until: Millis, times: u32 },
    /// One request is on its way to it as a probe.
    Probing { times: u32 },
}

impl Health {
    /// Whether it may be given a request now, and whether that one is a probe.
    pub fn open(&self, now: Millis) -> Option<Probe> {
        match self {
            Health::Good { .. } => Some(Probe::No),
            Health::Isolated { until, .. } if *until <= now => Some(Probe::Yes),
            _ => None,
        }
    }

    /// Whether it is isolated or being probed.
    pub fn is_isolated(&self) -> bool {
        !matches!(self, Health::Good { .. })
    }

    /// A request is sent.
    pub fn sent(&mut self, now: Millis) {
        if let Health::Isolated { until, times } = *self {
            if until <= now {
                *self = Health::Probing { times };
            }
        }
    }

    /// A request succeeded.
    pub fn good(&mut self) {
        *self = Health::Good { failures: 0 };
    }

    /// A request failed. `may_isolate` tells whether the bound on isolated upstreams allows
    /// one more.
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

    /// A probe ended without telling anything about the upstream.
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

/// When an upstream is isolated and for how long.
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
