//! Benchmark of the cost that a daemon adds to a request: sends the same load to a fake worker
//! directly and through one daemon, each in a process of its own. Prints one line of JSON for each
//! case.

mod load;
mod parts;

use std::time::Duration;

use serde_json::json;

use crate::load::Case;
use crate::load::Route;
use crate::parts::Process;

/// Duration of each case.
const CASE_LENGTH: Duration = Duration::from_secs(5);

/// Callers of a closed loop; each sends its next request after the answer to the last.
const CALLERS: usize = 32;

/// Share of the closed loop's throughput at which latencies are compared.
const HALF_LOAD: f64 = 0.5;

fn main() {
    let role = std::env::args().nth(1);
    match role.as_deref() {
        Some("worker") => parts::run_worker(),
        Some("daemon") => parts::run_daemon(&std::env::args().nth(2).unwrap_or_default()),
        _ => measure(),
    }
}

fn measure() {
    let platform = parts::start_platform();
    let worker = Process::start(&["worker"]);
    let daemon = Process::start(&["daemon", &platform.addr().to_string()]);
    platform.set_vms(parts::vm_rows(&worker, &daemon));
    parts::wait_ready(daemon.addresses[0]);
    parts::add_org(daemon.addresses[1]);
    let direct = Route::Direct(worker.addresses[0]);
    run("direct", "closed", direct, None, &worker, &daemon);
    for (name, idempotent) in [("idempotent", true), ("once", false)] {
        let path = Route::Daemon(daemon.addresses[0], idempotent);
        let full = run(name, "closed", path, None, &worker, &daemon);
        let half = Some(full * HALF_LOAD);
        run(name, "half load", path, half, &worker, &daemon);
        run("direct", "the same rate", direct, half, &worker, &daemon);
    }
    worker.close();
    daemon.close();
    platform.close();
}

/// Runs and prints one case. Returns its throughput in requests per second.
fn run(
    name: &str,
    mode: &str,
    path: Route,
    rate: Option<f64>,
    worker: &Process,
    daemon: &Process,
) -> f64 {
    let before = (worker.cpu(), daemon.cpu());
    let case = Case {
        path,
        rate,
        callers: CALLERS,
        length: CASE_LENGTH,
    };
    let results = actix_rt::System::new().block_on(load::run(&case));
    let spent = (worker.cpu() - before.0, daemon.cpu() - before.1);
    let micros = |cpu: Duration| cpu.as_secs_f64() * 1e6 / results.ok.max(1) as f64;
    let line = json!({
        "path": name,
        "mode": mode,
        "requests_a_second": results.rate(CASE_LENGTH).round(),
        "failed": results.failed,
        "p50_us": results.micros(0.5),
        "p99_us": results.micros(0.99),
        "worker_cpu_us": micros(spent.0).round(),
        "daemon_cpu_us": micros(spent.1).round(),
    });
    println!("{line}");
    results.rate(CASE_LENGTH)
}
