//! Exit codes and messages of failures, and fallback to the next daemon.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;
use yare::parameterized;

use crate::common::change_reply;
use crate::common::run_against;
use crate::common::tackctl;
use crate::common::Behaviour;
use crate::common::FakeDaemon;

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
    not_found = { 404, refusal("not-run"), 1, "not run: busy" },
    invalid_input = { 422, findings(), 3, "edits[0]: no such key; use another" },
    conflicting_change = { 409, conflict(), 4, "bo   domain=d1  out" },
    unknown = { 504, refusal("unknown"), 6, "unknown: busy" },
    proxy_error = { 502, json!("bad gateway"), 6, "unknown: status 502" },
    proxy_refusal = { 403, json!("forbidden"), 1, "not run: status 403" },
    malformed_reply = { 200, json!({"a": 1}), 6, "the answer is malformed" },
)]
fn exit_code_and_message_match_the_failure(status: u16, body: Value, code: i32, expected: &str) {
    let (run, _) = run_against(
        Behaviour::Reply(status, body),
        &["domain", "out", "d1", "--op", "x"],
    );
    assert_eq!((run.code, run.out.as_str()), (code, ""));
    assert!(run.err.contains(expected), "{}", run.err);
    assert_eq!(
        run.err.contains("repeat with --op x"),
        code == 6,
        "{}",
        run.err
    );
}

#[parameterized(
    refused = { 503, refusal("not-run"), "not-run" },
    conflicting_change = { 409, conflict(), "not-run" },
    unknown = { 504, refusal("unknown"), "unknown" },
)]
fn json_flag_prints_the_refusal_as_json(status: u16, body: Value, outcome: &str) {
    let (run, _) = run_against(
        Behaviour::Reply(status, body.clone()),
        &["domain", "out", "d1", "--json"],
    );
    assert_eq!(run.json()["outcome"], outcome);
    assert_eq!(run.json()["conflict"], body["conflict"]);
}

#[test]
fn an_unreachable_daemon_is_skipped() {
    let daemon = FakeDaemon::start(Behaviour::Reply(200, change_reply()));
    let at = daemon.at.to_string();
    let run = tackctl(&["domain", "out", "d1", "--at", "127.0.0.1:1", "--at", &at]);
    assert_eq!((run.code, daemon.calls().len()), (0, 1), "{}", run.err);
}

#[test]
fn exit_code_is_5_if_no_daemon_is_reachable() {
    let run = tackctl(&["domain", "out", "d1", "--at", "127.0.0.1:1"]);
    assert_eq!(run.code, 5);
    assert!(run.err.starts_with("not run: 127.0.0.1:1:"), "{}", run.err);
}

#[test]
fn a_change_is_repeated_at_the_next_daemon_with_the_same_operation_id() {
    let first = FakeDaemon::start(Behaviour::NoAnswer);
    let second = FakeDaemon::start(Behaviour::Reply(200, change_reply()));
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

/// The first daemon may have executed the change although it never responded, so a refusal by the
/// second one does not prove that the change was not run.
#[test]
fn a_refusal_after_a_timeout_leaves_the_outcome_unknown() {
    let first = FakeDaemon::start(Behaviour::NoAnswer);
    let second = FakeDaemon::start(Behaviour::Reply(503, refusal("not-run")));
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

/// The listener accepts connections and never responds, so a change may have been received. A read
/// changes nothing, so its failure is only "unreachable".
#[test]
fn a_timeout_is_unknown_for_a_change_and_unreachable_for_a_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let change = tackctl(&["org", "add", "o1", "--at", &at, "--timeout", "300"]);
    let read = tackctl(&["status", "--at", &at, "--timeout", "300"]);
    assert_eq!((change.code, read.code), (6, 5));
}

/// Failure: a daemon read a change and its connection ended in place of the answer. The operator was told
/// that the change had not been run.
#[test]
fn a_change_whose_connection_ended_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let quiet = Duration::from_millis(100);
            stream.set_read_timeout(Some(quiet)).unwrap();
            while stream.read(&mut [0; 4096]).is_ok_and(|len| len > 0) {}
        }
    });
    let change = tackctl(&["org", "add", "o1", "--at", &at]);
    assert_eq!(change.code, 6, "{}", change.err);
}
