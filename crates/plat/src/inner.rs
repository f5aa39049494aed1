//! State shared by the clones of a store client: admission of calls, attempts at the endpoints
//! and classification of results.

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

use crate::budget::CallBudget;
use crate::budget::Priority;
use crate::call;
use crate::call::Failure;
use crate::config::StoreConfig;
use crate::error::StoreError;
use crate::health::Admission;
use crate::health::CallResult;
use crate::health::HealthState;
use crate::health::HealthTracker;
use crate::metrics::StoreMetrics;

/// Longest pause after a failed call.
const MAX_RETRY_PAUSE: Millis = Millis(500);

/// Least number of attempts for an idempotent call.
const MIN_IDEMPOTENT_ATTEMPTS: u64 = 2;

/// Whether a call may be sent again when its outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Idempotency {
    /// No: a second copy might take effect in addition to the first.
    NotIdempotent,
    /// Yes: sending the call twice has the same effect as sending it once.
    Idempotent,
}

/// State that the clones of a store client share.
pub(crate) struct Inner {
    pub(crate) config: StoreConfig,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) metrics: StoreMetrics,
    /// Connections of all calls except those on leases.
    general_client: RefCell<Client>,
    /// Connections of calls on leases.
    lease_client: RefCell<Client>,
    pub(crate) watch_client: Client,
    /// Index of the endpoint in use, modulo the number of endpoints.
    endpoint_index: Cell<usize>,
    closed: Cell<bool>,
    watches: Cell<u32>,
    budget: RefCell<CallBudget>,
    health: RefCell<HealthTracker>,
    rng: RefCell<Pcg64Mcg>,
}

