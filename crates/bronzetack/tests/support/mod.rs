//! A site of real daemon processes with a fake platform and fake workers.
#![allow(dead_code)]

pub mod callers;
pub mod relay;
pub mod tasks;

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
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

/// Longest wait for a condition that should hold shortly.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Lines of a daemon's log that a failed test shows.
const LOG_LINES: usize = 40;

/// Most requests that a worker serves at once.
const SLOTS: usize = 8;

/// Time that a worker takes for a request.
const SERVICE_TIME: Millis = Millis(2);

/// Waits until `done` holds. Panics with `what` after [`WAIT_TIMEOUT`].
pub fn eventually(what: &str, done: impl FnMut() -> bool) {
    assert!(within(WAIT_TIMEOUT, done), "timed out: {what}");
}

/// Waits until `done` holds, for at most `bound`. Returns whether it did.
pub fn within(bound: Duration, mut done: impl FnMut() -> bool) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < bound {
        if done() {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    done()
}

/// Ports for daemons, below the system's range for outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Number of ports tried by this process.
static PORTS_TRIED: AtomicU16 = AtomicU16::new(0);

/// A free loopback address outside of the range for outgoing connections, so that none of them
/// takes the port before the daemon binds it.
pub fn free_address() -> SocketAddr {
    let width = PORT_RANGE.end - PORT_RANGE.start;
    let base = (std::process::id() * 97 % u32::from(width)) as u16;
    loop {
        let step = PORTS_TRIED.fetch_add(1, Ordering::SeqCst);
        let port =
            PORT_RANGE.start + ((u32::from(base) + u32::from(step)) % u32::from(width)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The loopback address with a port chosen by the system.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Addresses on which a daemon listens.
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
    /// Address for peers in the platform's list of VMs; a relay in tests of link failures.
    pub peer_addr: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            kill(Pid::from_raw(child.id() as i32), signal).expect("daemon is running");
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Begins a planned stop with SIGTERM and waits for the end of the process.
    pub fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.wait()
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("daemon is running");
        child.wait().expect("process can be waited for")
    }

    /// Kills the process if it runs and starts it again on the same VM.
    pub fn restart(&mut self) {
        self.kill();
        self.child = Some(spawn(&self.settings));
    }

    /// The end of its log, unless that went to standard error.
    fn latest_log(&self) -> String {
        let log = fs::read_to_string(log_path(&self.settings)).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
    }

    /// Whether the daemon reports that it is ready.
    pub fn is_ready(&self) -> bool {
        callers::get(self.ports.callers, "/ready").is_some_and(|(status, _)| status == 200)
    }

    /// Value of the first metric whose line starts with `name`; 0 if there is none.
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

/// Daemons of one or more failure domains with the fakes that they use.
pub struct Site {
    pub platform: Platform,
    pub workers: Vec<Worker>,
    pub daemons: Vec<Daemon>,
    /// Address at which daemons added next reach the store; a relay in tests of outages.
    pub store: SocketAddr,
    domains: Vec<String>,
    dir: PathBuf,
}

impl Site {
    /// Starts the fakes only: the platform and `workers` workers in each of `domains` failure
    /// domains.
    pub fn new(name: &str, domains: usize, workers: usize) -> Site {
        let platform = Platform::start(loopback());
        let dir = std::env::temp_dir().join(format!("bronzetack-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("directory of the site can be created");
        let domains: Vec<String> = (0..domains).map(|i| format!("d{i}")).collect();
        let started = domains
            .iter()
            .flat_map(|d| (0..workers).map(move |i| start_worker(&format!("{d}-w{i}"))));
        Site {
            store: platform.addr(),
            workers: started.collect(),
            daemons: Vec::new(),
            platform,
            domains,
            dir,
        }
    }

    /// Starts the fakes and `daemons` daemons in each failure domain. Waits until all are ready and
    /// creates the tests' organisation.
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

    /// Starts one more daemon in a failure domain. Returns its index.
    pub fn add_daemon(&mut self, domain: usize) -> usize {
        let domain = self.domains[domain].clone();
        let index = self.daemons.len();
        let vm = format!("{domain}-e{index}");
        let ports = Ports {
            callers: free_address(),
            operators: free_address(),
            peers: free_address(),
        };
        let settings = self.dir.join(format!("{vm}.jsonc"));
        fs::write(&settings, self.settings(&vm, &domain, ports))
            .expect("settings file can be written");
        self.daemons.push(Daemon {
            child: Some(spawn(&settings)),
            peer_addr: ports.peers,
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

    /// Publishes the current daemons and workers in the platform's list of VMs.
    pub fn publish(&self) {
        self.publish_with(|_| {});
    }

    /// Publishes the platform's list of VMs with each row changed by `edit`.
    pub fn publish_with(&self, edit: impl Fn(&mut VmRow)) {
        let entries = self.daemons.iter().map(entry_row);
        let workers = self.workers.iter().map(worker_row);
        let mut rows: Vec<VmRow> = entries.chain(workers).collect();
        rows.iter_mut().for_each(edit);
        self.platform.set_vms(rows);
    }

    /// Waits until every daemon is ready and creates the tests' organisation.
    pub fn wait_ready(&self) {
        for daemon in &self.daemons {
            let is_ready = within(WAIT_TIMEOUT, || daemon.is_ready());
            assert!(
                is_ready,
                "{} is not ready: {}",
                daemon.vm,
                daemon.latest_log()
            );
        }
        callers::add_org(self.daemons[0].ports.operators);
    }

    /// State of each worker, with its recorded runs and tasks.
    pub fn worker_states(&self) -> Vec<WorkerState> {
        self.workers.iter().map(Worker::state).collect()
    }

    /// Puts a relay in front of each daemon's port for peers. Call it before [`Site::publish`].
    pub fn relay_links(&mut self) -> Vec<relay::Relay> {
        let relays = self.daemons.iter_mut().map(|daemon| {
            let relay = relay::Relay::start(daemon.ports.peers);
            daemon.peer_addr = relay.address();
            relay
        });
        relays.collect()
    }

    /// Starts a site in which links to each daemon pass through a relay of its own.
    pub fn with_link_relays(
        name: &str,
        domains: usize,
        daemons: usize,
    ) -> (Site, Vec<relay::Relay>) {
        let mut site = Site::new(name, domains, 1);
        for i in 0..domains * daemons {
            site.add_daemon(i / daemons);
        }
        let relays = site.relay_links();
        site.publish();
        site.wait_ready();
        (site, relays)
    }

    /// Starts a site of one failure domain in which each daemon reaches the store through a relay
    /// of its own.
    pub fn with_store_relays(
        name: &str,
        daemons: usize,
        workers: usize,
    ) -> (Site, Vec<relay::Relay>) {
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

    /// Restarts every daemon and waits until all are ready.
    pub fn restart_all(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::restart);
        self.wait_ready();
    }

    /// Number of runs of a request over all workers.
    pub fn runs(&self, id: &str) -> u64 {
        let runs = |w: &Worker| w.state().lock().runs.get(id).copied().unwrap_or(0);
        self.workers.iter().map(runs).sum()
    }

    /// Kills the daemons and stops the fakes.
    pub fn close(self) {
        drop(self.daemons);
        self.workers.into_iter().for_each(Worker::close);
        self.platform.close();
        let _ = fs::remove_dir_all(self.dir);
    }
}

fn spawn(settings: &Path) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bronzetack"))
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(log_target(settings))
        .spawn()
        .expect("daemon program starts");
    let mut ports = String::new();
    let out = child.stdout.take().expect("standard output is piped");
    let _ = BufReader::new(out).read_line(&mut ports);
    child
}

/// Destination of a daemon's log: standard error if `BRONZETACK_LOG` is set, else a file beside its
/// settings, to which it is appended.
fn log_target(settings: &Path) -> Stdio {
    if std::env::var_os("BRONZETACK_LOG").is_some() {
        return Stdio::inherit();
    }
    let log = fs::File::options()
        .append(true)
        .create(true)
        .open(log_path(settings));
    log.expect("log file can be opened").into()
}

fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}

fn start_worker(id: &str) -> Worker {
    let config = WorkerConfig {
        id: id.parse().expect("valid worker id"),
        address: loopback(),
        slots: SLOTS,
        service_time: SERVICE_TIME,
    };
    Worker::start(config).expect("worker starts")
}

fn entry_row(daemon: &Daemon) -> VmRow {
    VmRow::entry(
        &daemon.vm,
        &daemon.domain,
        daemon.ports.callers,
        daemon.peer_addr,
    )
}

fn worker_row(worker: &Worker) -> VmRow {
    let id = worker.state().id().to_string();
    let domain = id.split('-').next().unwrap_or_default();
    VmRow::worker(worker, domain, &format!("{domain}-r0"))
}
