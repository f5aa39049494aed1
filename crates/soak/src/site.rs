//! The site: stand-ins in this process, daemons as processes, relays between them.

use std::cell::RefCell;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use base::Millis;
use fakes::fault_relay::Relay;
use platform_fakes::FakeAdviser;
use platform_fakes::FakeMachines;
use platform_fakes::FakeStore;
use platform_fakes::FakeWorker;
use platform_fakes::FakeWorkerPool;

use crate::daemon::Addresses;
use crate::daemon::Daemon;
use crate::error::SoakError;
use crate::log::Log;
use crate::log::Upkeep;
use crate::log::Window;
use crate::Plan;
use crate::Report;

/// Period of the workers' entries and of looks at the processes.
pub const BEAT: Millis = Millis(300);

/// Periods of silence after which a worker's entry is removed.
const SILENT: u64 = 3;

/// Attempts of a task, as the stand-in of the operators configures them.
const ATTEMPTS: u32 = 3;

/// First of the ports that are tried for daemons, below those of outgoing connections.
const FIRST_PORT: u32 = 10_000;

/// Number of these ports.
const PORTS: u32 = 22_000;

/// The last port tried.
static PORT: Mutex<u32> = Mutex::new(0);

/// A place for a worker: it keeps its id through its lives.
pub struct WorkerPlace {
    /// The worker.
    pub worker: FakeWorker,
    /// What stands in front of it.
    pub relay: Relay,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether it lists itself.
    pub listed: bool,
    /// When it last wrote its entry.
    beat: Option<Millis>,
}

/// A place for a daemon.
pub struct DaemonPlace {
    /// Its process.
    pub daemon: Daemon,
    /// What stands in front of it for callers.
    pub callers: Relay,
    /// What stands between it and the store.
    pub relay: Relay,
    /// Its own entrance to the store.
    pub door: FakeStore,
}

/// A running site.
pub struct Site {
    plan: Plan,
    /// The store.
    pub store: FakeStore,
    /// Whether the store takes the workers' entries.
    pub lists: RefCell<bool>,
    floor: FakeWorkerPool,
    /// Who decides which workers may run advised jobs.
    adviser: FakeAdviser,
    /// The machines of the workers.
    machines: FakeMachines,
    /// Waves of upkeep that were asked for, with their cap.
    pub waves: RefCell<Vec<(u64, usize)>>,
    /// Workers.
    pub workers: RefCell<Vec<WorkerPlace>>,
    /// Daemons.
    pub daemons: RefCell<Vec<DaemonPlace>>,
    /// What has been seen.
    pub log: RefCell<Log>,
    over: RefCell<bool>,
}

fn io_error(place: &str) -> impl FnOnce(io::Error) -> SoakError + '_ {
    move |error| SoakError::Io(place.to_string(), error)
}

impl Site {
    /// Starts everything.
    pub fn start(plan: &Plan) -> Result<Site, SoakError> {
        let dir = plan.dir.display().to_string();
        fs::create_dir_all(&plan.dir).map_err(io_error(&dir))?;
        let store = FakeStore::start().map_err(io_error("the store"))?;
        store.configure(1);
        let floor = FakeWorkerPool::start(plan.seed);
        let mut workers = Vec::new();
        for num in 0..plan.workers {
            let (id, domain) = (format!("w{num}"), format!("d{}", num % 2));
            let worker = floor.worker(&id, &domain).map_err(io_error(&id))?;
            workers.push(worker);
        }
        let site = Site {
            plan: plan.clone(),
            adviser: FakeAdviser::start().map_err(io_error("the adviser"))?,
            machines: FakeMachines::start(&workers).map_err(io_error("the machines"))?,
            waves: RefCell::default(),
            store,
            lists: RefCell::new(true),
            floor,
            workers: RefCell::default(),
            daemons: RefCell::default(),
            log: RefCell::new(Log {
                attempts: ATTEMPTS,
                ..Log::default()
            }),
            over: RefCell::new(false),
        };
        for worker in workers {
            let relay = Relay::start(worker.address());
            site.workers.borrow_mut().push(WorkerPlace {
                worker,
                relay,
                draining: false,
                listed: true,
                beat: None,
            });
        }
        site.list();
        for num in 0..plan.daemons {
            let place = site
                .place(num)
                .map_err(io_error(&format!("daemon {num}")))?;
            site.daemons.borrow_mut().push(place);
            site.boot(num)?;
        }
        Ok(site)
    }

    fn place(&self, num: usize) -> io::Result<DaemonPlace> {
        let door = self.store.door()?;
        let relay = Relay::start(door.address());
        let addresses = Addresses {
            callers: free(),
            ready: free(),
            operators: free(),
            store: relay.addr(),
            adviser: self.adviser.address(),
            machines: self.machines.address(),
        };
        Ok(DaemonPlace {
            daemon: Daemon::new(num, &self.plan.dir, &addresses)?,
            callers: Relay::start(addresses.callers),
            relay,
            door,
        })
    }

    /// Starts a daemon's process unless it runs.
    pub fn boot(&self, num: usize) -> Result<(), SoakError> {
        let program = &self.plan.program;
        let mut daemons = self.daemons.borrow_mut();
        self.log.borrow_mut().boots.push((num, self.now()));
        // A process that is being started holds a copy of a port that is tried meanwhile.
        let _last = PORT.lock().unwrap_or_else(|e| e.into_inner());
        let started = daemons[num].daemon.start(program);
        started.map_err(io_error(&program.display().to_string()))
    }

