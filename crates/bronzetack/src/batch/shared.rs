//! What the parts of the daemon share.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::Clock;
use base::DomainId;
use base::Map;
use base::Millis;
use base::Set;
use batch::wave::Wave;
use batch::Bounds;
use batch::Catalog;
use batch::DerivedBounds;
use batch::Load;
use batch::PromisedCapacity;
use batch::RateLimit;
use batch::REQUEST_TIMEOUT;
use conf::batch::Batch;
use entry::Ready;
use obs::Counter;
use obs::Event;
use obs::Gather;
use obs::Histogram;
use obs::Metrics;
use platform::Adviser;
use platform::LeaseId;
use platform::Machines;
use platform::Relay;
use platform::Store;
use platform::StoreError;
use platform::Workers;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use slog::Logger;

use crate::batch::lead::Lead;

/// Time-out of a call to the store. It answers in a few milliseconds and in a quarter of a
/// second while it is slow.
pub const STORE_TIMEOUT: Millis = Millis(800);

/// Time-out of a call to the store that a caller waits for. Above the store's answers while it
/// is slow; a lost answer is noticed in time for a second attempt.
const QUICK_TIMEOUT: Millis = Millis(450);

/// Refusals a second that a daemon records for callers whom the configuration turns away. Well
/// above the tries of callers whose key or queue has just been taken back, and well below what
/// the store takes from all daemons.
const REFUSED: u32 = 20;

/// What is known of the operators' documents.
#[derive(Default)]
pub struct Facts {
    /// The configuration.
    pub catalog: Option<Rc<Catalog>>,
    /// Failure domains whose workers get nothing.
    pub out: Set<DomainId>,
    /// Waves of upkeep, and when each was first seen.
    pub waves: Map<u64, (Wave, Millis)>,
    /// When the store last confirmed that nothing is missing.
    pub fresh: Millis,
}

/// Shared parts of a daemon.
pub struct Shared {
    /// Its settings.
    pub settings: Batch,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Times that follow from them.
    pub times: DerivedBounds,
    /// This start of the process.
    pub instance: String,
    /// The log.
    pub log: Logger,
    /// Lines that tell of records that the store did not take in time.
    pub slow_lines: Gather,
    /// Lines that tell of stops without an answer.
    pub stop_lines: Gather,
    /// The metrics.
    pub metrics: Metrics,
    /// Calls of callers by kind and answer.
    pub answers: Counter,
    /// Time to the answer of a call, by kind.
    pub took: Histogram,
    /// Orders to start a run, by outcome.
    pub starts: Counter,
    /// Failed calls to the store by kind.
    pub store_errors: Counter,
    /// The clock.
    pub clock: Clock,
    /// The platform's store.
    pub store: Store,
    /// The store, with the time-out that callers can wait for.
    pub quick: Store,
    /// The other daemons.
    pub relay: Relay,
    /// Where this daemon answers callers.
    pub callers: Cell<SocketAddr>,
    /// Where other daemons answer callers.
    pub peers: RefCell<Vec<SocketAddr>>,
    /// The workers.
    pub workers: Workers,
    /// Who decides which workers may run the steps of some queues.
    pub adviser: Option<Adviser>,
    /// The service of machines.
    pub machines: Option<Machines>,
    /// The operators' documents.
    pub facts: RefCell<Facts>,
    /// The leadership, while this daemon is the coordinator.
    pub lead: RefCell<Option<Rc<Lead>>>,
    /// Latest version of the configuration that an answer of this daemon was based on, its own or
    /// one that it passed on. Nothing is decided by an older one after it.
    pub told: Cell<u64>,
    /// What the balancer is told.
    pub ready: Ready,
    /// The load as last read, and when.
    pub load: RefCell<(Load, Millis)>,
    /// Callers that have been asked to come back.
    pub promises: RefCell<PromisedCapacity>,
    /// Bound on the refusals that are recorded for callers whom the configuration turns away.
    pub refused: RefCell<RateLimit>,
    /// Lease of the refusals, and when it was asked for.
    pub refusals: Cell<Option<(LeaseId, Millis)>>,
    /// Whether this process has read the lock before.
    pub campaigned: Cell<bool>,
    /// Whether a planned stop has begun.
    pub stopping: Cell<bool>,
    /// Since when the store has not answered.
    store_lost: Cell<Option<Millis>>,
    rng: RefCell<Pcg64>,
}

