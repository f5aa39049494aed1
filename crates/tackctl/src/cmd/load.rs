//! `tackctl load`: sends requests to callers' ports at a fixed rate and reports latencies.

mod report;
mod sender;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::rc::Rc;

use base::Millis;
use base::OrgId;
use base::Outcome;
use base::ServiceId;

use crate::failure::Failure;
use crate::output;
use crate::parse_args;

use report::Report;
use sender::Plan;

/// Upper bound of `--rate`, in requests per second.
const MAX_RATE: u64 = 100_000;
/// Upper bound of `--seconds`.
const MAX_SECONDS: u64 = 3_600;
/// Upper bound of `--concurrency`.
const MAX_CONCURRENCY: usize = 1_024;
/// Upper bound of `--body`.
const MAX_BODY_BYTES: usize = 1 << 20;

pub const USAGE: &str = "\
Sends requests to callers' ports at a rate and reports outcomes and latencies. A latency
counts from the time at which the request was due, so that a stall shows in full.

Usage: tackctl load --to HOST:PORT --service SERVICE --org ORG [OPTIONS]

    --to HOST:PORT          Callers' port of a daemon; repeat it to spread the load
    --rate N                Requests per second, up to 100000. Default: 100
    --seconds N             Length of the run, up to 3600. Default: 10
    --concurrency N         Limit of requests in progress, up to 1024. Default: 64
    --non-idempotent N      Percentage of non-idempotent requests. Default: 0
    --body BYTES            Size of each body, up to 1048576. Default: 64
    --deadline MS           Deadline of each request. Default: 2000
    --json                  Prints JSON

Each request is sent once. The exit code is 6 if any outcome is unknown or any answer belongs
to another request, otherwise 1 if any request was not run.

Example:
    tackctl load --to 127.0.0.1:7001 --service recovery-ledger --org ledger --rate 500";

xflags::xflags! {
    cmd args {
        repeated --to to: SocketAddr
        required --service service: ServiceId
        required --org org: OrgId
        optional --rate rate: u64
        optional --seconds seconds: u64
        optional --concurrency concurrency: usize
        optional --non-idempotent percent: u64
        optional --body bytes: usize
        optional --deadline deadline: Millis
        optional --json
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let json = args.json;
    let plan = build_plan(args)?;
    let report = actix_rt::System::new().block_on(sender::run(Rc::new(plan)));
    let text = if json {
        let json = serde_json::to_string(&report).unwrap_or_default();
        format!("{json}\n")
    } else {
        report.text()
    };
    let printed = output::print(&text);
    check_outcomes(&report)?;
    printed
}

fn build_plan(args: Args) -> Result<Plan, Failure> {
    if args.to.is_empty() {
        return Err(Failure::Usage(format!("--to is missing\n\n{USAGE}")));
    }
    Ok(Plan {
        targets: args.to,
        service: args.service,
        org: args.org,
        rate: in_range("rate", args.rate.unwrap_or(100), 1, MAX_RATE)?,
        seconds: in_range("seconds", args.seconds.unwrap_or(10), 1, MAX_SECONDS)?,
        concurrency: in_range(
            "concurrency",
            args.concurrency.unwrap_or(64),
            1,
            MAX_CONCURRENCY,
        )?,
        percent: in_range("non-idempotent", args.non_idempotent.unwrap_or(0), 0, 100)?,
        body: vec![b'x'; in_range("body", args.body.unwrap_or(64), 0, MAX_BODY_BYTES)?],
        deadline: args.deadline.unwrap_or(Millis(2000)),
    })
}

fn in_range<T: PartialOrd + std::fmt::Display>(
    name: &str,
    value: T,
    min: T,
    max: T,
) -> Result<T, Failure> {
    if value < min || value > max {
        let text = format!("--{name} {value} is out of range; use {min} to {max}");
        return Err(Failure::Usage(text));
    }
    Ok(value)
}

/// Fails if any request was not run, may have run or got the answer to another request.
fn check_outcomes(report: &Report) -> Result<(), Failure> {
    if report.unknown + report.foreign > 0 {
        let text = format!("{} unknown, {} foreign", report.unknown, report.foreign);
        return Err(Failure::Incomplete(Outcome::Unknown, text));
    }
    if report.not_run > 0 {
        let text = format!("{} requests", report.not_run);
        return Err(Failure::Incomplete(Outcome::NotRun, text));
    }
    Ok(())
}