impl Inner {
    pub(crate) fn new(config: StoreConfig, log: Logger, metrics: &Metrics, clock: Clock) -> Inner {
        let connect_timeout = config.connect_timeout.duration();
        let now = clock.now();
        let metrics = StoreMetrics::new(metrics);
        metrics.state.set(&[], state_number(HealthState::Up));
        Inner {
            general_client: RefCell::new(call::new_client(connect_timeout)),
            lease_client: RefCell::new(call::new_client(connect_timeout)),
            watch_client: call::new_client(connect_timeout),
            metrics,
            endpoint_index: Cell::new(0),
            closed: Cell::new(false),
            watches: Cell::new(0),
            budget: RefCell::new(CallBudget::new(config.rate, now)),
            health: RefCell::new(HealthTracker::new()),
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

    /// Makes a call: waits for admission, sends it to one endpoint after another until it succeeds
    /// or must not be sent again, and parses the response.
    pub(crate) async fn call<C, R>(
        &self,
        priority: Priority,
        path: &str,
        idempotency: Idempotency,
        body: &C,
    ) -> Result<R, StoreError>
    where
        C: Serialize,
        R: DeserializeOwned,
    {
        let body = serde_json::to_vec(body)
            .map_err(|e| StoreError::NotSent(e.to_string(), Millis::ZERO))?;
        let deadline = self.clock.now() + self.config.call_timeout;
        let attempts = self.max_attempts(idempotency);
        let mut last_error = None;
        for attempts_left in (1..=attempts).rev() {
            let admission = self.admit(priority, deadline).await;
            if let Err(error) = admission {
                return Err(last_error.unwrap_or(error));
            }
            let limit = match idempotency {
                Idempotency::NotIdempotent => deadline.since(self.clock.now()),
                Idempotency::Idempotent => {
                    Millis(deadline.since(self.clock.now()).0 / attempts_left)
                }
            };
            let failure = match self.attempt(priority, path, body.clone(), limit).await {
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            let may_retry = match failure {
                Failure::OutcomeUnknown(_) => idempotency == Idempotency::Idempotent,
                Failure::NotSent(_) | Failure::Refused(_) => true,
                Failure::Rejected(_) => false,
            };
            last_error = Some(self.store_error(failure));
            if !may_retry || self.clock.now() >= deadline {
                break;
            }
        }
        Err(last_error.unwrap_or_else(|| self.not_sent("no endpoint")))
    }

    /// Greatest number of attempts of a call. An idempotent call is sent again even if there is
    /// only one endpoint: its connection may be dead while new connections work.
    fn max_attempts(&self, idempotency: Idempotency) -> u64 {
        let endpoints = self.config.endpoints.len() as u64;
        match idempotency {
            Idempotency::NotIdempotent => endpoints.max(1),
            Idempotency::Idempotent => endpoints.max(MIN_IDEMPOTENT_ATTEMPTS),
        }
    }

    /// The endpoint in use.
    pub(crate) fn endpoint(&self) -> Option<SocketAddr> {
        let endpoints = &self.config.endpoints;
        if endpoints.is_empty() {
            return None;
        }
        Some(endpoints[self.endpoint_index.get() % endpoints.len()])
    }

    /// Makes the next endpoint the one in use.
    pub(crate) fn use_next_endpoint(&self) {
        self.endpoint_index
            .set(self.endpoint_index.get().wrapping_add(1));
    }

    /// A random number, drawn uniformly from 0 up to, not including, 1.
    pub(crate) fn random(&self) -> f64 {
        self.rng.borrow_mut().random::<f64>()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Changes the number of waiting watches in the budget.
    pub(crate) fn add_watches(&self, change: i32) {
        let watches = self.watches.get().saturating_add_signed(change);
        self.watches.set(watches);
        let now = self.clock.now();
        self.budget.borrow_mut().set_watches(now, watches);
        self.metrics.watches.set(&[], i64::from(watches));
    }

    /// Waits until the health of the store and the budget admit a call. Fails if they refuse it or
    /// would not admit it before `deadline`.
    pub(crate) async fn admit(
        &self,
        priority: Priority,
        deadline: Millis,
    ) -> Result<(), StoreError> {
        let now = self.clock.now();
        let delay = self
            .health
            .borrow()
            .recovery_delay(now, priority, self.random());
        if now + delay >= deadline {
            self.record_held(priority, "the store is recovering from an outage");
            let text = "the store is coming back".to_string();
            return Err(StoreError::NotSent(text, delay));
        }
        // A sleep of zero would last until the next tick of the timer.
        if delay > Millis::ZERO {
            sleep(delay.duration()).await;
        }
        loop {
            if self.closed.get() {
                return Err(StoreError::NotSent("closed".to_string(), Millis::ZERO));
            }
            let now = self.clock.now();
            let wait = match self.try_admit(now, priority) {
                Ok(()) => return Ok(()),
                Err(Admission::Wait(wait)) => wait,
                Err(Admission::Refuse(after)) => {
                    self.record_held(priority, "the store is down or slow");
                    let text = format!("the store is {:?}", self.health.borrow().state());
                    return Err(StoreError::NotSent(text, after));
                }
                Err(Admission::Send(_)) => Millis::ZERO,
            };
            if now + wait >= deadline {
                self.record_held(priority, "the call budget is spent");
                let text = "the call budget is spent".to_string();
                return Err(StoreError::NotSent(text, wait + self.retry_pause()));
            }
            sleep(wait.duration()).await;
        }
    }

    /// Admits a call if health and budget allow it now, and takes its cost from the budget.
    fn try_admit(&self, now: Millis, priority: Priority) -> Result<(), Admission> {
        let random = self.random();
        let admission = self.health.borrow_mut().admit(now, priority, random);
        let Admission::Send(cost) = admission else {
            return Err(admission);
        };
        let taken = self.budget.borrow_mut().take(now, priority, cost);
        taken.map_err(Admission::Wait)
    }

    /// Records that admission refused a call.
    fn record_held(&self, priority: Priority, reason: &str) {
        self.metrics.held.add(&[("priority", priority.label())], 1);
        emit(&self.log, Event::StoreCallRefused, reason);
    }

    /// Makes one attempt at the endpoint in use. A failure with unknown outcome may mean that idle
    /// connections are dead, too, so the connection pool is replaced.
    async fn attempt<R>(
        &self,
        priority: Priority,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<R, Failure>
    where
        R: DeserializeOwned,
    {
        let Some(addr) = self.endpoint() else {
            return Err(Failure::NotSent("no endpoint is configured".to_string()));
        };
        let pool = match priority {
            Priority::Lease => &self.lease_client,
            _ => &self.general_client,
        };
        let client = pool.borrow().clone();
        let start = self.clock.now();
        let result = call::post(&client, addr, path, body, limit.duration()).await;
        if matches!(result, Err(Failure::OutcomeUnknown(_))) {
            pool.replace(call::new_client(self.config.connect_timeout.duration()));
        }
        let result = result.and_then(|data| {
            let parsed = serde_json::from_slice(&data);
            parsed.map_err(|e| {
                Failure::OutcomeUnknown(format!("{addr}{path}: malformed answer: {e}"))
            })
        });
        self.record_result(path, start, result.as_ref().err());
        result
    }

    /// Records the result of an exchange in metrics and health.
    pub(crate) fn record_result(&self, path: &str, start: Millis, failure: Option<&Failure>) {
        let label = match failure {
            None => "done",
            Some(Failure::OutcomeUnknown(_)) => "lost",
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
                self.use_next_endpoint();
                CallResult::Failed
            }
        };
        let new_state = self.health.borrow_mut().record(now, result);
        if let Some(state) = new_state {
            self.report_state(state, failure);
        }
    }

    /// Reports a change of health in metrics and log.
    fn report_state(&self, state: HealthState, failure: Option<&Failure>) {
        self.metrics.state.set(&[], state_number(state));
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

    /// A random pause before the next attempt.
    pub(crate) fn retry_pause(&self) -> Millis {
        Millis((MAX_RETRY_PAUSE.0 as f64 * self.random()) as u64)
    }

    fn not_sent(&self, text: &str) -> StoreError {
        StoreError::NotSent(text.to_string(), self.retry_pause())
    }

    fn store_error(&self, failure: Failure) -> StoreError {
        let after = self.retry_pause();
        match failure {
            Failure::OutcomeUnknown(text) => StoreError::OutcomeUnknown(text, after),
            Failure::NotSent(text) => StoreError::NotSent(text, after),
            Failure::Refused(text) | Failure::Rejected(text) => StoreError::Refused(text, after),
        }
    }
}

/// Value of the health gauge.
fn state_number(state: HealthState) -> i64 {
    match state {
        HealthState::Down => 0,
        HealthState::Slow => 1,
        HealthState::Up => 2,
    }
}
