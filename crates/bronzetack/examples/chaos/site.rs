//! The site: stand-ins in this process, daemons as child processes.

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

/// Failure domains.
pub const DOMAINS: usize = 2;

/// Time that a request takes in a worker.
const SERVICE: Millis = Millis(2);

/// Requests that a worker serves at once.
const SLOTS: usize = 8;

/// First port of the daemons, below the range of outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Ports to choose from.
const PORTS: u32 = 18_000;

/// Size of the site.
pub struct Shape {
    /// Daemons in each failure domain.
    pub daemons: usize,
    /// Workers in each failure domain.
    pub workers: usize,
    /// The daemon's program.
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
    /// The platform stand-in.
    pub platform: Platform,
    workers: Vec<Worker>,
    daemons: Vec<Daemon>,
    program: PathBuf,
    dir: PathBuf,
    port: u32,
    vms: usize,
}

impl Site {
    /// Starts the stand-ins and the daemons.
    pub fn start(shape: &Shape) -> io::Result<Site> {
        let dir = std::env::temp_dir().join(format!("bronzetack-chaos-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut site = Site {
            platform: Platform::start(local(0)),
            workers: Vec::new(),
            daemons: Vec::new(),
            program: shape.program.clone(),
            dir,
            port: std::process::id() * 97 % PORTS,
            vms: 0,
        };
        for domain in 0..DOMAINS {
            for i in 0..shape.workers {
                site.workers.push(worker(&format!("d{domain}-w{i}"))?);
            }
            for _ in 0..shape.daemons {
                let daemon = site.daemon(domain)?;
                site.daemons.push(daemon);
            }
        }
        site.publish();
        Ok(site)
    }

    /// Daemons.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Where a daemon serves callers.
    pub fn callers(&self, i: usize) -> SocketAddr {
        self.daemons[i].ports.callers
    }

    /// Where a daemon serves operators.
    pub fn operators(&self, i: usize) -> SocketAddr {
        self.daemons[i].ports.operators
    }

    /// How often the workers ran each request.
    pub fn runs(&self) -> base::Map<String, u64> {
        let mut all = base::Map::default();
        for worker in &self.workers {
            for (id, runs) in &worker.state().lock().runs {
                *all.entry(id.clone()).or_default() += runs;
            }
        }
        all
    }

    /// Kills a daemon.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.daemons[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a killed daemon again on the same VM.
    pub fn restart(&mut self, i: usize) -> io::Result<()> {
        let child = spawn(&self.program, &self.daemons[i].settings)?;
        self.daemons[i].child = Some(child);
        Ok(())
    }

    /// Puts a daemon on a new VM in place of a killed one.
    pub fn replace(&mut self, i: usize) -> io::Result<()> {
        let domain = usize::from(self.daemons[i].domain != "d0");
        self.daemons[i] = self.daemon(domain)?;
        self.publish();
        Ok(())
    }

    /// Freezes or wakes a daemon.
    pub fn signal(&self, i: usize, signal: Signal) {
        if let Some(child) = &self.daemons[i].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills the daemons and ends the stand-ins.
    pub fn close(mut self) {
        for i in 0..self.daemons.len() {
            self.kill(i);
        }
        self.workers.into_iter().for_each(Worker::close);
        self.platform.close();
        let _ = fs::remove_dir_all(self.dir);
    }

    fn daemon(&mut self, domain: usize) -> io::Result<Daemon> {
        let domain = format!("d{domain}");
        let vm = format!("{domain}-e{}", self.vms);
        self.vms += 1;
        let ports = Ports {
            callers: self.free(),
            operators: self.free(),
            peers: self.free(),
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

    fn free(&mut self) -> SocketAddr {
        loop {
            self.port = (self.port + 1) % PORTS;
            let address = local(FIRST_PORT + self.port as u16);
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

fn local(port: u16) -> SocketAddr {
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

fn worker(id: &str) -> io::Result<Worker> {
    Worker::start(WorkerConfig {
        id: id.parse().map_err(io::Error::other)?,
        address: local(0),
        slots: SLOTS,
        service_time: SERVICE,
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