    /// Time since the start.
    pub fn now(&self) -> Millis {
        self.floor.now()
    }

    /// Waits.
    pub async fn sleep(&self, span: Millis) {
        actix_rt::time::sleep(Duration::from_millis(span.0)).await;
    }

    /// Where callers reach a daemon.
    pub fn entry(&self, num: usize) -> SocketAddr {
        self.daemons.borrow()[num].callers.addr()
    }

    /// Number of daemons.
    pub fn size(&self) -> usize {
        self.plan.daemons
    }

    /// How many times the usual size the site is, at least 1.
    pub fn scale(&self) -> u64 {
        (self.plan.daemons / crate::DAEMONS).max(1) as u64
    }

    /// Makes a job known to the workers and to the log.
    pub fn register(&self, id: &base::JobId, work: &batch::Submission, advised: bool) {
        self.floor.register(id, work, advised);
        self.log.borrow_mut().jobs.insert(id.clone(), work.clone());
    }

    /// Notes a fault that lasts until `until`.
    pub fn window(&self, until: Millis, planned: bool, what: String) {
        let window = Window {
            from: self.now(),
            until,
            planned,
            what,
        };
        self.log.borrow_mut().windows.push(window);
    }

    /// Workers write their entries, entries of silent ones go, and processes that have ended are
    /// seen, until the site is finished.
    pub async fn beat(self: Rc<Site>) {
        while !*self.over.borrow() {
            self.list();
            self.reap();
            self.sleep(Millis(BEAT.0 / 3)).await;
        }
    }

    fn list(&self) {
        if !*self.lists.borrow() {
            return;
        }
        let now = self.now();
        for place in self.workers.borrow_mut().iter_mut() {
            if place.listed && place.beat.is_none_or(|at| now.since(at) >= BEAT) {
                let state = match place.draining {
                    true => "draining",
                    false => "ready",
                };
                let relay = place.relay.addr();
                let (key, entry) = place.worker.entry_at(relay, "pool", state);
                self.store.write(&key, &entry);
                place.beat = Some(now);
            }
            let silent = |at: Millis| now.since(at).0 > SILENT * BEAT.0;
            if !place.listed && place.beat.is_some_and(silent) {
                self.store.remove(&place.worker.entry("pool", "ready").0);
                place.beat = None;
            }
        }
    }

    fn reap(&self) {
        let now = self.now();
        for place in self.daemons.borrow_mut().iter_mut() {
            if let Some(exit) = place.daemon.reap(now) {
                self.log.borrow_mut().exits.push(exit);
            }
        }
    }

    /// Whether a wave of upkeep is not over.
    pub fn is_upkeep_due(&self) -> bool {
        let waves = self.waves.borrow();
        waves
            .iter()
            .any(|(number, _)| !self.store.is_wave_over(*number))
    }

    /// Ends all processes, as planned, and returns what was seen.
    pub async fn finish(&self, load: Log) -> Log {
        let now = self.now();
        for place in self.daemons.borrow_mut().iter_mut() {
            place.daemon.stop(now);
        }
        while self.daemons.borrow().iter().any(|d| d.daemon.is_up()) {
            self.sleep(Millis(BEAT.0 / 3)).await;
        }
        *self.over.borrow_mut() = true;
        let asked = self.waves.borrow().clone();
        let waves = asked.into_iter().map(|(number, cap)| Upkeep {
            number,
            cap,
            most: self.machines.seen(number).1,
            is_over: self.store.is_wave_over(number),
        });
        let waves = waves.collect();
        self.close().await;
        let mut log = self.log.borrow().clone();
        log.calls = load.calls;
        log.unsettled = load.unsettled;
        log.facts = self.floor.events();
        log.waves = waves;
        log
    }

    /// Ends the stand-ins and the relays.
    async fn close(&self) {
        let daemons: Vec<DaemonPlace> = self.daemons.borrow_mut().drain(..).collect();
        for place in daemons {
            place.callers.close();
            place.relay.close();
            place.door.close().await;
        }
        let workers: Vec<WorkerPlace> = self.workers.borrow_mut().drain(..).collect();
        for place in workers {
            place.relay.close();
            place.worker.close().await;
        }
    }

    /// Removes settings and logs.
    pub fn clean(&self) -> Result<(), SoakError> {
        let dir = &self.plan.dir;
        fs::remove_dir_all(dir).map_err(io_error(&dir.display().to_string()))
    }

    /// Keeps settings and logs, with what was seen beside them.
    pub fn keep(&self, log: &Log, report: &Report) -> Result<(), SoakError> {
        let path = self.plan.dir.join("seen.txt");
        let text = format!("{report:#?}\n{:#?}\n{:#?}\n", log.calls, log.facts);
        fs::write(&path, text).map_err(io_error(&path.display().to_string()))
    }
}

/// A free address that no outgoing connection takes by chance.
fn free() -> SocketAddr {
    let base = std::process::id() * 97 % PORTS;
    let mut last = PORT.lock().unwrap_or_else(|e| e.into_inner());
    loop {
        *last += 1;
        let port = FIRST_PORT + (base + *last) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