impl Shared {
    /// The parts of a daemon that starts now.
    pub fn new(settings: Batch, log: Logger) -> Shared {
        let site = &settings.bounds;
        let bounds = Bounds {
            max_hold: site.max_hold,
            stop_grace: site.stop_grace,
            reclaim: site.reclaim,
            config_apply: site.config_apply,
            heartbeat: site.heartbeat,
            status: site.status,
            remote_factor: site.remote_factor,
            pace: site.pace,
            harm: site.harm,
            min_ttl: settings.store.min_ttl,
        };
        let clock = Clock::System;
        let instance = uuid::Uuid::new_v4().to_string();
        let metrics = Metrics::new();
        let seed = base::digest(instance.as_bytes());
        let fields = slog::o!(
            "vm" => settings.vm.to_string(),
            "domain" => settings.domain.to_string()
        );
        let store = Store::new(settings.store.address, STORE_TIMEOUT);
        Shared {
            times: bounds.derive(),
            bounds,
            log: log.new(fields),
            answers: metrics.counter("batch_answers", "Calls of callers by kind and answer"),
            took: metrics.histogram("batch_call_ms", "Time to the answer of a call"),
            starts: metrics.counter("batch_starts", "Orders to start a run by outcome"),
            store_errors: metrics.counter("batch_store_errors", "Failed calls to the store"),
            slow_lines: Gather::default(),
            stop_lines: Gather::default(),
            metrics,
            clock,
            quick: store.with_timeout(QUICK_TIMEOUT),
            store,
            callers: Cell::new(settings.addresses.callers),
            relay: Relay::default(),
            peers: RefCell::default(),
            workers: Workers::new(REQUEST_TIMEOUT),
            adviser: settings.adviser.map(Adviser::new),
            machines: settings
                .machines
                .address
                .map(|address| Machines::new(address, settings.vm.to_string(), REQUEST_TIMEOUT)),
            facts: RefCell::default(),
            lead: RefCell::default(),
            told: Cell::new(0),
            ready: Ready::default(),
            load: RefCell::default(),
            promises: RefCell::default(),
            refused: RefCell::new(RateLimit::new(REFUSED)),
            refusals: Cell::new(None),
            campaigned: Cell::new(false),
            stopping: Cell::new(false),
            store_lost: Cell::new(None),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            instance,
            settings,
        }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A time of zero to `max`, to spread what would else happen everywhere at once.
    pub fn spread(&self, max: Millis) -> Millis {
        use rand::RngExt;
        Millis(self.rng.borrow_mut().random_range(0..=max.0))
    }

    /// The leadership, if this daemon is the coordinator.
    pub fn leading(&self) -> Option<Rc<Lead>> {
        self.lead.borrow().clone().filter(|lead| !lead.over.get())
    }

    /// Notes whether the store has answered; a change is logged.
    pub fn heard_store(&self, result: Result<(), &StoreError>) {
        if let Err(error) = result {
            let kind = match error {
                StoreError::Busy(_) => "busy",
                StoreError::NotSent(_) => "not-sent",
                StoreError::Unknown(_) => "no-answer",
                StoreError::Compacted => "history",
                StoreError::Protocol(_) => "protocol",
            };
            self.store_errors.add(&[("kind", kind)], 1);
        }
        let up = result.is_ok() || matches!(result, Err(StoreError::Compacted));
        if up == self.store_lost.get().is_none() {
            return;
        }
        self.store_lost.set((!up).then(|| self.now()));
        match result {
            Err(error) => obs::record(&self.log, Event::StoreUnreachable, &[("error", error)]),
            Ok(()) => obs::record(&self.log, Event::StoreReachable, &[]),
        }
    }

    /// Time for which the store has not answered; zero while it answers.
    pub fn store_lost(&self) -> Millis {
        let since = self.store_lost.get();
        since.map_or(Millis::ZERO, |at| self.now().since(at).max(Millis(1)))
    }

    /// Pauses.
    pub async fn sleep(&self, span: Millis) {
        actix_rt::time::sleep(span.duration()).await;
    }
}
