//! A site under test: fakes in this process, daemons as child processes, and relays between them.

use std::cell::RefCell;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use base::Millis;
use batch::Resources;
use fakes::fault_relay::Relay;
use platform_fakes::FakeAdviser;
use platform_fakes::FakeMachines;
use platform_fakes::FakeStore;
use platform_fakes::FakeWorker;
use platform_fakes::FakeWorkerPool;
use platform_fakes::StoreFault;
use platform_fakes::API_KEY;

use crate::crashes;
use crate::daemon::Addresses;
use crate::daemon::Daemon;
use crate::equip;
use crate::error::SoakError;
use crate::growth;
use crate::history::FaultWindow;
use crate::history::History;
use crate::history::WaveResult;
use crate::quota;
use crate::traffic::Traffic;
use crate::Plan;
use crate::Report;

/// Period in which workers renew their registrations, unless the plan sets another. Processes are checked three
/// times as often.
pub const DEFAULT_HEARTBEAT: Millis = Millis(300);

/// Missed renewals after which a worker's registration is removed.
const MAX_MISSED_RENEWALS: u64 = 3;

/// Time after the end of load and faults in which every accepted job must end. It is the platform's
/// bound on the end of all work, and the time after which a disruption counts as over.
const SETTLE_TIMEOUT: Millis = Millis(17_000);

/// Limit on [`Site::scale`], so that a coordinator, which a quarter of the faults hit, lives for long enough to do
/// its work.
const MAX_SCALE: u64 = 8;

/// Attempts of a task, as [`FakeStore::configure`] sets them.
const MAX_ATTEMPTS: u32 = 3;

/// First of the ports for daemons. They are below the range of outgoing connections, so that none
/// of those takes a port before its daemon listens.
const FIRST_PORT: u32 = 10_000;

/// Number of ports for daemons.
const PORTS: u32 = 22_000;

/// Offset of the port that was tried last.
static LAST_PORT: Mutex<u32> = Mutex::new(0);

/// Whether the daemons of a site with this seed call workers through delegates.
fn uses_delegates(seed: u64) -> bool {
    seed % 2 == 0
}

/// A worker, which keeps its id over restarts.
pub struct WorkerHandle {
    /// The fake worker.
    pub worker: FakeWorker,
    /// Relay between the daemons and the worker.
    pub relay: Relay,
    /// Whether it registers as draining.
    pub draining: bool,
    /// Whether it renews its registration.
    pub renewing: bool,
    /// Time of the last renewal; `None` without a registration.
    last_renewal: Option<Millis>,
}

/// A daemon with the relays and the store endpoint that it uses.
pub struct DaemonHandle {
    /// The daemon and its process.
    pub daemon: Daemon,
    /// Relay between callers and the daemon.
    pub caller_relay: Relay,
    /// Relay between the daemon and its store endpoint.
    pub store_relay: Relay,
    /// Port of the store for this daemon alone, with independent faults.
    pub store_endpoint: FakeStore,
}

/// A running site.
pub struct Site {
    plan: Plan,
    /// Store, accessed directly by workers and operators.
    pub store: FakeStore,
    /// Whether workers can reach the store to renew their registrations.
    pub renewals_enabled: RefCell<bool>,
    /// Workers, as the fakes hold them.
    pub pool: FakeWorkerPool,
    /// Adviser, which approves workers for jobs of the advised queue.
    adviser: FakeAdviser,
    /// Machine service, with one machine for each worker.
    machines: FakeMachines,
    /// Requested waves of upkeep: number, and limit on the machines down at the same time.
    pub waves: RefCell<Vec<(u64, usize)>>,
    /// Workers by number.
    pub workers: RefCell<Vec<WorkerHandle>>,
    /// Daemons by number.
    pub daemons: RefCell<Vec<DaemonHandle>>,
    /// Jobs, faults, and starts and ends of processes recorded so far.
    pub history: RefCell<History>,
    /// Version of the configuration, and the time and the number of extra queues of each change.
    changes: RefCell<(u64, Vec<(Millis, usize)>)>,
    /// Set to end the background maintenance.
    finished: RefCell<bool>,
}

fn io_error(subject: &str) -> impl FnOnce(io::Error) -> SoakError + '_ {
    move |error| SoakError::Io(subject.to_string(), error)
}

