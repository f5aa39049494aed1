//! State shared by the tasks of the daemon.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::Clock;
use base::DomainId;
use base::Map;
use base::MemoryBudget;
use base::Millis;
use base::Revision;
use base::Set;
use base::VmId;
use batch::candidacy::Capacity;
use batch::candidacy::Handover;
use batch::footprint::Accepted;
use batch::stall::StallDetector;
use batch::wave::Wave;
use batch::Bounds;
use batch::Catalog;
use batch::DerivedBounds;
use batch::Load;
use batch::PromisedCapacity;
use batch::RateLimit;
use batch::ReadLimit;
use batch::RevisionTimes;
use batch::REQUEST_TIMEOUT;
use conf::batch::BatchConfig;
use delegate::AgeFilter;
use delegate::Assignment;
use delegate::Sizing;
use entry::Ready;
use link::Links;
use obs::Counter;
use obs::Event;
use obs::Histogram;
use obs::LogLimiter;
use obs::Metrics;
use obs::SubjectLimiter;
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
use tokio::sync::Semaphore;

use crate::batch::decisions::EndMetrics;
use crate::batch::leadership::Leadership;
use crate::batch::lock_view::LockView;
use crate::batch::orgs::OrgMetrics;
use crate::batch::peers::Peer;

/// Time-out of a call to the store, which answers within a few milliseconds, or within a quarter of
/// a second while it is slow.
pub const STORE_TIMEOUT: Millis = Millis(800);

/// Time-out of a call to the store for which a caller waits. It is longer than a slow store's
/// response time, and leaves time for a second attempt if a response is lost.
pub const CALLER_STORE_TIMEOUT: Millis = Millis(450);

/// Most look-ups of jobs that read the store at a time. The client has 100 connections; the others are
/// left to submissions and cancellations.
pub const MAX_LOOK_UPS: usize = 50;

/// Most memory of submissions that are being stored, also as a part of the daemon's memory.
const MAX_STORING_BYTES: usize = 24 << 20;
const STORING_DIVISOR: u64 = 8;

/// The operators' documents as last read from the store.
#[derive(Default)]
pub struct Documents {
    /// The configuration; `None` until one has been read.
    pub catalog: Option<Rc<Catalog>>,
    /// Failure domains taken out of service: their workers get no tasks.
    pub excluded: Set<DomainId>,
    /// Upkeep waves by number, and the time at which each was first seen.
    pub waves: Map<u64, (Wave, Millis)>,
    /// Send time of the latest read or watch that the store answered. The documents include every
    /// change made before it.
    pub confirmed: Millis,
}

