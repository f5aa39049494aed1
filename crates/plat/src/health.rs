//! Health of the store as its calls show it, and what to send in each state.

use base::Millis;

use crate::budget::Priority;
use crate::error::Violation;

/// Failures in a row after which the store counts as down.
const DOWN_AFTER: u32 = 3;

/// Answers in a row after which a store that was down may count as up.
const UP_AFTER: u32 = 5;

/// Average answer time above which the store counts as slow.
const SLOW_ABOVE: f64 = 250.0;

/// Average answer time below which it stops to count as slow.
const FAST_BELOW: f64 = 100.0;

/// Weight of the last answer time in the average.
const WEIGHT: f64 = 0.2;

/// Longest pause between probes of a store that is down.
const PROBE_PERIOD: Millis = Millis(500);

/// Time over which calls are spread when the store is back.
const RETURN_SPREAD: Millis = Millis(2000);

/// Tokens that a record call costs while the store is slow.
const SLOW_COST: u32 = 2;

/// How one call ended, for the purpose of health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The store answered after this long.
    Answered(Millis),
    /// No usable answer.
    Failed,
}

/// Health of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// Calls fail.
    Down,
    /// Answers take long.
    Slow,
    /// Calls are answered in time.
    Up,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send it, at this cost in tokens.
    Send(u32),
    /// Refuse it; it may come back after this long.
    Refuse(Millis),
    /// Ask again after this long.
    Wait(Millis),
}

/// Judges the store by the results of calls, with hysteresis.
///
/// Lease calls always pass. While the store is slow, record calls cost twice, and calls of
/// the lowest priority are refused but for one probe a period. While it is down, all calls
/// but the probes are refused. Once it answers, calls are spread at random over a period.
#[derive(Clone, Debug)]
pub struct Health {
    state: HealthState,
    failed: u32,
    answered: u32,
    average: f64,
    probe: Millis,
    returned: Option<Millis>,
}

impl Health {
    /// A store that counts as up.
    pub fn new() -> Health {
        Health {
            state: HealthState::Up,
            failed: 0,
            answered: 0,
            average: 0.0,
            probe: Millis::ZERO,
            returned: None,
        }
    }

    /// The present state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Takes in the result of a call; answers the new state if it changed.
    pub fn record(&mut self, now: Millis, result: CallResult) -> Option<HealthState> {
        let old = self.state;
        match result {
            CallResult::Answered(span) => self.answer(now, span),
            CallResult::Failed => self.fail(),
        }
        (self.state != old).then_some(self.state)
    }

    /// Decides on a call. `unit` is a random number of at least 0 and below 1.
    pub fn admit(&mut self, now: Millis, priority: Priority, unit: f64) -> Admission {
        if priority == Priority::Lease {
            return Admission::Send(1);
        }
        match self.state {
            HealthState::Down => self.admit_probe(now, unit),
            HealthState::Slow if priority == Priority::Rest => self.admit_probe(now, unit),
            HealthState::Slow if priority == Priority::Records => Admission::Send(SLOW_COST),
            _ => Admission::Send(1),
        }
    }

    /// How long a call waits before its first try while the store is coming back.
    pub fn spread(&self, now: Millis, priority: Priority, unit: f64) -> Millis {
        match self.returned {
            Some(at) if priority != Priority::Lease => part((at + RETURN_SPREAD).since(now), unit),
            _ => Millis::ZERO,
        }
    }

    /// Checks that the counts agree with the state.
    pub fn check(&self) -> Result<(), Violation> {
        let holds = match self.state {
            HealthState::Down => self.answered == 0,
            HealthState::Slow => self.failed < DOWN_AFTER,
            HealthState::Up => self.failed < DOWN_AFTER && self.average <= SLOW_ABOVE,
        };
        if holds {
            return Ok(());
        }
        Err(Violation::Health(format!("{self:?}")))
    }

    fn admit_probe(&mut self, now: Millis, unit: f64) -> Admission {
        if now < self.probe {
            return Admission::Refuse(self.probe.since(now) + part(RETURN_SPREAD, unit));
        }
        let half = PROBE_PERIOD.0 / 2;
        self.probe = now + Millis(half) + part(Millis(half), unit);
        Admission::Send(1)
    }

    fn answer(&mut self, now: Millis, span: Millis) {
        self.failed = 0;
        self.answered = self.answered.saturating_add(1);
        self.average += (span.0 as f64 - self.average) * WEIGHT;
        if self.state == HealthState::Down {
            self.state = HealthState::Slow;
            self.returned = Some(now);
        }
        let fast = self.average < FAST_BELOW && self.answered >= UP_AFTER;
        if self.state == HealthState::Slow && fast {
            self.state = HealthState::Up;
        }
        if self.average > SLOW_ABOVE {
            self.state = HealthState::Slow;
        }
    }

    fn fail(&mut self) {
        self.answered = 0;
        self.failed = self.failed.saturating_add(1);
        if self.failed >= DOWN_AFTER {
            self.state = HealthState::Down;
            self.returned = None;
        }
    }
}

impl Default for Health {
    fn default() -> Health {
        Health::new()
    }
}

fn part(span: Millis, unit: f64) -> Millis {
    Millis((span.0 as f64 * unit) as u64)
}
