//! Writes of submissions that take effect after a later call about the same job was answered, with real
//! daemon processes.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fakes::fault::Fault;
use serde_json::json;
use serde_json::Value;
use yare::parameterized;

use support::callers::add_org;
use support::callers::get_json;
use support::callers::job;
use support::callers::phase;
use support::callers::post;
use support::eventually;
use support::tasks::await_coordinator;
use support::tasks::started;
use support::Site;

/// Number of calls that outlasts a test.
const ALL_CALLS: u64 = 1_000_000;

/// Time after which a submission without an answer takes effect.
const DELAY: Duration = Duration::from_secs(8);

fn spec() -> Value {
    job("late-1", 1, 8, "run:200", None)
}

/// A site where the job was submitted, without an answer so far, and the time by which that submission
/// has taken effect.
fn submitted_late(name: &str) -> (Site, Instant) {
    let site = Site::start(name, 1, 2, 2);
    add_org(site.daemons[0].ports.operators);
    await_coordinator(&site, "d0");
    let late = Fault::Late(DELAY.as_millis() as u64);
    site.platform.set_fault_for_calls(late, "txn", ALL_CALLS);
    let (status, answer) = post(site.daemons[0].ports.callers, "/v1/jobs", &spec());
    site.platform.set_fault(Fault::Up);
    assert_eq!((status, &answer["outcome"]), (504, &json!("unknown")));
    (site, Instant::now() + DELAY)
}

fn cancel(at: SocketAddr) -> Value {
    let call = json!({ "op": "cancel-1", "who": "test", "jobs": ["late-1"] });
    let (status, answer) = post(at, "/v1/jobs/cancel", &call);
    assert_eq!(status, 200, "{answer}");
    answer
}

fn sleep_until(end: Instant) {
    std::thread::sleep(end.saturating_duration_since(Instant::now()) + Duration::from_secs(2));
}

/// Failure: a caller whose submission had no answer cancelled the job, and the answer was that there was
/// none. The submission then took effect, and the job ran.
#[parameterized(
    same_daemon = { "late-same", 0 },
    another_daemon = { "late-other", 1 },
)]
fn a_job_that_was_missing_when_it_was_cancelled_does_not_start(name: &str, daemon: usize) {
    let (site, late) = submitted_late(name);
    let answer = cancel(site.daemons[daemon].ports.callers);
    assert_eq!(answer["missing"], json!(["late-1"]), "{answer}");
    assert!(Instant::now() < late, "cancelled too late");
    sleep_until(late);
    assert_eq!(started(&site, "late-1"), 0);
    site.close();
}

/// Failure: a job that was submitted again after it was reported as missing was refused, or ran once
/// more by the earlier submission.
#[test]
fn a_job_submitted_after_it_was_missing_runs_once() {
    let (site, late) = submitted_late("late-again");
    let at = site.daemons[1].ports.callers;
    cancel(at);
    assert_eq!(post(at, "/v1/jobs", &spec()).0, 201);
    eventually("the job finishes", || phase(at, "late-1") == "finished");
    sleep_until(late);
    assert_eq!(started(&site, "late-1"), 1);
    site.close();
}

/// Failure: a submission was refused as "not run", and an earlier one of the same job, without an answer
/// so far, then took effect.
#[test]
fn a_refused_job_does_not_start_by_an_earlier_submission() {
    let (site, late) = submitted_late("late-refused");
    let at = site.daemons[0].ports.callers;
    let mut invalid = spec();
    invalid["shape"]["tasks"] = json!(0);
    let (status, answer) = post(at, "/v1/jobs", &invalid);
    assert_eq!((status, &answer["outcome"]), (422, &json!("not-run")));
    assert!(Instant::now() < late, "refused too late");
    sleep_until(late);
    assert_eq!(started(&site, "late-1"), 0);
    assert_eq!(get_json(at, "/v1/jobs/late-1")["outcome"], "not-run");
    site.close();
}
