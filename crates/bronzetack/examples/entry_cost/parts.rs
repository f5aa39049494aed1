//! Child processes and fakes for the benchmarks: this program runs itself again as a daemon or
//! worker.
#![allow(dead_code)]

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use base::Millis;
use bronzetack::Daemon;
use conf::node;
use fakes::platform::Platform;
use fakes::platform_vms::VmRow;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use serde_json::json;

/// Most requests that the worker serves at once; high enough not to limit the throughput.
const SLOTS: usize = 256;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Child process that runs this program as a daemon or worker.
pub struct Process {
    child: Child,
    /// Addresses on which the process listens, as it printed them: of a daemon, the ports of
    /// callers, operators and peers.
    pub addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts this program with these arguments and reads the addresses that it prints.
    pub fn start(args: &[&str]) -> Process {
        let program = std::env::current_exe().expect("path of this program");
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("process starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("standard output is piped");
        BufReader::new(out)
            .read_line(&mut line)
            .expect("process prints its addresses");
        let words = line.split_whitespace();
        let addresses = words.map(|word| word.parse().expect("valid address"));
        Process {
            addresses: addresses.collect(),
            child,
        }
    }

    /// CPU time used so far, in user and kernel mode.
    pub fn cpu(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks = |i: usize| {
            fields
                .get(i)
                .and_then(|f| f.parse::<u64>().ok())
                .unwrap_or(0)
        };
        Duration::from_millis((ticks(11) + ticks(12)) * 1000 / TICKS_PER_SECOND)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Closes the standard input, on which the process exits, and waits for its end.
    pub fn close(mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

fn wait_for_eof() {
    let _ = std::io::stdin().lock().read_line(&mut String::new());
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a fake platform in this process.
pub fn start_platform() -> Platform {
    Platform::start(loopback())
}

/// Runs a fake worker until the standard input is closed.
pub fn run_worker() {
    let worker = Worker::start(WorkerConfig {
        id: "w0".parse().expect("valid worker id"),
        address: loopback(),
        slots: SLOTS,
        service_time: Millis::ZERO,
    });
    let worker = worker.expect("worker starts");
    println!("{}", worker.address());
    wait_for_eof();
}

/// Runs the daemon of VM `e0` until the standard input is closed.
pub fn run_daemon(platform: &str) {
    run_daemon_as("e0", platform);
}

/// Runs the daemon of a VM until the standard input is closed.
pub fn run_daemon_as(vm: &str, platform: &str) {
    let any = loopback();
    let settings = format!(
        r#"{{ "vm": "{vm}", "domain": "d0",
    "addresses": {{ "callers": "{any}", "operators": "{any}", "peers": "{any}" }},
    "platform": {{ "store": ["http://{platform}"], "vms": "http://{platform}", "calls": 200 }} }}"#
    );
    let node = node::load(&settings, "entry_cost.jsonc").unwrap_or_else(|e| panic!("{e}"));
    actix_rt::System::new().block_on(async {
        let daemon = Daemon::start(node, obs::discard())
            .await
            .expect("daemon starts");
        let ports = daemon.ports();
        println!("{} {} {}", ports.callers, ports.operators, ports.peers);
        let _ = actix_rt::task::spawn_blocking(wait_for_eof).await;
    });
}

/// Rows of a worker and a daemon in the platform's list of VMs.
pub fn vm_rows(worker: &Process, daemon: &Process) -> Vec<VmRow> {
    let worker = VmRow {
        id: "w0".to_string(),
        role: "worker".to_string(),
        domain: "d0".to_string(),
        rack: "r0".to_string(),
        address: worker.addresses[0].to_string(),
        state: "live".to_string(),
        accels: 8,
        service: "ledger".to_string(),
        slots: SLOTS as u32,
        connections: SLOTS as u32,
        ..VmRow::default()
    };
    vec![worker, entry_row(0, daemon)]
}

/// Row of daemon `e{i}` in the platform's list of VMs.
pub fn entry_row(i: usize, daemon: &Process) -> VmRow {
    let at = &daemon.addresses;
    VmRow::entry(&format!("e{i}"), "d0", at[0], at[2])
}

/// Waits until a daemon is ready; `at` is its port for callers.
pub fn wait_ready(at: SocketAddr) {
    actix_rt::System::new().block_on(async {
        let url = format!("http://{at}/ready");
        loop {
            let answer = awc::Client::default().get(&url).send().await;
            if answer.is_ok_and(|a| a.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Creates the organisation of the load; `at` is a daemon's port for operators.
pub fn add_org(at: SocketAddr) {
    let call = json!({
        "op": "entry-cost", "who": "example",
        "edits": [{ "edit": "add-org", "org": "board" }],
    });
    actix_rt::System::new().block_on(async {
        let url = format!("http://{at}/v1/settings");
        let answer = awc::Client::default().post(url).send_json(&call).await;
        assert!(answer
            .expect("settings call answered")
            .status()
            .is_success());
    });
}