impl Site {
    /// Starts the fakes, the relays and the daemons.
    pub fn start(plan: &Plan) -> Result<Site, SoakError> {
        let dir = plan.dir.display().to_string();
        fs::create_dir_all(&plan.dir).map_err(io_error(&dir))?;
        let store = FakeStore::start().map_err(io_error("the store"))?;
        let pool = FakeWorkerPool::start(plan.seed);
        match &plan.traffic {
            Some(traffic) => equip::prepare(traffic, &store, &pool),
            None => store.configure(1),
        }
        let mut workers = Vec::new();
        for num in 0..plan.workers {
            let id = format!("w{num}");
            let worker = equip::worker(plan, &pool, num).map_err(io_error(&id))?;
            workers.push(worker);
        }
        let site = Site {
            plan: plan.clone(),
            adviser: FakeAdviser::start().map_err(io_error("the adviser"))?,
            machines: FakeMachines::start(&workers).map_err(io_error("the machine service"))?,
            waves: RefCell::default(),
            store,
            renewals_enabled: RefCell::new(true),
            pool,
            workers: RefCell::default(),
            daemons: RefCell::default(),
            history: RefCell::new(History {
                max_attempts: MAX_ATTEMPTS,
                heartbeat: plan.heartbeat,
                caps: vec![(Millis::ZERO, quota::NO_CAP)],
                capacity: plan.traffic.as_ref().map(Traffic::capacity),
                ..History::default()
            }),
            changes: RefCell::new((1, Vec::new())),
            finished: RefCell::new(false),
        };
        for worker in workers {
            let relay = Relay::open(worker.address()).map_err(io_error("a worker's relay"))?;
            site.workers.borrow_mut().push(WorkerHandle {
                worker,
                relay,
                draining: false,
                renewing: true,
                last_renewal: None,
            });
        }
        site.update_registrations();
        for num in 0..plan.daemons {
            let handle = site
                .new_daemon(num)
                .map_err(io_error(&format!("daemon {num}")))?;
            site.daemons.borrow_mut().push(handle);
            site.start_daemon(num)?;
        }
        Ok(site)
    }

    /// Creates the endpoint, the relays and the settings of a daemon, without starting it.
    fn new_daemon(&self, num: usize) -> io::Result<DaemonHandle> {
        let store_endpoint = self.store.endpoint()?;
        store_endpoint.set_fault(self.usual_fault(num));
        let store_relay = Relay::open(store_endpoint.address())?;
        let traffic = self.plan.traffic.as_ref();
        let profile = traffic.map(|t| t.profile(num));
        let delegates = uses_delegates(self.plan.seed) || traffic.is_some();
        let addresses = Addresses {
            callers: free_address()?,
            ready: free_address()?,
            operators: free_address()?,
            links: delegates.then(free_address).transpose()?,
            store: store_relay.addr(),
            adviser: self.adviser.address(),
            machines: self.machines.address(),
        };
        Ok(DaemonHandle {
            daemon: Daemon::new(
                num,
                &self.plan.dir,
                &addresses,
                self.plan.heartbeat,
                profile.as_ref(),
            )?,
            caller_relay: Relay::open(addresses.callers)?,
            store_relay,
            store_endpoint,
        })
    }

    /// Starts a daemon's process unless it runs.
    pub fn start_daemon(&self, num: usize) -> Result<(), SoakError> {
        let program = &self.plan.program;
        let mut daemons = self.daemons.borrow_mut();
        self.history
            .borrow_mut()
            .process_starts
            .push((num, self.now()));
        // A child inherits open sockets until its exec, so a port that `free_address` probes
        // meanwhile would stay in use. The lock keeps probes and starts apart.
        let _guard = LAST_PORT.lock().unwrap_or_else(|e| e.into_inner());
        let started = daemons[num].daemon.start(program, self.plan.seed);
        let subject = || format!("daemon {num}, program {}", program.display());
        started.map_err(|e| SoakError::Io(subject(), e))
    }

    /// Time since the start of the site.
    pub fn now(&self) -> Millis {
        self.pool.now()
    }

    /// Waits for this time.
    pub async fn sleep(&self, duration: Millis) {
        actix_rt::time::sleep(Duration::from_millis(duration.0)).await;
    }

    /// Address at which callers reach a daemon.
    pub fn caller_address(&self, num: usize) -> SocketAddr {
        self.daemons.borrow()[num].caller_relay.addr()
    }