/// State shared by the tasks of a daemon.
pub struct Shared {
    /// Settings read at the start.
    pub settings: BatchConfig,
    /// Time bounds of the deployment, from the settings.
    pub bounds: Bounds,
    /// Time limits derived from the bounds.
    pub times: DerivedBounds,
    /// Random id of this process, new with every start.
    pub instance: String,
    /// Logger that adds the VM and the failure domain to each line.
    pub log: Logger,
    /// Rate limit of log lines about records that were not stored in time.
    pub slow_log: LogLimiter,
    /// Rate limit of log lines about stop requests without a response.
    pub stop_log: LogLimiter,
    /// Limits log lines about work that waits beside free room.
    pub idle_log: LogLimiter,
    /// Rate limit of log lines about input that cannot be read.
    pub refused_log: SubjectLimiter,
    /// Limits log lines about submissions for which the coordinator has no memory.
    pub full_log: LogLimiter,
    /// Limits log lines about submissions that are sent away.
    pub storing_log: LogLimiter,
    /// Limits log lines about records that are too long.
    pub record_log: LogLimiter,
    /// What each organisation may have running, has, and waits for.
    pub orgs: OrgMetrics,
    /// How jobs end, and what runs without a result have lost.
    pub ends: EndMetrics,
    /// Registry of the metrics that operators can read.
    pub metrics: Metrics,
    /// Counts callers' calls by kind and answer.
    pub answers: Counter,
    /// Time from receiving a call to its answer, by kind.
    pub call_time: Histogram,
    /// Age of the configuration when a call came: the time since it was known to be current.
    pub config_age: Histogram,
    /// Time for which the coordinator held starts back, once it is over.
    pub starts_held: Histogram,
    /// Counts jobs inside a guarantee that had not started after half of their time.
    pub guarantees_delayed: Counter,
    /// Counts jobs that were given up because workers crash under one of their tasks.
    pub jobs_given_up: Counter,
    /// Counts checkpoints left out of records that were too long.
    pub checkpoints_left_out: Counter,
    /// Counts workers that are known to have crashed.
    pub worker_crashes: Counter,
    /// Counts requests to start a run, by outcome.
    pub starts: Counter,
    /// Counts failed calls to the store, by kind of error.
    pub store_errors: Counter,
    /// Source of the monotonic and the wall-clock time.
    pub clock: Clock,
    /// Client of the platform's store.
    pub store: Store,
    /// Client of the same store for calls on which a caller waits. It has connections of its own, as
    /// many callers would otherwise keep the daemon's own calls waiting for a free one.
    pub caller_store: Store,
    /// Limits the look-ups that use the connections for callers at a time.
    pub look_ups: Semaphore,
    /// Memory of submissions that are being stored.
    pub storing: MemoryBudget,
    /// Counts submissions sent away because too many were being stored.
    pub storing_busy: Counter,
    /// Client that relays calls to other daemons.
    pub relay: Relay,
    /// Address at which this daemon answers callers.
    pub callers: Cell<SocketAddr>,
    /// The other daemons, as last read.
    pub peers: RefCell<Vec<Peer>>,
    /// Resources of this VM.
    pub capacity: Capacity,
    /// Observations from which hand-overs of the lock are decided.
    pub handover: RefCell<Handover>,
    /// Client of the workers.
    pub workers: Workers,
    /// Links to other daemons, if the settings name a port for them.
    pub links: RefCell<Option<Links>>,
    /// Choice of the delegates while this daemon is the coordinator.
    pub assignment: RefCell<Assignment>,
    /// Ages of the calls that this daemon carries out, by the VM of their coordinator.
    pub call_ages: RefCell<Map<VmId, AgeFilter>>,
    /// Number of calls that this daemon is carrying out for a coordinator.
    pub carried: Cell<usize>,
    /// Counts calls that this daemon has carried out for a coordinator.
    pub carried_calls: Counter,
    /// Counts calls of a coordinator that were not carried out.
    pub refused_calls: Counter,
    /// Counts responses of workers that could not be returned because the link had ended.
    pub lost_replies: Counter,
    /// Client of the adviser, which decides for some queues which workers may run a step.
    pub adviser: Option<Adviser>,
    /// Client of the machine service, which lists machines and starts their upkeep.
    pub machines: Option<Machines>,
    /// Revisions of the store, and when it had them.
    pub revisions: RefCell<RevisionTimes>,
    /// The operators' documents as last read.
    pub documents: RefCell<Documents>,
    /// State of the leadership while this daemon holds the lock. Questions about the site go to
    /// [`Shared::current_leadership`].
    pub leadership: RefCell<Option<Rc<Leadership>>>,
    /// Latest version of the configuration on which an answer of this daemon was based, whether its
    /// own or one that it relayed. Later calls are not decided by an older version.
    pub seen_version: Cell<u64>,
    /// Readiness as reported to the load balancer.
    pub ready: Ready,
    /// The lock as long as another daemon holds it.
    pub lock: RefCell<LockView>,
    /// The published load as last read, and the time of the read.
    pub load: RefCell<(Load, Millis)>,
    /// Whether the published load is being read in the background.
    pub reading_load: Cell<bool>,
    /// Capacity promised to callers that were asked to retry later.
    pub promised: RefCell<PromisedCapacity>,
    /// Memory of the jobs that were accepted lately.
    pub accepted: RefCell<Accepted>,
    /// Counts submissions refused because accepted jobs take too much memory.
    pub jobs_full: Counter,
    /// Rate limit on refusals recorded for calls that the configuration rejects and for cancellations
    /// of unknown jobs.
    pub refusal_limit: RefCell<RateLimit>,
    /// Limits callers' reads that count toward the store's limit.
    pub read_limit: RefCell<ReadLimit>,
    /// Lease to which new refusals are bound, and the time at which it was requested.
    pub refusal_lease: Cell<Option<(LeaseId, Millis)>>,
    /// Tells calls that may have waited while the daemon stood still.
    pub stalls: RefCell<StallDetector>,
    /// Whether this process has campaigned for the lock or seen another daemon hold it. From then
    /// on it no longer reclaims a lock that another process of this VM holds.
    pub campaigned: Cell<bool>,
    /// Whether a planned stop has begun.
    pub stopping: Cell<bool>,
    /// Start of the current outage of the store; `None` while it answers.
    outage_start: Cell<Option<Millis>>,
    rng: RefCell<Pcg64>,
}

