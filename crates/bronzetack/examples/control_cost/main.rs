//! Benchmark of the daemons' control plane without requests: CPU time, memory and calls to the
//! platform, by the number of daemons and of running tasks. Prints one line of JSON for each case.

#[path = "../entry_cost/parts.rs"]
mod parts;

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use base::Millis;
use fakes::platform::Platform;
use fakes::platform_vms::VmRow;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use serde_json::json;

use crate::parts::Process;

/// Workers, all in one failure domain.
const WORKERS: usize = 24;

/// Accelerators of a worker; under load, each runs one task.
const ACCELS: u32 = 8;

/// Time for the site to settle before a case is measured.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Duration of each measurement.
const CASE_LENGTH: Duration = Duration::from_secs(10);

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("worker") => parts::run_worker(),
        Some("daemon") => {
            let mut args = std::env::args().skip(2);
            let platform = args.next().unwrap_or_default();
            parts::run_daemon_as(&args.next().unwrap_or_default(), &platform);
        }
        _ => [2, 4, 8].into_iter().for_each(measure),
    }
}

fn measure(daemons: usize) {
    let platform = parts::start_platform();
    let workers: Vec<Worker> = (0..WORKERS).map(start_worker).collect();
    let at = platform.addr().to_string();
    let start = |i: usize| Process::start(&["daemon", &at, &format!("e{i}")]);
    let processes: Vec<Process> = (0..daemons).map(start).collect();
    let entries = processes
        .iter()
        .enumerate()
        .map(|(i, process)| parts::entry_row(i, process));
    let rows = workers
        .iter()
        .map(|w| VmRow::worker(w, "d0", "r0"))
        .chain(entries)
        .collect();
    platform.set_vms(rows);
    processes
        .iter()
        .for_each(|process| parts::wait_ready(process.addresses[0]));
    parts::add_org(processes[0].addresses[1]);
    measure_case(&platform, &processes, 0);
    submit_tasks(processes[0].addresses[0]);
    measure_case(&platform, &processes, WORKERS as u32 * ACCELS);
    processes.into_iter().for_each(Process::close);
    workers.into_iter().for_each(Worker::close);
    platform.close();
}

fn measure_case(platform: &Platform, daemons: &[Process], tasks: u32) {
    std::thread::sleep(SETTLE_TIME);
    let before: Vec<Duration> = daemons.iter().map(Process::cpu).collect();
    let calls = calls(platform);
    std::thread::sleep(CASE_LENGTH);
    let spent = daemons.iter().zip(before).map(|(d, b)| d.cpu() - b);
    let mut share: Vec<f64> = spent
        .map(|s| s.as_secs_f64() / CASE_LENGTH.as_secs_f64())
        .collect();
    share.sort_by(f64::total_cmp);
    let percent = |x: f64| (x * 10_000.0).round() / 100.0;
    let memory = daemons.iter().map(Process::memory).max().unwrap_or(0);
    let line = json!({
        "daemons": daemons.len(),
        "tasks": tasks,
        "cpu_percent_median": percent(share[share.len() / 2]),
        "cpu_percent_coordinator": percent(share[share.len() - 1]),
        "memory_mb_max": memory >> 20,
        "platform_calls_a_second": (self::calls(platform) - calls) as f64 / CASE_LENGTH.as_secs_f64(),
    });
    println!("{line}");
}

fn calls(platform: &Platform) -> u64 {
    let calls = platform.calls();
    let kinds = [
        "range",
        "put",
        "deleterange",
        "txn",
        "grant",
        "revoke",
        "keepalive",
        "watch",
    ];
    kinds.iter().map(|kind| calls.total(kind)).sum()
}

impl Process {
    /// Resident memory in bytes.
    fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let mut lines = status.lines().filter_map(|l| l.strip_prefix("VmRSS:"));
        let words = lines.next().unwrap_or_default();
        let kilobytes = words.split_whitespace().next().and_then(|w| w.parse().ok());
        kilobytes.unwrap_or(0u64) << 10
    }
}

fn start_worker(i: usize) -> Worker {
    let config = WorkerConfig {
        id: format!("w{i}").parse().expect("valid worker id"),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        slots: 8,
        service_time: Millis::ZERO,
    };
    Worker::start(config).expect("worker starts")
}

/// Submits jobs that occupy every accelerator with one long task.
fn submit_tasks(at: SocketAddr) {
    actix_rt::System::new().block_on(async {
        for i in 0..WORKERS {
            let spec = json!({
                "id": format!("long-{i}"), "org": "board", "kind": "long",
                "shape": { "tasks": ACCELS, "accels": 1 },
                "length": 600_000, "idempotent": true, "payload": "run:600000",
            });
            let url = format!("http://{at}/v1/jobs");
            let answer = awc::Client::default().post(url).send_json(&spec).await;
            assert_eq!(answer.expect("job submission answered").status(), 201);
        }
    });
}
