//! A site of real daemon processes with stand-ins of the platform and the workers.
#![allow(dead_code)]

pub mod callers;
pub mod relay;
pub mod tasks;

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base::Millis;
use fakes::platform::Platform;
use fakes::platform_vms::VmRow;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use fakes::worker::WorkerState;
use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// Longest wait for anything that should happen soon.
pub const SOON: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Requests that a worker serves at once.
const SLOTS: usize = 8;

/// Time that a request takes in a worker.
const SERVICE: Millis = Millis(2);

/// Waits until `done` holds; panics with `what` after [`SOON`].
pub fn eventually(what: &str, done: impl FnMut() -> bool) {
    assert!(within(SOON, done), "not in time: {what}");
}

/// Whether `done` holds before `bound` has passed.
pub fn within(bound: Duration, mut done: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < bound {
        if done() {
            return true;
        }
        std::thread::sleep(POLL);
    }
    done()
}

/// Ports below the range that the system draws from for outgoing connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// The last port tried.
static PORT: AtomicU16 = AtomicU16::new(0);

/// A free loopback address that no outgoing connection takes by chance.
pub fn free() -> SocketAddr {
    let width = PORTS.end - PORTS.start;
    let base = (std::process::id() * 97 % u32::from(width)) as u16;
    loop {
        let step = PORT.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + ((u32::from(base) + u32::from(step)) % u32::from(width)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Any port on loopback.
pub fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// One daemon process.
pub struct Daemon {
    pub vm: String,
    pub domain: String,
    pub ports: Ports,
    /// What the platform lists as the address for peers; a relay in tests of cuts.
    pub listed: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            kill(Pid::from_raw(child.id() as i32), signal).expect("a running daemon");
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process as planned and waits for its end.
    pub fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.wait()
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("a running daemon");
        child.wait().expect("its status")
    }

    /// Starts the process again after its end, as another start on the same VM.
    pub fn restart(&mut self) {
        self.kill();
        self.child = Some(spawn(&self.settings));
    }

    /// Whether it is ready for callers.
    pub fn is_ready(&self) -> bool {
        callers::get(self.ports.callers, "/ready").is_some_and(|(status, _)| status == 200)
    }

    /// A metric's line that starts with `name`, as a number; 0 if there is none.
    pub fn metric(&self, name: &str) -> f64 {
        let text = callers::get(self.ports.operators, "/metrics").map(|(_, body)| body);
        let text = text.unwrap_or_default();
        let mut lines = text.lines().filter(|line| line.starts_with(name));
        let value = lines.next().and_then(|line| line.split(' ').nth(1));
        value.and_then(|v| v.parse().ok()).unwrap_or(0.0)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A site.
pub struct Site {
    pub platform: Platform,
    pub workers: Vec<Worker>,
    pub daemons: Vec<Daemon>,
    /// Where daemons reach the platform; a relay in tests of cuts.
    pub store: SocketAddr,
    domains: Vec<String>,
    dir: PathBuf,
}

impl Site {
    /// Stand-ins only: `domains` failure domains with `workers` workers each.
    pub fn new(name: &str, domains: usize, workers: usize) -> Site {
        let platform = Platform::start(local());
        let dir = std::env::temp_dir().join(format!("bronzetack-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a work area");
        let domains: Vec<String> = (0..domains).map(|i| format!("d{i}")).collect();
        let started = domains
            .iter()
            .flat_map(|d| (0..workers).map(move |i| worker(&format!("{d}-w{i}"))));
        Site {
            store: platform.addr(),
            workers: started.collect(),
            daemons: Vec::new(),
            platform,
            domains,
            dir,
        }
    }

    /// Stand-ins and `daemons` daemons in each failure domain, all ready and knowing the
    /// organisation of the tests.
    pub fn start(name: &str, domains: usize, daemons: usize, workers: usize) -> Site {
        let mut site = Site::new(name, domains, workers);
        for domain in 0..domains {
            for _ in 0..daemons {
                site.add_daemon(domain);
            }
        }
        site.publish();
        site.wait_ready();
        site
    }

    /// Starts one more daemon in a failure domain and answers with its index.
    pub fn add_daemon(&mut self, domain: usize) -> usize {
        let domain = self.domains[domain].clone();
        let index = self.daemons.len();
        let vm = format!("{domain}-e{index}");
        let ports = Ports {
            callers: free(),
            operators: free(),
            peers: free(),
        };
        let settings = self.dir.join(format!("{vm}.jsonc"));
        fs::write(&settings, self.settings(&vm, &domain, ports)).expect("a settings file");
        self.daemons.push(Daemon {
            child: Some(spawn(&settings)),
            listed: ports.peers,
            vm,
            domain,
            ports,
            settings,
        });
        index
    }

    fn settings(&self, vm: &str, domain: &str, ports: Ports) -> String {
        let Ports {
            callers,
            operators,
            peers,
        } = ports;
        let (domains, store, vms) = (&self.domains, self.store, self.platform.addr());
        format!(
            r#"{{
    "vm": "{vm}", "domain": "{domain}", "domains": {domains:?},
    "addresses": {{ "callers": "{callers}", "operators": "{operators}", "peers": "{peers}" }},
    "platform": {{ "store": ["http://{store}"], "vms": "http://{vms}", "calls": 200 }},
}}"#
        )
    }

    /// Publishes the present daemons and workers in the platform's list.
    pub fn publish(&self) {
        self.publish_with(|_| {});
    }

    /// Publishes the list after `edit` has changed its rows.
    pub fn publish_with(&self, edit: impl Fn(&mut VmRow)) {
        let entries = self.daemons.iter().map(entry_row);
        let workers = self.workers.iter().map(worker_row);
        let mut rows: Vec<VmRow> = entries.chain(workers).collect();
        rows.iter_mut().for_each(edit);
        self.platform.set_vms(rows);
    }

    /// Waits until every daemon is ready, and creates the organisation of the tests.
    pub fn wait_ready(&self) {
        for daemon in &self.daemons {
            eventually("ready", || daemon.is_ready());
        }
        callers::add_org(self.daemons[0].ports.operators);
    }

    /// What each worker recorded.
    pub fn worker_states(&self) -> Vec<WorkerState> {
        self.workers.iter().map(Worker::state).collect()
    }

    /// Puts a relay in front of each daemon's port for peers. Call it before the list is
    /// published.
    pub fn relay_links(&mut self) -> Vec<relay::Relay> {
        let relays = self.daemons.iter_mut().map(|daemon| {
            let relay = relay::Relay::start(daemon.ports.peers);
            daemon.listed = relay.address();
            relay
        });
        relays.collect()
    }

    /// A site whose links between daemons pass through relays, one a daemon.
    pub fn linked(name: &str, domains: usize, daemons: usize) -> (Site, Vec<relay::Relay>) {
        let mut site = Site::new(name, domains, 1);
        for i in 0..domains * daemons {
            site.add_daemon(i / daemons);
        }
        let relays = site.relay_links();
        site.publish();
        site.wait_ready();
        (site, relays)
    }

    /// A failure domain whose daemons reach the store through a relay each.
    pub fn stored(name: &str, daemons: usize, workers: usize) -> (Site, Vec<relay::Relay>) {
        let mut site = Site::new(name, 1, workers);
        let mut relays = Vec::new();
        for _ in 0..daemons {
            let relay = relay::Relay::start(site.platform.addr());
            site.store = relay.address();
            site.add_daemon(0);
            relays.push(relay);
        }
        site.publish();
        site.wait_ready();
        (site, relays)
    }

    /// Kills every daemon.
    pub fn kill_all(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::kill);
    }

    /// Starts every daemon again and waits until all are ready.
    pub fn restart_all(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::restart);
        self.wait_ready();
    }

    /// How often the workers ran a request.
    pub fn runs(&self, id: &str) -> u64 {
        let runs = |w: &Worker| w.state().lock().runs.get(id).copied().unwrap_or(0);
        self.workers.iter().map(runs).sum()
    }

    /// Kills the daemons and ends the stand-ins.
    pub fn close(self) {
        drop(self.daemons);
        self.workers.into_iter().for_each(Worker::close);
        self.platform.close();
        let _ = fs::remove_dir_all(self.dir);
    }
}

fn spawn(settings: &PathBuf) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bronzetack"))
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(log_target())
        .spawn()
        .expect("the daemon's program");
    let mut first = String::new();
    let out = child.stdout.take().expect("its output");
    let _ = BufReader::new(out).read_line(&mut first);
    child
}

/// Logs are dropped unless `BRONZETACK_LOG` is set.
fn log_target() -> Stdio {
    match std::env::var_os("BRONZETACK_LOG") {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    }
}

fn worker(id: &str) -> Worker {
    let config = WorkerConfig {
        id: id.parse().expect("a worker's id"),
        address: local(),
        slots: SLOTS,
        service_time: SERVICE,
    };
    Worker::start(config).expect("a worker stand-in")
}

fn entry_row(daemon: &Daemon) -> VmRow {
    VmRow::entry(
        &daemon.vm,
        &daemon.domain,
        daemon.ports.callers,
        daemon.listed,
    )
}

fn worker_row(worker: &Worker) -> VmRow {
    let id = worker.state().id().to_string();
    let domain = id.split('-').next().unwrap_or_default();
    VmRow::worker(worker, domain, &format!("{domain}-r0"))
}
