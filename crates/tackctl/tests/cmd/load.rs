//! `tackctl load`.

use yare::parameterized;

use crate::common::tackctl;
use crate::common::Behaviour;
use crate::common::Call;
use crate::common::FakeDaemon;
use crate::common::Run;

/// Runs `tackctl load` for one second against a fake daemon, at 40 requests per second unless
/// `extra` sets the rate.
fn run_load(behaviour: Behaviour, extra: &[&str]) -> (Run, Vec<Call>) {
    let daemon = FakeDaemon::start(behaviour);
    let to = daemon.at.to_string();
    let mut args = vec![
        "load",
        "--to",
        &to,
        "--service",
        "s",
        "--org",
        "o1",
        "--seconds",
        "1",
    ];
    if !extra.contains(&"--rate") {
        args.extend(["--rate", "40"]);
    }
    args.extend(extra);
    (tackctl(&args), daemon.calls())
}

#[test]
fn every_request_is_sent_once_with_its_headers() {
    let (run, calls) = run_load(
        Behaviour::Outcomes(&["ran"]),
        &["--json", "--non-idempotent", "25"],
    );
    assert_eq!(run.code, 0, "{}", run.err);
    let report = run.json();
    assert_eq!(
        (&report["requests_sent"], &report["requests_ok"]),
        (&40.into(), &40.into())
    );
    assert!(report["p99"].as_f64() >= report["p50"].as_f64());
    let header = |c: &Call, name: &str| {
        let found = c.headers.iter().find(|(k, _)| k == name);
        found.map(|(_, v)| v.clone()).unwrap_or_default()
    };
    let mut ids: Vec<String> = calls.iter().map(|c| header(c, "bt-request-id")).collect();
    ids.sort();
    ids.dedup();
    assert_eq!((calls.len(), ids.len()), (40, 40));
    assert!(calls
        .iter()
        .all(|c| c.line == "POST /v1/requests/s" && header(c, "bt-org") == "o1"));
    assert!(calls
        .iter()
        .all(|c| header(c, "bt-attempt") == "1" && header(c, "bt-deadline-ms") == "2000"));
    let not = calls
        .iter()
        .filter(|c| header(c, "bt-idempotent") == "false");
    assert_eq!(not.count(), 10);
}

#[parameterized(
    not_run = { Behaviour::Outcomes(&["ran", "not-run"]), 1, "not_run", 20 },
    unknown = { Behaviour::Outcomes(&["ran", "not-run", "unknown", "ran"]), 6, "unknown", 10 },
    foreign = { Behaviour::ForeignId, 6, "foreign", 40 },
    missing_header = { Behaviour::Reply(500, serde_json::Value::Null), 6, "unknown", 40 },
)]
fn outcomes_are_counted_and_set_the_exit_code(
    behaviour: Behaviour,
    code: i32,
    field: &str,
    expected: u64,
) {
    let (run, _) = run_load(behaviour, &["--json"]);
    assert_eq!(run.code, code, "{}", run.err);
    assert_eq!(run.json()[field], expected);
}

#[test]
fn a_missing_response_is_unknown() {
    let (run, _) = run_load(
        Behaviour::NoAnswer,
        &["--json", "--rate", "2", "--deadline", "100"],
    );
    assert_eq!((run.code, &run.json()["unknown"]), (6, &2.into()));
}

#[test]
fn an_unreachable_target_is_not_run() {
    let args = [
        "load",
        "--to",
        "127.0.0.1:1",
        "--service",
        "s",
        "--org",
        "o",
        "--rate",
        "5",
        "--seconds",
        "1",
    ];
    let run = tackctl(&args);
    assert_eq!(
        (run.code, run.out.contains("not run          5")),
        (1, true),
        "{}",
        run.out
    );
}

#[parameterized(
    zero_rate = { &["--rate", "0"] }, high_rate = { &["--rate", "100001"] },
    long_run = { &["--seconds", "3601"] }, high_concurrency = { &["--concurrency", "1025"] },
    percentage = { &["--non-idempotent", "101"] },
)]
fn options_out_of_range_are_refused(extra: &[&str]) {
    let mut args = vec![
        "load",
        "--to",
        "127.0.0.1:1",
        "--service",
        "s",
        "--org",
        "o",
    ];
    args.extend(extra);
    let run = tackctl(&args);
    assert_eq!(
        (run.code, run.err.contains("out of range")),
        (2, true),
        "{}",
        run.err
    );
}