    /// Number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.plan.daemons
    }

    /// Fault of a daemon's link to the store while no other is injected.
    pub fn usual_fault(&self, num: usize) -> StoreFault {
        match &self.plan.traffic {
            Some(traffic) => StoreFault::Slow(Duration::from_millis(traffic.store_latency().0)),
            None if self.plan.slow_links && num > 0 => StoreFault::Bandwidth(growth::SLOW_LINK),
            None => StoreFault::None,
        }
    }

    /// Whether the run is over.
    pub fn is_finished(&self) -> bool {
        *self.finished.borrow()
    }

    /// The cap that the last version of the configuration sets.
    pub fn last_cap(&self) -> Resources {
        let history = self.history.borrow();
        history.caps.last().map_or(quota::NO_CAP, |(_, cap)| *cap)
    }

    /// Writes a new version of the configuration, with more queues if links are slow.
    pub fn configure(&self) {
        let (version, changes) = &mut *self.changes.borrow_mut();
        *version += 1;
        if let Some(traffic) = &self.plan.traffic {
            return equip::configure(traffic, &self.store, *version);
        }
        let before = changes.last().map_or(0, |(_, queues)| *queues);
        let queues = match self.plan.slow_links {
            true => growth::next_size(before),
            false => 0,
        };
        let cap = match self.plan.reborn {
            // The runs of workers that are cut off count as running, and leave little room under a cap.
            true => quota::NO_CAP,
            false => quota::cap_of(*version),
        };
        self.store
            .configure_capped(*version, API_KEY, queues, Some(cap));
        self.history.borrow_mut().caps.push((self.now(), cap));
        if queues > before {
            changes.push((self.now(), queues));
        }
    }

    /// The last change that added queues up to this time: when, and the number of queues since.
    pub fn queues_at(&self, time: Millis) -> Option<(Millis, usize)> {
        let changes = self.changes.borrow();
        let mut before = changes.1.iter().filter(|(at, _)| *at < time);
        before.next_back().copied()
    }

    /// Size of the site relative to the default one, by number of daemons, within bounds. Load and
    /// faults are that many times more frequent.
    pub fn scale(&self) -> u64 {
        let size = self.plan.daemons / crate::DEFAULT_DAEMONS;
        (size as u64).clamp(1, MAX_SCALE)
    }

    /// Registers a job with the workers and records it in the history.
    pub fn register(&self, id: &base::JobId, submission: &batch::Submission, advised: bool) {
        self.pool.register(id, submission, advised);
        self.history
            .borrow_mut()
            .jobs
            .insert(id.clone(), submission.clone());
    }

    /// Records a fault that starts now and lasts until `end`.
    pub fn record_fault(&self, end: Millis, planned: bool, description: String) {
        let fault = FaultWindow {
            start: self.now(),
            end,
            planned,
            description,
        };
        self.history.borrow_mut().faults.push(fault);
    }

    /// Renews and removes registrations of workers, and records processes that have ended, until
    /// the site is finished.
    pub async fn maintain(self: Rc<Site>) {
        while !*self.finished.borrow() {
            self.update_registrations();
            self.reap();
            self.sleep(Millis(DEFAULT_HEARTBEAT.0 / 3)).await;
        }
    }

    fn update_registrations(&self) {
        if !*self.renewals_enabled.borrow() {
            return;
        }
        let (now, heartbeat) = (self.now(), self.plan.heartbeat);
        let mut renewed = Vec::new();
        for handle in self.workers.borrow_mut().iter_mut() {
            let renewing = handle.renewing && !handle.worker.is_crashed();
            if renewing
                && handle
                    .last_renewal
                    .is_none_or(|at| now.since(at) >= heartbeat)
            {
                let state = match handle.draining {
                    true => "draining",
                    false => "ready",
                };
                let relay = handle.relay.addr();
                renewed.push(handle.worker.registration_at(relay, "pool", state));
                handle.last_renewal = Some(now);
            }
            let is_silent = |at: Millis| now.since(at).0 > MAX_MISSED_RENEWALS * heartbeat.0;
            if !renewing && handle.last_renewal.is_some_and(is_silent) {
                self.store
                    .remove(&handle.worker.registration("pool", "ready").0);
                handle.last_renewal = None;
            }
        }
        self.store.write_all(&renewed);
        for handle in self.workers.borrow().iter() {
            if handle.last_renewal == Some(now) {
                handle.worker.record_capacity();
            }
        }
    }

    fn reap(&self) {
        let now = self.now();
        for handle in self.daemons.borrow_mut().iter_mut() {
            if let Some(exit) = handle.daemon.reap(now) {
                self.history.borrow_mut().exits.push(exit);
            }
            if handle.daemon.memory().is_some() {
                handle.daemon.measure_memory();
            }
        }
    }

    /// When accepted jobs and waves must have ended, if faults are injected until `end`. A task that crashes
    /// a worker after that is a fault as well.
    pub fn settled_by(&self, end: Millis) -> Millis {
        end.max(self.pool.last_crash_by_task()) + SETTLE_TIMEOUT
    }

    /// Whether a requested wave of upkeep is not completed.
    pub fn is_upkeep_pending(&self) -> bool {
        let waves = self.waves.borrow();
        waves
            .iter()
            .any(|(number, _)| !self.store.is_wave_completed(*number))
    }

    /// Stops all daemons as planned, closes the site, and returns the complete history. `load` has
    /// the calls and the unfinished jobs.
    pub async fn finish(&self, load: History) -> History {
        let now = self.now();
        self.history.borrow_mut().memory = equip::memory(&self.daemons.borrow());
        for handle in self.daemons.borrow_mut().iter_mut() {
            handle.daemon.stop(now);
        }
        while self.daemons.borrow().iter().any(|d| d.daemon.is_up()) {
            self.reap();
            self.sleep(Millis(DEFAULT_HEARTBEAT.0 / 3)).await;
        }
        *self.finished.borrow_mut() = true;
        let requested = self.waves.borrow().clone();
        let waves = requested.into_iter().map(|(number, cap)| WaveResult {
            number,
            cap,
            max_down: self.machines.upkeep_stats(number).1,
            completed: self.store.is_wave_completed(number),
        });
        let waves = waves.collect();
        let refusals = self.refusals();
        self.close().await;
        let mut history = self.history.borrow().clone();
        history.calls = load.calls;
        history.unfinished = load.unfinished;
        history.unanswered = load.unanswered;
        history.events = self.pool.events();
        history.faults.extend(crashes::windows(&history.events));
        history.waves = waves;
        history.refusals = refusals;
        history
    }

    /// Kills the daemons of a run that has failed.
    pub fn abandon(&self) {
        *self.finished.borrow_mut() = true;
        for handle in self.daemons.borrow_mut().iter_mut() {
            handle.daemon.abandon();
        }
    }

    /// Times at which daemons' ports for callers accepted no connection.
    fn refusals(&self) -> Vec<(usize, Millis)> {
        let now = self.now();
        let daemons = self.daemons.borrow();
        let times = daemons.iter().enumerate().flat_map(|(num, daemon)| {
            let times = daemon.caller_relay.refusals().into_iter();
            times.map(move |at| (num, now.since(Millis(at.elapsed().as_millis() as u64))))
        });
        times.collect()
    }

    /// Closes the relays, the workers and the daemons' store endpoints.
    async fn close(&self) {
        let daemons: Vec<DaemonHandle> = self.daemons.borrow_mut().drain(..).collect();
        for handle in daemons {
            handle.caller_relay.close();
            handle.store_relay.close();
            handle.store_endpoint.close().await;
        }
        let workers: Vec<WorkerHandle> = self.workers.borrow_mut().drain(..).collect();
        for handle in workers {
            handle.relay.close();
            handle.worker.close().await;
        }
    }

    /// Removes the directory with settings and logs.
    pub fn remove_files(&self) -> Result<(), SoakError> {
        let dir = &self.plan.dir;
        fs::remove_dir_all(dir).map_err(io_error(&dir.display().to_string()))
    }

    /// Keeps the directory with settings and logs, and writes report, calls and events to
    /// `seen.txt`.
    pub fn keep_files(&self, history: &History, report: &Report) -> Result<(), SoakError> {
        let path = self.plan.dir.join("seen.txt");
        let text = format!("{report:#?}\n{:#?}\n{:#?}\n", history.calls, history.events);
        fs::write(&path, text).map_err(io_error(&path.display().to_string()))
    }
}

/// Returns a loopback address whose port is free. Processes start at different ports.
fn free_address() -> io::Result<SocketAddr> {
    let offset = std::process::id() * 97 % PORTS;
    let mut last = LAST_PORT.lock().unwrap_or_else(|e| e.into_inner());
    loop {
        *last += 1;
        let port = FIRST_PORT + (offset + *last) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}