impl Shared {
    /// State of a daemon that starts now. Opens no port and sends nothing.
    pub fn new(settings: BatchConfig, log: Logger) -> Shared {
        let site = &settings.bounds;
        let bounds = Bounds {
            max_hold: site.max_hold,
            stop_grace: site.stop_grace,
            reclaim: site.reclaim,
            config_apply: site.config_apply,
            drain: site.drain,
            evacuate: site.evacuate,
            cancel: site.cancel,
            heartbeat: site.heartbeat,
            contact: site.contact,
            status: site.status,
            remote_factor: site.remote_factor,
            pace: site.pace,
            harm: site.harm,
            min_ttl: settings.store.min_ttl,
        };
        let clock = Clock::System;
        let stalls = StallDetector::new(clock.now());
        let instance = uuid::Uuid::new_v4().to_string();
        let metrics = Metrics::new();
        let seed = base::digest(instance.as_bytes());
        let fields = slog::o!(
            "vm" => settings.vm.to_string(),
            "domain" => settings.domain.to_string()
        );
        let store = Store::new(settings.store.address, STORE_TIMEOUT);
        let storing_part = (settings.resources.memory.0 / STORING_DIVISOR) as usize;
        Shared {
            times: bounds.derive(),
            bounds,
            log: log.new(fields),
            answers: metrics.counter("batch_answers", "Calls of callers by kind and answer"),
            call_time: metrics.histogram("batch_call_ms", "Time to the answer of a call"),
            config_age: metrics.histogram(
                "batch_config_age_ms",
                "Age of the configuration when a call came",
            ),
            starts_held: metrics.histogram(
                "batch_starts_held_ms",
                "Time for which starts were held back",
            ),
            guarantees_delayed: metrics.counter(
                "batch_guarantees_delayed",
                "Jobs inside a guarantee that started late or not yet",
            ),
            jobs_given_up: metrics.counter(
                "batch_jobs_given_up",
                "Jobs given up because workers crash under one of their tasks",
            ),
            checkpoints_left_out: metrics.counter(
                "batch_checkpoints_left_out",
                "Checkpoints left out of records that were too long for the store",
            ),
            worker_crashes: metrics.counter(
                "batch_worker_crashes",
                "Workers known to have crashed, as another incarnation answers in their place",
            ),
            orgs: OrgMetrics::new(&metrics),
            ends: EndMetrics::new(&metrics),
            starts: metrics.counter("batch_starts", "Orders to start a run by outcome"),
            store_errors: metrics.counter("batch_store_errors", "Failed calls to the store"),
            slow_log: LogLimiter::default(),
            stop_log: LogLimiter::default(),
            idle_log: LogLimiter::default(),
            refused_log: SubjectLimiter::default(),
            full_log: LogLimiter::default(),
            storing_log: LogLimiter::default(),
            record_log: LogLimiter::default(),
            clock,
            caller_store: Store::new(settings.store.address, CALLER_STORE_TIMEOUT),
            look_ups: Semaphore::new(MAX_LOOK_UPS),
            storing: MemoryBudget::new(MAX_STORING_BYTES.min(storing_part)),
            storing_busy: metrics.counter(
                "batch_storing_busy",
                "Submissions sent away because too many were being stored",
            ),
            store,
            callers: Cell::new(settings.addresses.callers),
            relay: Relay::default(),
            peers: RefCell::default(),
            capacity: Capacity {
                cores: settings.resources.cores,
                memory: settings.resources.memory,
                bandwidth: settings.resources.bandwidth,
            },
            handover: RefCell::default(),
            workers: Workers::new(REQUEST_TIMEOUT),
            links: RefCell::default(),
            assignment: RefCell::new(Assignment::new(Sizing {
                min_workers: settings.delegates.min_workers,
                workers_each: settings.delegates.workers_each,
            })),
            call_ages: RefCell::default(),
            carried: Cell::new(0),
            carried_calls: metrics.counter(
                "batch_carried_calls",
                "Calls to workers carried out for a coordinator",
            ),
            refused_calls: metrics.counter(
                "batch_refused_calls",
                "Calls of a coordinator not carried out",
            ),
            lost_replies: metrics.counter(
                "batch_lost_replies",
                "Responses of workers that were not returned",
            ),
            adviser: settings.adviser.map(Adviser::new),
            machines: settings
                .machines
                .address
                .map(|address| Machines::new(address, settings.vm.to_string(), REQUEST_TIMEOUT)),
            revisions: RefCell::default(),
            documents: RefCell::default(),
            leadership: RefCell::default(),
            seen_version: Cell::new(0),
            ready: Ready::default(),
            lock: RefCell::default(),
            load: RefCell::default(),
            reading_load: Cell::new(false),
            promised: RefCell::default(),
            accepted: RefCell::default(),
            jobs_full: metrics.counter(
                "batch_jobs_full",
                "Submissions refused because accepted jobs take too much memory",
            ),
            refusal_limit: RefCell::default(),
            read_limit: RefCell::default(),
            metrics,
            refusal_lease: Cell::new(None),
            stalls: RefCell::new(stalls),
            campaigned: Cell::new(false),
            stopping: Cell::new(false),
            outage_start: Cell::new(None),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            instance,
            settings,
        }
    }

