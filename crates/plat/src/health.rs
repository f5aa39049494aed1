//! Health of the store, derived from the results of calls, and admission of calls by health.

use base::Millis;

use crate::budget::Priority;
use crate::error::Violation;

/// Consecutive failures after which the store is regarded as down.
const DOWN_AFTER_FAILURES: u32 = 3;

/// Consecutive responses that a store that was down must send before it is regarded as up.
const UP_AFTER_RESPONSES: u32 = 5;

/// Mean response time above which the store is regarded as slow.
const SLOW_ABOVE_MS: f64 = 250.0;

/// Mean response time below which a slow store is regarded as up again.
const UP_BELOW_MS: f64 = 100.0;

/// Weight of the latest response time in the moving average.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Longest time between two probes of a store; the shortest is half of it.
const MAX_PROBE_INTERVAL: Millis = Millis(500);

/// Time after an outage during which calls are delayed at random, so that they do not overload
/// the recovering store.
const RECOVERY_SPAN: Millis = Millis(2000);

/// Cost of a record call, in calls, while the store is slow.
const SLOW_RECORD_COST: u32 = 2;

/// Result of a call, as far as it matters for health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The store responded after this time, even if it refused the call.
    Answered(Millis),
    /// No usable response was received.
    Failed,
}

/// Health of the store as seen by this client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// Calls fail; only probes and lease calls are sent.
    Down,
    /// Calls take long or have only just stopped failing; fewer calls are sent.
    Slow,
    /// Calls succeed in time.
    Up,
}

/// Decision on a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send the call at this cost, in calls of the budget.
    Send(u32),
    /// Refuse the call; the caller may retry after this time.
    Refuse(Millis),
    /// Decide again after this time.
    Wait(Millis),
}

/// Tracks the health of the store by the results of calls, with hysteresis, and admits calls
/// accordingly.
///
/// Lease calls are always admitted. While the store is slow, record calls cost twice as much, and
/// calls of the lowest priority are refused except for one probe per interval. While it is down,
/// all calls except probes are refused. After an outage, calls are delayed by random times.
#[derive(Clone, Debug)]
pub struct HealthTracker {
    state: HealthState,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive responses.
    responses: u32,
    /// Moving average of the response time in milliseconds.
    mean_ms: f64,
    /// When the next probe may be sent.
    next_probe: Millis,
    /// When the store last responded again after it was down.
    recovered_at: Option<Millis>,
}

impl HealthTracker {
    /// Creates a tracker that regards the store as up.
    pub fn new() -> HealthTracker {
        HealthTracker {
            state: HealthState::Up,
            failures: 0,
            responses: 0,
            mean_ms: 0.0,
            next_probe: Millis::ZERO,
            recovered_at: None,
        }
    }

    /// Current state, as of the last recorded result.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Records the result of a call. Returns the new state if it has changed.
    pub fn record(&mut self, now: Millis, result: CallResult) -> Option<HealthState> {
        let old = self.state;
        match result {
            CallResult::Answered(span) => self.record_response(now, span),
            CallResult::Failed => self.record_failure(),
        }
        (self.state != old).then_some(self.state)
    }

    /// Decides whether to send a call. `random` is drawn uniformly from 0 up to, not including, 1.
    pub fn admit(&mut self, now: Millis, priority: Priority, random: f64) -> Admission {
        if priority == Priority::Lease {
            return Admission::Send(1);
        }
        match self.state {
            HealthState::Down => self.admit_probe(now, random),
            HealthState::Slow if priority == Priority::Rest => self.admit_probe(now, random),
            HealthState::Slow if priority == Priority::Records => Admission::Send(SLOW_RECORD_COST),
            _ => Admission::Send(1),
        }
    }

    /// Random delay of a call before its first attempt; zero unless the store was down recently.
    pub fn recovery_delay(&self, now: Millis, priority: Priority, random: f64) -> Millis {
        match self.recovered_at {
            Some(at) if priority != Priority::Lease => {
                scale((at + RECOVERY_SPAN).since(now), random)
            }
            _ => Millis::ZERO,
        }
    }

    /// Checks that the state agrees with the counts of results.
    pub fn check(&self) -> Result<(), Violation> {
        let holds = match self.state {
            HealthState::Down => self.responses == 0,
            HealthState::Slow => self.failures < DOWN_AFTER_FAILURES,
            HealthState::Up => self.failures < DOWN_AFTER_FAILURES && self.mean_ms <= SLOW_ABOVE_MS,
        };
        if holds {
            return Ok(());
        }
        Err(Violation::Health(format!("{self:?}")))
    }

    fn admit_probe(&mut self, now: Millis, random: f64) -> Admission {
        if now < self.next_probe {
            return Admission::Refuse(self.next_probe.since(now) + scale(RECOVERY_SPAN, random));
        }
        let half = MAX_PROBE_INTERVAL.0 / 2;
        self.next_probe = now + Millis(half) + scale(Millis(half), random);
        Admission::Send(1)
    }

    fn record_response(&mut self, now: Millis, span: Millis) {
        self.failures = 0;
        self.responses = self.responses.saturating_add(1);
        self.mean_ms += (span.0 as f64 - self.mean_ms) * AVERAGE_WEIGHT;
        if self.state == HealthState::Down {
            self.state = HealthState::Slow;
            self.recovered_at = Some(now);
        }
        let recovered = self.mean_ms < UP_BELOW_MS && self.responses >= UP_AFTER_RESPONSES;
        if self.state == HealthState::Slow && recovered {
            self.state = HealthState::Up;
        }
        if self.mean_ms > SLOW_ABOVE_MS {
            self.state = HealthState::Slow;
        }
    }

    fn record_failure(&mut self) {
        self.responses = 0;
        self.failures = self.failures.saturating_add(1);
        if self.failures >= DOWN_AFTER_FAILURES {
            self.state = HealthState::Down;
            self.recovered_at = None;
        }
    }
}

impl Default for HealthTracker {
    fn default() -> HealthTracker {
        HealthTracker::new()
    }
}

/// Multiplies a time span by a fraction.
fn scale(span: Millis, fraction: f64) -> Millis {
    Millis((span.0 as f64 * fraction) as u64)
}
