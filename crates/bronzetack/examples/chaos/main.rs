//! Sends requests through daemons that are killed, frozen, woken and replaced, with an outage
//! of the platform in the middle, and compares what callers were told with what the workers
//! recorded. The last line printed is one JSON object; it exits with 0 only if all agrees.

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

/// Time for all daemons to become ready.
const START_MAX: Duration = Duration::from_secs(30);

/// Time after the load in which late work still runs.
const SETTLE: Duration = Duration::from_secs(8);

fn main() -> ExitCode {
    let args = match Args::from_env() {
        Ok(args) => args,
        Err(error) => error.exit(),
    };
    let shape = Shape {
        daemons: args.daemons.unwrap_or(3),
        workers: args.workers.unwrap_or(8),
        program: args.daemon.clone().unwrap_or_else(beside),
    };
    let site = match Site::start(&shape) {
        Ok(site) => site,
        Err(error) => {
            eprintln!(
                "the site does not start ({}): {error}",
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

/// The daemon's program next to the directory of examples.
fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let target = own.parent().and_then(|dir| dir.parent());
    target.map_or_else(PathBuf::new, |dir| dir.join("bronzetack"))
}

async fn run(site: Site, args: &Args) -> Summary {
    let total = args.requests.unwrap_or(200_000);
    let rate = args.rate.unwrap_or(4_000).max(1);
    let seed = args.seed.unwrap_or(1);
    set_up(&site).await;
    let site = Rc::new(RefCell::new(site));
    let done = Rc::new(Cell::new(false));
    let span = Duration::from_micros(total * 1_000_000 / rate);
    let begun = Instant::now();
    let faults = actix_rt::spawn(faults::daemons(site.clone(), seed, done.clone()));
    let outage = actix_rt::spawn(faults::outage(site.clone(), span));
    let told = load::run(site.clone(), total, rate, seed).await;
    let seconds = begun.elapsed().as_secs_f64();
    done.set(true);
    let counts = faults.await.expect("the faults end");
    outage.await.expect("the outage ends");
    actix_rt::time::sleep(SETTLE).await;
    let runs = site.borrow().runs();
    let summary = audit::audit(&told, &runs, counts, seconds);
    if let Ok(site) = Rc::try_unwrap(site) {
        site.into_inner().close();
    }
    summary
}

/// Waits for the daemons and creates the organisation.
async fn set_up(site: &Site) {
    let begun = Instant::now();
    for i in 0..site.len() {
        let url = format!("http://{}/ready", site.callers(i));
        while !is_ok(&url).await {
            assert!(begun.elapsed() < START_MAX, "daemon {i} is not ready");
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
        "no organisation"
    );
}

async fn is_ok(url: &str) -> bool {
    let answer = awc::Client::default().get(url).send().await;
    answer.is_ok_and(|a| a.status().is_success())
}
