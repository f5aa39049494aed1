//! Example of a small site on the loopback interface: daemons, a fake platform and fake workers
//! serve requests and gang jobs, and an audit compares the reported outcomes with what the workers
//! recorded. The last line printed is a JSON object with the result.

mod args;
mod audit;
mod load;
mod start;

use std::process::ExitCode;
use std::time::Duration;

use serde::Serialize;

use crate::args::Args;
use crate::audit::Audit;
use crate::load::Load;
use crate::load::Results;
use crate::start::Shape;
use crate::start::Site;

/// Result of the run, printed as one JSON object.
#[derive(Debug, Serialize)]
struct Summary {
    requests_sent: u64,
    requests_ok: u64,
    not_run: u64,
    unknown: u64,
    lost: u64,
    doubled: u64,
    jobs_done: u64,
    partial_gangs: u64,
}

fn main() -> ExitCode {
    let args = match Args::from_env() {
        Ok(args) => args,
        Err(error) => error.exit(),
    };
    let shape = Shape {
        domains: args.domains.unwrap_or(2),
        daemons: args.daemons.unwrap_or(1),
        workers: args.workers.unwrap_or(4),
    };
    let site = Site::start(&shape);
    println!(
        "site: {} failure domains, {} daemons, {} workers",
        shape.domains,
        site.callers().len(),
        site.workers().len()
    );
    let load = Load {
        length: Duration::from_secs(args.seconds.unwrap_or(10)),
        rate: args.rate.unwrap_or(400),
        jobs: args.jobs.unwrap_or(20),
    };
    let results = actix_rt::System::new().block_on(load::run(&site, &load));
    let audit = Audit::of(&site, &results);
    site.close();
    report(&results, &audit)
}

fn report(results: &Results, audit: &Audit) -> ExitCode {
    let summary = Summary {
        requests_sent: results.sent(),
        requests_ok: results.ok(),
        not_run: results.not_run(),
        unknown: results.unknown(),
        lost: audit.lost,
        doubled: audit.doubled,
        jobs_done: results.jobs_done,
        partial_gangs: audit.partial,
    };
    println!(
        "requests: {} sent, {} ok",
        summary.requests_sent, summary.requests_ok
    );
    println!(
        "          {} not run, {} unknown",
        summary.not_run, summary.unknown
    );
    println!(
        "latency:  p50 {} us, p99 {} us",
        results.micros(0.5),
        results.micros(0.99)
    );
    println!(
        "jobs:     {} of {} finished",
        summary.jobs_done, results.jobs_sent
    );
    println!(
        "audit:    {} lost, {} doubled",
        summary.lost, summary.doubled
    );
    println!(
        "          {} false not-run, {} foreign",
        audit.false_not_run, results.foreign
    );
    println!("          {} partial gangs", summary.partial_gangs);
    let line = serde_json::to_string(&summary).unwrap_or_default();
    println!("{line}");
    let is_clean = summary.lost == 0 && summary.doubled == 0 && summary.partial_gangs == 0;
    let is_truthful = audit.false_not_run == 0 && results.foreign == 0;
    let is_complete = results.jobs_done == results.jobs_sent;
    if is_clean && is_truthful && is_complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
