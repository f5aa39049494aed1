//! The parts of the site: a platform stand-in, worker stand-ins, and daemons on threads.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use base::Millis;
use bronzetack::Daemon;
use bronzetack::Ports;
use conf::node;
use fakes::platform::Platform;
use fakes::platform_vms::VmRow;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use fakes::worker::WorkerState;
use tokio::sync::oneshot;

/// Time that a request takes in a worker.
const SERVICE: Millis = Millis(5);

/// Requests that a worker serves at once.
const SLOTS: usize = 8;

/// Time for all daemons to become ready.
const START_MAX: Duration = Duration::from_secs(15);

/// Size of the site.
pub struct Shape {
    /// Failure domains.
    pub domains: usize,
    /// Daemons in each.
    pub daemons: usize,
    /// Workers in each.
    pub workers: usize,
}

struct Thread {
    ports: Ports,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

/// A running site.
pub struct Site {
    platform: Platform,
    workers: Vec<Worker>,
    daemons: Vec<Thread>,
}

impl Site {
    /// Starts everything and waits until every daemon is ready.
    pub fn start(shape: &Shape) -> Site {
        let platform = Platform::start(local());
        let domains: Vec<String> = (0..shape.domains).map(|i| format!("domain-{i}")).collect();
        let mut rows = Vec::new();
        let mut workers = Vec::new();
        let mut daemons = Vec::new();
        for domain in &domains {
            for i in 0..shape.workers {
                let worker = worker(&format!("{domain}-w{i}"));
                rows.push(VmRow::worker(
                    &worker,
                    domain,
                    &format!("{domain}-r{}", i / 2),
                ));
                workers.push(worker);
            }
            for i in 0..shape.daemons {
                let vm = format!("{domain}-e{i}");
                let daemon = daemon(&settings(&vm, domain, &domains, platform.addr()));
                let ports = daemon.ports;
                rows.push(VmRow::entry(&vm, domain, ports.callers, ports.peers));
                daemons.push(daemon);
            }
        }
        platform.set_vms(rows);
        let site = Site {
            platform,
            workers,
            daemons,
        };
        site.wait_ready();
        site
    }

    /// The callers' ports.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.ports.callers).collect()
    }

    /// The operators' ports.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.ports.operators).collect()
    }

    /// What the workers recorded.
    pub fn workers(&self) -> Vec<WorkerState> {
        self.workers.iter().map(Worker::state).collect()
    }

    /// Stops the daemons as planned, then the stand-ins.
    pub fn close(self) {
        let mut threads = Vec::new();
        for daemon in self.daemons {
            let _ = daemon.stop.send(());
            threads.push(daemon.thread);
        }
        for thread in threads {
            let _ = thread.join();
        }
        for worker in self.workers {
            worker.close();
        }
        self.platform.close();
    }

    fn wait_ready(&self) {
        let begun = Instant::now();
        actix_rt::System::new().block_on(async {
            for at in self.callers() {
                let url = format!("http://{at}/ready");
                while !is_ok(&url).await {
                    assert!(begun.elapsed() < START_MAX, "{at} did not become ready");
                    actix_rt::time::sleep(Duration::from_millis(20)).await;
                }
            }
        });
    }
}

async fn is_ok(url: &str) -> bool {
    let answer = awc::Client::default().get(url).send().await;
    answer.is_ok_and(|a| a.status().is_success())
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
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

fn settings(vm: &str, domain: &str, domains: &[String], platform: SocketAddr) -> String {
    let any = local();
    format!(
        r#"{{
    // One daemon of the example site.
    "vm": "{vm}",
    "domain": "{domain}",
    "domains": {domains:?},
    "addresses": {{ "callers": "{any}", "operators": "{any}", "peers": "{any}" }},
    "platform": {{ "store": ["http://{platform}"], "vms": "http://{platform}", "calls": 200 }},
}}"#
    )
}

fn daemon(settings: &str) -> Thread {
    let node = node::load(settings, "site.jsonc").unwrap_or_else(|e| panic!("{e}"));
    let (stop, stopped) = oneshot::channel();
    let (tx, rx) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let log = match std::env::var_os("BRONZETACK_LOG") {
                Some(_) => obs::to_stderr(slog::o!(), true),
                None => obs::discard(),
            };
            let daemon = Daemon::start(node, log).await.expect("a daemon");
            let _ = tx.send(daemon.ports());
            let _ = stopped.await;
            daemon.close().await;
        });
    });
    Thread {
        ports: rx.recv().expect("the daemon's ports"),
        stop,
        thread,
    }
}
