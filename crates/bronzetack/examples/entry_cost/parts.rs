//! The processes of the measurements.
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

/// Requests that the worker serves at once; never the limit here.
const SLOTS: usize = 256;

/// Clock ticks a second in the kernel's process times.
const TICKS: u64 = 100;

/// A process of this program in another role.
pub struct Part {
    child: Child,
    /// Where it listens.
    pub addresses: Vec<SocketAddr>,
}

impl Part {
    /// Starts this program with other arguments and reads its addresses.
    pub fn start(args: &[&str]) -> Part {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut line = String::new();
        let out = child.stdout.take().expect("its output");
        BufReader::new(out).read_line(&mut line).expect("a line");
        let words = line.split_whitespace();
        let addresses = words.map(|word| word.parse().expect("an address"));
        Part {
            addresses: addresses.collect(),
            child,
        }
    }

    /// Processor time used so far.
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
        Duration::from_millis((ticks(11) + ticks(12)) * 1000 / TICKS)
    }

    /// The process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process by closing its input.
    pub fn close(mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

fn wait_for_end() {
    let _ = std::io::stdin().lock().read_line(&mut String::new());
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The platform stand-in, within this process.
pub fn platform() -> Platform {
    Platform::start(local())
}

/// Runs the worker stand-in until the input ends.
pub fn run_worker() {
    let worker = Worker::start(WorkerConfig {
        id: "w0".parse().expect("a worker's id"),
        address: local(),
        slots: SLOTS,
        service_time: Millis::ZERO,
    });
    let worker = worker.expect("a worker stand-in");
    println!("{}", worker.address());
    wait_for_end();
}

/// Runs a daemon until the input ends.
pub fn run_daemon(platform: &str) {
    run_daemon_as("e0", platform);
}

/// Runs a daemon of a VM until the input ends.
pub fn run_daemon_as(vm: &str, platform: &str) {
    let any = local();
    let settings = format!(
        r#"{{ "vm": "{vm}", "domain": "d0",
    "addresses": {{ "callers": "{any}", "operators": "{any}", "peers": "{any}" }},
    "platform": {{ "store": ["http://{platform}"], "vms": "http://{platform}", "calls": 200 }} }}"#
    );
    let node = node::load(&settings, "entry_cost.jsonc").unwrap_or_else(|e| panic!("{e}"));
    actix_rt::System::new().block_on(async {
        let daemon = Daemon::start(node, obs::discard()).await.expect("a daemon");
        let ports = daemon.ports();
        println!("{} {} {}", ports.callers, ports.operators, ports.peers);
        let _ = actix_rt::task::spawn_blocking(wait_for_end).await;
    });
}

/// The platform's list.
pub fn rows(worker: &Part, daemon: &Part) -> Vec<VmRow> {
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

/// The platform's row of a daemon.
pub fn entry_row(i: usize, daemon: &Part) -> VmRow {
    let at = &daemon.addresses;
    VmRow::entry(&format!("e{i}"), "d0", at[0], at[2])
}

/// Waits until a daemon is ready.
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

/// Creates the organisation of the requests.
pub fn add_org(at: SocketAddr) {
    let call = json!({
        "op": "entry-cost", "who": "example",
        "edits": [{ "edit": "add-org", "org": "board" }],
    });
    actix_rt::System::new().block_on(async {
        let url = format!("http://{at}/v1/settings");
        let answer = awc::Client::default().post(url).send_json(&call).await;
        assert!(answer.expect("an answer").status().is_success());
    });
}
