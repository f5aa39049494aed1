//! Parts of the site: a fake platform, fake workers, and daemons, each on a thread of its own.

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

/// Time that a worker takes for a request.
const SERVICE_TIME: Millis = Millis(5);

/// Most requests that a worker serves at once.
const SLOTS: usize = 8;

/// Longest wait for all daemons to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of the site.
pub struct Shape {
    /// Failure domains.
    pub domains: usize,
    /// Daemons in each failure domain.
    pub daemons: usize,
    /// Workers in each failure domain.
    pub workers: usize,
}

/// A daemon on a thread of its own.
struct DaemonThread {
    ports: Ports,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

/// A running site.
pub struct Site {
    platform: Platform,
    workers: Vec<Worker>,
    daemons: Vec<DaemonThread>,
}

impl Site {
    /// Starts the fakes and the daemons and waits until every daemon is ready.
    pub fn start(shape: &Shape) -> Site {
        let platform = Platform::start(loopback());
        let domains: Vec<String> = (0..shape.domains).map(|i| format!("domain-{i}")).collect();
        let mut rows = Vec::new();
        let mut workers = Vec::new();
        let mut daemons = Vec::new();
        for domain in &domains {
            for i in 0..shape.workers {
                let worker = start_worker(&format!("{domain}-w{i}"));
                rows.push(VmRow::worker(
                    &worker,
                    domain,
                    &format!("{domain}-r{}", i / 2),
                ));
                workers.push(worker);
            }
            for i in 0..shape.daemons {
                let vm = format!("{domain}-e{i}");
                let daemon = start_daemon(&settings(&vm, domain, &domains, platform.addr()));
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

    /// Addresses of the daemons' ports for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.ports.callers).collect()
    }

    /// Addresses of the daemons' ports for operators.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.ports.operators).collect()
    }

    /// State of each worker, with its recorded runs.
    pub fn workers(&self) -> Vec<WorkerState> {
        self.workers.iter().map(Worker::state).collect()
    }

    /// Stops the daemons as planned, then the fakes.
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
        let started = Instant::now();
        actix_rt::System::new().block_on(async {
            for at in self.callers() {
                let url = format!("http://{at}/ready");
                while !is_ok(&url).await {
                    assert!(
                        started.elapsed() < START_TIMEOUT,
                        "{at} did not become ready"
                    );
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

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
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

fn settings(vm: &str, domain: &str, domains: &[String], platform: SocketAddr) -> String {
    let any = loopback();
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

fn start_daemon(settings: &str) -> DaemonThread {
    let node = node::load(settings, "site.jsonc").unwrap_or_else(|e| panic!("{e}"));
    let (stop, stopped) = oneshot::channel();
    let (tx, rx) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let log = match std::env::var_os("BRONZETACK_LOG") {
                Some(_) => obs::Log::to_stderr(slog::o!(), true).logger().clone(),
                None => obs::discard(),
            };
            let daemon = Daemon::start(node, log).await.expect("daemon starts");
            let _ = tx.send(daemon.ports());
            let _ = stopped.await;
            daemon.close().await;
        });
    });
    DaemonThread {
        ports: rx.recv().expect("daemon reports its ports"),
        stop,
        thread,
    }
}
