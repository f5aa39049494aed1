//! Admission of store calls, tries at the endpoints, and what their results are taken for.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;

use awc::Client;
use base::Clock;
use base::Millis;
use obs::emit;
use obs::Event;
use obs::Metrics;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::de::DeserializeOwned;
use serde::Serialize;
use slog::Logger;
use tokio::time::sleep;

use crate::budget::Budget;
use crate::budget::Priority;
use crate::call;
use crate::call::Failure;
use crate::config::StoreConfig;
use crate::error::StoreError;
use crate::health::Admission;
use crate::health::CallResult;
use crate::health::Health;
use crate::health::HealthState;
use crate::metrics::StoreMetrics;

/// Longest pause that a failed call asks for.
const RETRY_AFTER: Millis = Millis(500);

/// Least tries of a repeatable call.
const MIN_TRIES: u64 = 2;

/// Whether a call may be made again after an answer was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Repeat {
    /// It may take effect twice.
    Never,
    /// Making it twice is as good as once.
    Safe,
}

/// What the clones of a client share.
pub(crate) struct Inner {
    pub(crate) config: StoreConfig,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) metrics: StoreMetrics,
    heavy: RefCell<Client>,
    lease: RefCell<Client>,
    pub(crate) watch: Client,
    current: Cell<usize>,
    closed: Cell<bool>,
    watches: Cell<u32>,
    budget: RefCell<Budget>,
    health: RefCell<Health>,
    rng: RefCell<Pcg64Mcg>,
}

