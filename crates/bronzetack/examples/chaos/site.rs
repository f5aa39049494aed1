//! Site under test: the fake platform and fake workers run in this process, the daemons as child
//! processes.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use base::Millis;
use fakes::platform::Platform;
use fakes::platform_vms::VmRow;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// Number of failure domains.
pub const DOMAINS: usize = 2;

/// Time that a worker takes for a request.
const SERVICE_TIME: Millis = Millis(2);

/// Most requests that a worker serves at once.
const SLOTS: usize = 8;

/// First port of the daemons' range, which ends below the ports for outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Number of ports in the daemons' range.
const PORT_COUNT: u32 = 18_000;

/// Size of the site.
pub struct Shape {
    /// Daemons in each failure domain.
    pub daemons: usize,
    /// Workers in each failure domain.
    pub workers: usize,
    /// Path of the daemon program.
    pub program: PathBuf,
}

#[derive(Clone, Copy)]
struct Ports {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

struct Daemon {
    vm: String,
    domain: String,
    ports: Ports,
    settings: PathBuf,
    child: Option<Child>,
}

/// A running site.
pub struct Site {
    /// The fake platform.
    pub platform: Platform,
    workers: Vec<Worker>,
    daemons: Vec<Daemon>,
    program: PathBuf,
    dir: PathBuf,
    /// Offset in the port range of the last port tried.
    port: u32,
    /// Entry VMs created so far.
    vms: usize,
}

impl Site {
    /// Starts the fakes and the daemons.
    pub fn start(shape: &Shape) -> io::Result<Site> {
        let dir = std::env::temp_dir().join(format!("bronzetack-chaos-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut site = Site {
            platform: Platform::start(loopback(0)),
            workers: Vec::new(),
            daemons: Vec::new(),
            program: shape.program.clone(),
            dir,
            port: std::process::id() * 97 % PORT_COUNT,
            vms: 0,
        };
        for domain in 0..DOMAINS {
            for i in 0..shape.workers {
                site.workers.push(start_worker(&format!("d{domain}-w{i}"))?);
            }
            for _ in 0..shape.daemons {
                let daemon = site.start_daemon(domain)?;
                site.daemons.push(daemon);
            }
        }
        site.publish();
        Ok(site)
    }

    /// Number of daemons.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Address of a daemon's port for callers.
    pub fn callers(&self, i: usize) -> SocketAddr {
        self.daemons[i].ports.callers
    }

    /// Address of a daemon's port for operators.
    pub fn operators(&self, i: usize) -> SocketAddr {
        self.daemons[i].ports.operators
    }

    /// Number of runs of each request over all workers.
    pub fn runs(&self) -> base::Map<String, u64> {
        let mut all = base::Map::default();
        for worker in &self.workers {
            for (id, runs) in &worker.state().lock().runs {
                *all.entry(id.clone()).or_default() += runs;
            }
        }
        all
    }

    /// Kills a daemon and waits for the end of its process.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.daemons[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Restarts a killed daemon on the same VM.
    pub fn restart(&mut self, i: usize) -> io::Result<()> {
        let child = spawn(&self.program, &self.daemons[i].settings)?;
        self.daemons[i].child = Some(child);
        Ok(())
    }

    /// Replaces a killed daemon by one on a new VM in the same failure domain.
    pub fn replace(&mut self, i: usize) -> io::Result<()> {
        let domain = usize::from(self.daemons[i].domain != "d0");
        self.daemons[i] = self.start_daemon(domain)?;
        self.publish();
        Ok(())
    }

    /// Sends a signal to a daemon, to freeze or resume it.
    pub fn signal(&self, i: usize, signal: Signal) {
        if let Some(child) = &self.daemons[i].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills the daemons and stops the fakes.
    pub fn close(mut self) {
        for i in 0..self.daemons.len() {
            self.kill(i);
        }
        self.workers.into_iter().for_each(Worker::close);
        self.platform.close();
        let _ = fs::remove_dir_all(self.dir);
    }

    fn start_daemon(&mut self, domain: usize) -> io::Result<Daemon> {
        let domain = format!("d{domain}");
        let vm = format!("{domain}-e{}", self.vms);
        self.vms += 1;
        let ports = Ports {
            callers: self.free_address(),
            operators: self.free_address(),
            peers: self.free_address(),
        };
        let settings = self.dir.join(format!("{vm}.jsonc"));
        fs::write(&settings, self.settings(&vm, &domain, ports))?;
        Ok(Daemon {
            child: Some(spawn(&self.program, &settings)?),
            vm,
            domain,
            ports,
            settings,
        })
    }

    fn free_address(&mut self) -> SocketAddr {
        loop {
            self.port = (self.port + 1) % PORT_COUNT;
            let address = loopback(FIRST_PORT + self.port as u16);
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }

    fn settings(&self, vm: &str, domain: &str, ports: Ports) -> String {
        let (callers, operators, peers) = (ports.callers, ports.operators, ports.peers);
        let platform = self.platform.addr();
        format!(
            r#"{{
    "vm": "{vm}", "domain": "{domain}", "domains": ["d0", "d1"],
    "addresses": {{ "callers": "{callers}", "operators": "{operators}", "peers": "{peers}" }},
    "platform": {{ "store": ["http://{platform}"], "vms": "http://{platform}", "calls": 200 }},
}}"#
        )
    }

    fn publish(&self) {
        let entries = self.daemons.iter().map(entry_row);
        let workers = self.workers.iter().map(worker_row);
        self.platform.set_vms(entries.chain(workers).collect());
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn spawn(program: &Path, settings: &Path) -> io::Result<Child> {
    let mut child = Command::new(program)
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    if let Some(out) = child.stdout.take() {
        BufReader::new(out).read_line(&mut String::new())?;
    }
    Ok(child)
}

fn start_worker(id: &str) -> io::Result<Worker> {
    Worker::start(WorkerConfig {
        id: id.parse().map_err(io::Error::other)?,
        address: loopback(0),
        slots: SLOTS,
        service_time: SERVICE_TIME,
    })
}

fn entry_row(daemon: &Daemon) -> VmRow {
    let ports = daemon.ports;
    VmRow::entry(&daemon.vm, &daemon.domain, ports.callers, ports.peers)
}

fn worker_row(worker: &Worker) -> VmRow {
    let id = worker.state().id().to_string();
    let domain = id.split('-').next().unwrap_or_default();
    VmRow::worker(worker, domain, &format!("{domain}-r0"))
}