    /// The current monotonic time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A random value from zero to `max`. As a delay, it keeps daemons from acting simultaneously.
    pub fn random_up_to(&self, max: Millis) -> Millis {
        use rand::RngExt;
        Millis(self.rng.borrow_mut().random_range(0..=max.0))
    }

    /// The leadership, if this daemon is the coordinator and knows the state of the site. While it restores
    /// that, it answers as a daemon that is not the coordinator.
    pub fn current_leadership(&self) -> Option<Rc<Leadership>> {
        self.held_leadership().filter(|lead| lead.restored.get())
    }

    /// The leadership, if this daemon holds the lock, whether or not the state of the site is restored.
    pub fn held_leadership(&self) -> Option<Rc<Leadership>> {
        let held = self.leadership.borrow().clone();
        held.filter(|lead| !lead.ended.get())
    }

    /// Records that a read of the store sent at `sent` was answered at this revision.
    pub fn note_revision(&self, sent: Millis, revision: Revision) {
        self.revisions.borrow_mut().record(sent, revision);
    }

    /// Logs that something under a key cannot be read, unless that was logged a short time ago.
    pub fn refuse(&self, key: &str, why: &dyn std::fmt::Display) {
        if self.refused_log.admit(key, self.now()) {
            let fields: &[(&'static str, &dyn std::fmt::Display)] =
                &[("key", &key), ("error", why)];
            obs::record(&self.log, Event::InputRefused, fields);
        }
    }

    /// Counts a failed call to the store, and logs the start and the end of an outage.
    pub fn record_store_result(&self, result: Result<(), &StoreError>) {
        if let Err(error) = result {
            let kind = match error {
                StoreError::Busy(_) => "busy",
                StoreError::NotSent(_) => "not-sent",
                StoreError::Unknown(_) => "no-answer",
                StoreError::Compacted => "history",
                StoreError::Malformed(_) => "malformed",
                StoreError::TooLarge => "too-large",
                StoreError::Protocol(_) => "protocol",
                StoreError::Refused(_) => "refused",
            };
            self.store_errors.add(&[("kind", kind)], 1);
        }
        let up = matches!(
            result,
            Ok(()) | Err(StoreError::Compacted | StoreError::Malformed(_) | StoreError::TooLarge)
        );
        if up == self.outage_start.get().is_none() {
            return;
        }
        self.outage_start.set((!up).then(|| self.now()));
        match result {
            Err(error) => obs::record(&self.log, Event::StoreUnreachable, &[("error", error)]),
            Ok(()) => obs::record(&self.log, Event::StoreReachable, &[]),
        }
    }

    /// Duration of the current outage of the store; zero while it answers.
    pub fn store_outage(&self) -> Millis {
        let since = self.outage_start.get();
        since.map_or(Millis::ZERO, |at| self.now().since(at).max(Millis(1)))
    }

    /// Suspends the current task.
    pub async fn sleep(&self, span: Millis) {
        actix_rt::time::sleep(span.duration()).await;
    }
}