impl Inner {
    pub(crate) fn new(config: StoreConfig, log: Logger, metrics: &Metrics, clock: Clock) -> Inner {
        let connect = config.connect.duration();
        let now = clock.now();
        let metrics = StoreMetrics::new(metrics);
        metrics.state.set(&[], state_level(HealthState::Up));
        Inner {
            heavy: RefCell::new(call::client(connect)),
            lease: RefCell::new(call::client(connect)),
            watch: call::client(connect),
            metrics,
            current: Cell::new(0),
            closed: Cell::new(false),
            watches: Cell::new(0),
            budget: RefCell::new(Budget::new(config.rate, now)),
            health: RefCell::new(Health::new()),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(config.seed)),
            config,
            log,
            clock,
        }
    }

    /// Health of the store.
    pub(crate) fn state(&self) -> HealthState {
        self.health.borrow().state()
    }

    /// Refuses all further calls.
    pub(crate) fn close(&self) {
        self.closed.set(true);
    }

    /// Makes a call: admission, tries at the endpoints in turn, reading of the answer.
    pub(crate) async fn call<C, R>(
        &self,
        priority: Priority,
        path: &str,
        repeat: Repeat,
        body: &C,
    ) -> Result<R, StoreError>
    where
        C: Serialize,
        R: DeserializeOwned,
    {
        let body = serde_json::to_vec(body)
            .map_err(|e| StoreError::NotSent(e.to_string(), Millis::ZERO))?;
        let end = self.clock.now() + self.config.deadline;
        let tries = self.tries(repeat);
        let mut last = None;
        for left in (1..=tries).rev() {
            let admitted = self.admit(priority, end).await;
            if let Err(error) = admitted {
                return Err(last.unwrap_or(error));
            }
            let span = match repeat {
                Repeat::Never => end.since(self.clock.now()),
                Repeat::Safe => Millis(end.since(self.clock.now()).0 / left),
            };
            let failure = match self.attempt(priority, path, body.clone(), span).await {
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            let again = match failure {
                Failure::Lost(_) => repeat == Repeat::Safe,
                Failure::NotSent(_) | Failure::Refused(_) => true,
                Failure::Rejected(_) => false,
            };
            last = Some(self.error(failure));
            if !again || self.clock.now() >= end {
                break;
            }
        }
        Err(last.unwrap_or_else(|| self.not_sent("no endpoint")))
    }

    /// A repeatable call is tried again even at an only endpoint: its connection may have
    /// gone silent while new ones work.
    fn tries(&self, repeat: Repeat) -> u64 {
        let endpoints = self.config.endpoints.len() as u64;
        match repeat {
            Repeat::Never => endpoints.max(1),
            Repeat::Safe => endpoints.max(MIN_TRIES),
        }
    }

    /// The endpoint in use.
    pub(crate) fn endpoint(&self) -> Option<SocketAddr> {
        let endpoints = &self.config.endpoints;
        if endpoints.is_empty() {
            return None;
        }
        Some(endpoints[self.current.get() % endpoints.len()])
    }

    /// Turns to the next endpoint.
    pub(crate) fn rotate(&self) {
        self.current.set(self.current.get().wrapping_add(1));
    }

    /// A random number of at least 0 and below 1.
    pub(crate) fn unit(&self) -> f64 {
        self.rng.borrow_mut().random::<f64>()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Adds waiting watches to the budget, or takes them off.
    pub(crate) fn count_watch(&self, change: i32) {
        let watches = self.watches.get().saturating_add_signed(change);
        self.watches.set(watches);
        let now = self.clock.now();
        self.budget.borrow_mut().set_watches(now, watches);
        self.metrics.watches.set(&[], i64::from(watches));
    }

    /// Waits for the budget and for the state of the store to let a call pass.
    pub(crate) async fn admit(&self, priority: Priority, end: Millis) -> Result<(), StoreError> {
        let now = self.clock.now();
        let spread = self.health.borrow().spread(now, priority, self.unit());
        if now + spread >= end {
            self.hold(priority, "calls are spread after an outage");
            let text = "the store is coming back".to_string();
            return Err(StoreError::NotSent(text, spread));
        }
        // A sleep of zero still lasts until the timer's next tick.
        if spread > Millis::ZERO {
            sleep(spread.duration()).await;
        }
        loop {
            if self.closed.get() {
                return Err(StoreError::NotSent("closed".to_string(), Millis::ZERO));
            }
            let now = self.clock.now();
            let wait = match self.decide(now, priority) {
                Ok(()) => return Ok(()),
                Err(Admission::Wait(wait)) => wait,
                Err(Admission::Refuse(after)) => {
                    self.hold(priority, "the store is down or slow");
                    let text = format!("the store is {:?}", self.health.borrow().state());
                    return Err(StoreError::NotSent(text, after));
                }
                Err(Admission::Send(_)) => Millis::ZERO,
            };
            if now + wait >= end {
                self.hold(priority, "the budget is spent");
                let text = "the call budget is spent".to_string();
                return Err(StoreError::NotSent(text, wait + self.pause()));
            }
            sleep(wait.duration()).await;
        }
    }

    fn decide(&self, now: Millis, priority: Priority) -> Result<(), Admission> {
        let unit = self.unit();
        let admission = self.health.borrow_mut().admit(now, priority, unit);
        let Admission::Send(cost) = admission else {
            return Err(admission);
        };
        let taken = self.budget.borrow_mut().take(now, priority, cost);
        taken.map_err(Admission::Wait)
    }

    fn hold(&self, priority: Priority, why: &str) {
        self.metrics.held.add(&[("priority", priority.label())], 1);
        emit(&self.log, Event::StoreBudgetSpent, why);
    }

    /// Makes one exchange. After a lost answer all idle connections are suspect, so that later
    /// calls get new ones.
    async fn attempt<R>(
        &self,
        priority: Priority,
        path: &str,
        body: Vec<u8>,
        span: Millis,
    ) -> Result<R, Failure>
    where
        R: DeserializeOwned,
    {
        let Some(addr) = self.endpoint() else {
            return Err(Failure::NotSent("no endpoint is configured".to_string()));
        };
        let pool = match priority {
            Priority::Lease => &self.lease,
            _ => &self.heavy,
        };
        let client = pool.borrow().clone();
        let start = self.clock.now();
        let result = call::post(&client, addr, path, body, span.duration()).await;
        if matches!(result, Err(Failure::Lost(_))) {
            pool.replace(call::client(self.config.connect.duration()));
        }
        let result = result.and_then(|data| {
            let parsed = serde_json::from_slice(&data);
            parsed.map_err(|e| Failure::Lost(format!("{addr}{path}: malformed answer: {e}")))
        });
        self.record(path, start, result.as_ref().err());
        result
    }

    /// Takes the result of an exchange into metrics and health.
    pub(crate) fn record(&self, path: &str, start: Millis, failure: Option<&Failure>) {
        let label = match failure {
            None => "done",
            Some(Failure::Lost(_)) => "lost",
            Some(Failure::NotSent(_)) => "not-sent",
            Some(Failure::Refused(_) | Failure::Rejected(_)) => "refused",
        };
        let kind = path.rsplit('/').next().unwrap_or(path);
        let labels = [("kind", kind), ("result", label)];
        self.metrics.calls.add(&labels, 1);
        let now = self.clock.now();
        let result = match failure {
            None | Some(Failure::Rejected(_)) => CallResult::Answered(now.since(start)),
            Some(_) => {
                self.rotate();
                CallResult::Failed
            }
        };
        let change = self.health.borrow_mut().record(now, result);
        if let Some(state) = change {
            self.announce(state, failure);
        }
    }

    fn announce(&self, state: HealthState, failure: Option<&Failure>) {
        self.metrics.state.set(&[], state_level(state));
        match state {
            HealthState::Down => {
                let detail = format!("{failure:?}");
                emit(&self.log, Event::StoreUnreachable, &detail);
            }
            HealthState::Slow | HealthState::Up => {
                emit(&self.log, Event::StoreReachable, &format!("{state:?}"));
            }
        }
    }

    /// A random pause before the next try.
    pub(crate) fn pause(&self) -> Millis {
        Millis((RETRY_AFTER.0 as f64 * self.unit()) as u64)
    }

    fn not_sent(&self, text: &str) -> StoreError {
        StoreError::NotSent(text.to_string(), self.pause())
    }

    fn error(&self, failure: Failure) -> StoreError {
        let after = self.pause();
        match failure {
            Failure::Lost(text) => StoreError::Lost(text, after),
            Failure::NotSent(text) => StoreError::NotSent(text, after),
            Failure::Refused(text) | Failure::Rejected(text) => StoreError::Refused(text, after),
        }
    }
}

fn state_level(state: HealthState) -> i64 {
    match state {
        HealthState::Down => 0,
        HealthState::Slow => 1,
        HealthState::Up => 2,
    }
}
