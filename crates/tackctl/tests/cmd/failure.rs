//! Exit codes by kind of failure, and which daemon is asked next.

use std::net::TcpListener;

use serde_json::json;
use serde_json::Value;
use yare::parameterized;

use crate::common::accepted;
use crate::common::play;
use crate::common::tackctl;
use crate::common::Daemon;
use crate::common::Script;

fn refusal(outcome: &str) -> Value {
    json!({"outcome": outcome, "reason": "busy", "retry": 1500})
}

fn conflict() -> Value {
    json!({"outcome": "not-run", "reason": "another change came first", "conflict": {
        "revision": 9, "records": [{"op": "y", "who": "bo", "when": 5, "revision": 9,
            "items": [{"at": "domain=d1", "key": "out", "old": null, "new": true}]}]}})
}

fn findings() -> Value {
    json!({"outcome": "not-run", "reason": "the change has findings",
        "findings": [{"place": "edits[0]", "problem": "no such key", "remedy": "use another"}]})
}

#[parameterized(
    refused = { 503, refusal("not-run"), 1, "not run: busy\n  come back in 1500ms" },
    missing = { 404, refusal("not-run"), 1, "not run: busy" },
    bad_input = { 422, findings(), 3, "edits[0]: no such key; use another" },
    raced = { 409, conflict(), 4, "bo   domain=d1  out" },
    unknown = { 504, refusal("unknown"), 6, "unknown: busy" },
    not_the_daemon = { 502, json!("bad gateway"), 6, "unknown: status 502" },
    not_the_daemon_refuses = { 403, json!("forbidden"), 1, "not run: status 403" },
    malformed = { 200, json!({"a": 1}), 6, "the answer is malformed" },
)]
fn each_kind_of_failure_has_its_exit_code(status: u16, body: Value, code: i32, want: &str) {
    let (run, _) = play(
        Script::Answer(status, body),
        &["domain", "out", "d1", "--op", "x"],
    );
    assert_eq!((run.code, run.out.as_str()), (code, ""));
    assert!(run.err.contains(want), "{}", run.err);
    assert_eq!(
        run.err.contains("repeat with --op x"),
        code == 6,
        "{}",
        run.err
    );
}

#[parameterized(
    refused = { 503, refusal("not-run"), "not-run" },
    raced = { 409, conflict(), "not-run" },
    unknown = { 504, refusal("unknown"), "unknown" },
)]
fn a_failure_is_json_when_asked_for(status: u16, body: Value, outcome: &str) {
    let (run, _) = play(
        Script::Answer(status, body.clone()),
        &["domain", "out", "d1", "--json"],
    );
    assert_eq!(run.json()["outcome"], outcome);
    assert_eq!(run.json()["conflict"], body["conflict"]);
}

#[test]
fn a_daemon_that_is_not_there_is_passed_over() {
    let daemon = Daemon::start(Script::Answer(200, accepted()));
    let at = daemon.at.to_string();
    let run = tackctl(&["domain", "out", "d1", "--at", "127.0.0.1:1", "--at", &at]);
    assert_eq!((run.code, daemon.calls().len()), (0, 1), "{}", run.err);
}

#[test]
fn nobody_there_is_exit_code_5() {
    let run = tackctl(&["domain", "out", "d1", "--at", "127.0.0.1:1"]);
    assert_eq!(run.code, 5);
    assert!(run.err.starts_with("not run: 127.0.0.1:1:"), "{}", run.err);
}

#[test]
fn a_change_goes_to_the_next_daemon_under_the_same_operation() {
    let first = Daemon::start(Script::Silent);
    let second = Daemon::start(Script::Answer(200, accepted()));
    let (a, b) = (first.at.to_string(), second.at.to_string());
    let run = tackctl(&[
        "org",
        "add",
        "o1",
        "--at",
        &a,
        "--at",
        &b,
        "--timeout",
        "300",
    ]);
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(first.calls()[0].body, second.calls()[0].body);
    assert!(first.calls()[0].body["op"].is_string());
}

#[test]
fn after_silence_a_refusal_elsewhere_leaves_the_outcome_unknown() {
    let first = Daemon::start(Script::Silent);
    let second = Daemon::start(Script::Answer(503, refusal("not-run")));
    let (a, b) = (first.at.to_string(), second.at.to_string());
    let run = tackctl(&[
        "org",
        "add",
        "o1",
        "--at",
        &a,
        "--at",
        &b,
        "--timeout",
        "300",
    ]);
    assert_eq!(run.code, 6, "{}", run.err);
}

#[test]
fn silence_of_all_is_unknown_for_a_change_and_unreachable_for_a_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let change = tackctl(&["org", "add", "o1", "--at", &at, "--timeout", "300"]);
    let read = tackctl(&["status", "--at", &at, "--timeout", "300"]);
    assert_eq!((change.code, read.code), (6, 5));
}
