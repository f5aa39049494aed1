//! What a daemon adds to a request: the same load sent to a worker stand-in directly and
//! through one daemon, each a process of its own. Prints one JSON line a case.

mod load;
mod parts;

use std::time::Duration;

use serde_json::json;

use crate::load::Case;
use crate::load::Path;
use crate::parts::Part;

/// Length of each case.
const LENGTH: Duration = Duration::from_secs(5);

/// Callers that send one request after the other.
const CALLERS: usize = 32;

/// Share of the greatest throughput at which latency is compared.
const HALF: f64 = 0.5;

fn main() {
    let role = std::env::args().nth(1);
    match role.as_deref() {
        Some("worker") => parts::run_worker(),
        Some("daemon") => parts::run_daemon(&std::env::args().nth(2).unwrap_or_default()),
        _ => measure(),
    }
}

fn measure() {
    let platform = parts::platform();
    let worker = Part::start(&["worker"]);
    let daemon = Part::start(&["daemon", &platform.addr().to_string()]);
    platform.set_vms(parts::rows(&worker, &daemon));
    parts::wait_ready(daemon.addresses[0]);
    parts::add_org(daemon.addresses[1]);
    let direct = Path::Direct(worker.addresses[0]);
    run("direct", "closed", direct, None, &worker, &daemon);
    for (name, idempotent) in [("idempotent", true), ("once", false)] {
        let path = Path::Daemon(daemon.addresses[0], idempotent);
        let full = run(name, "closed", path, None, &worker, &daemon);
        let half = Some(full * HALF);
        run(name, "half load", path, half, &worker, &daemon);
        run("direct", "the same rate", direct, half, &worker, &daemon);
    }
    worker.close();
    daemon.close();
    platform.close();
}

/// Runs one case and answers with its requests a second.
fn run(name: &str, mode: &str, path: Path, rate: Option<f64>, worker: &Part, daemon: &Part) -> f64 {
    let before = (worker.cpu(), daemon.cpu());
    let case = Case {
        path,
        rate,
        callers: CALLERS,
        length: LENGTH,
    };
    let told = actix_rt::System::new().block_on(load::run(&case));
    let spent = (worker.cpu() - before.0, daemon.cpu() - before.1);
    let micros = |cpu: Duration| cpu.as_secs_f64() * 1e6 / told.ok.max(1) as f64;
    let line = json!({
        "path": name,
        "mode": mode,
        "requests_a_second": told.rate(LENGTH).round(),
        "failed": told.failed,
        "p50_us": told.micros(0.5),
        "p99_us": told.micros(0.99),
        "worker_cpu_us": micros(spent.0).round(),
        "daemon_cpu_us": micros(spent.1).round(),
    });
    println!("{line}");
    told.rate(LENGTH)
}
