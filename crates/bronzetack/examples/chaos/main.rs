//! Chaos test of the daemon: sends requests through daemons that are killed, frozen and replaced,
//! with an outage of the platform in the middle of the load, and compares the outcomes reported to
//! callers with the runs recorded by the workers. The last line printed is a JSON object with the
//! result; the exit status is 0 only if no violation was found.

mod args;
mod audit;
mod faults;
mod load;
mod site;

use std::cell::Cell;
use std::cell::RefCell;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::args::Args;
use crate::audit::Summary;
use crate::site::Shape;
use crate::site::Site;

/// Longest wait for all daemons to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between the load and the audit, in which late requests can still run.
const SETTLE_TIME: Duration = Duration::from_secs(8);

fn main() -> ExitCode {
    let args = match Args::from_env() {
        Ok(args) => args,
        Err(error) => error.exit(),
    };
    let shape = Shape {
        daemons: args.daemons.unwrap_or(3),
        workers: args.workers.unwrap_or(8),
        program: args.daemon.clone().unwrap_or_else(default_program),
    };
    let site = match Site::start(&shape) {
        Ok(site) => site,
        Err(error) => {
            eprintln!(
                "cannot start the site with {}: {error}",
                shape.program.display()
            );
            return ExitCode::FAILURE;
        }
    };
    let summary = actix_rt::System::new().block_on(run(site, &args));
    println!("{}", serde_json::to_string(&summary).unwrap_or_default());
    match summary.is_clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Path of the daemon program in the target directory, the parent of the directory of examples.
fn default_program() -> PathBuf {
    let example = std::env::current_exe().unwrap_or_default();
    let target = example.parent().and_then(|dir| dir.parent());
    target.map_or_else(PathBuf::new, |dir| dir.join("bronzetack"))
}

async fn run(site: Site, args: &Args) -> Summary {
    let total = args.requests.unwrap_or(200_000);
    let rate = args.rate.unwrap_or(4_000).max(1);
    let seed = args.seed.unwrap_or(1);
    set_up(&site).await;
    let site = Rc::new(RefCell::new(site));
    let done = Rc::new(Cell::new(false));
    let length = Duration::from_micros(total * 1_000_000 / rate);
    let started = Instant::now();
    let faults = actix_rt::spawn(faults::inject_daemon_faults(
        site.clone(),
        seed,
        done.clone(),
    ));
    let outage = actix_rt::spawn(faults::inject_outage(site.clone(), length));
    let results = load::run(site.clone(), total, rate, seed).await;
    let seconds = started.elapsed().as_secs_f64();
    done.set(true);
    let counts = faults.await.expect("daemon faults end");
    outage.await.expect("outage ends");
    actix_rt::time::sleep(SETTLE_TIME).await;
    let runs = site.borrow().runs();
    let summary = audit::audit(&results, &runs, counts, seconds);
    if let Ok(site) = Rc::try_unwrap(site) {
        site.into_inner().close();
    }
    summary
}

/// Waits until the daemons are ready and creates the organisation of the load.
async fn set_up(site: &Site) {
    let started = Instant::now();
    for i in 0..site.len() {
        let url = format!("http://{}/ready", site.callers(i));
        while !is_ok(&url).await {
            assert!(
                started.elapsed() < START_TIMEOUT,
                "daemon {i} did not become ready"
            );
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let call = json!({
        "op": "org", "who": "example", "edits": [{ "edit": "add-org", "org": "board" }],
    });
    let url = format!("http://{}/v1/settings", site.operators(0));
    let sent = awc::Client::default().post(url).send_json(&call).await;
    assert!(
        sent.is_ok_and(|a| a.status().is_success()),
        "creating the organisation failed"
    );
}

async fn is_ok(url: &str) -> bool {
    let answer = awc::Client::default().get(url).send().await;
    answer.is_ok_and(|a| a.status().is_success())
}
