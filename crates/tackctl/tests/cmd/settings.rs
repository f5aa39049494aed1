//! `tackctl settings`.

use serde_json::json;
use serde_json::Value;
use yare::parameterized;

use crate::common::change_reply;
use crate::common::run_against;
use crate::common::Behaviour;

#[parameterized(
    word = { &["settings", "set", "on-out", "finish", "--place", "org=o1,domain=d1"],
        json!({"edit": "set", "at": "org=o1,domain=d1", "key": "on-out", "value": "finish"}) },
    number = { &["settings", "set", "weight", "5"],
        json!({"edit": "set", "at": "site", "key": "weight", "value": 5}) },
    unset = { &["settings", "unset", "out", "--place", "domain=d1"],
        json!({"edit": "unset", "at": "domain=d1", "key": "out"}) },
)]
fn set_and_unset_send_edits(args: &[&str], expected: Value) {
    let mut all = args.to_vec();
    all.extend(["--expect", "7", "--op", "x", "--who", "bo"]);
    let (run, calls) = run_against(Behaviour::Reply(200, change_reply()), &all);
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(calls[0].line, "POST /v1/settings");
    assert_eq!(
        calls[0].body,
        json!({"op": "x", "who": "bo", "expect": 7, "edits": [expected]})
    );
}

#[test]
fn get_requests_one_place_and_key() {
    let reply = json!({"revision": 7, "age": 12, "settings": [
        {"key": "on-out", "value": "finish", "from": "org=o1"}]});
    let args = [
        "settings",
        "get",
        "on-out",
        "--place",
        "org=o1,domain=d1,kind=k",
    ];
    let (run, calls) = run_against(Behaviour::Reply(200, reply), &args);
    assert_eq!(
        calls[0].line,
        "GET /v1/settings?at=org%3Do1%2Cdomain%3Dd1%2Ckind%3Dk&key=on-out"
    );
    assert!(run.out.contains("on-out   finish  org=o1"), "{}", run.out);
}

#[test]
fn explain_marks_the_place_in_force() {
    let link = |at: Value, value: Value, used: bool| json!({"at": at, "allowed": true, "value": value, "used": used});
    let reply = json!({"revision": 7, "key": "on-out", "value": "finish", "chain": [
        link(json!("org=o1,domain=d1"), Value::Null, false),
        link(json!("org=o1"), json!("finish"), true),
        link(Value::Null, json!("move"), false)]});
    let args = [
        "settings",
        "explain",
        "on-out",
        "--place",
        "org=o1,domain=d1",
    ];
    let (run, calls) = run_against(Behaviour::Reply(200, reply), &args);
    assert!(calls[0].line.starts_with("GET /v1/settings/explain?at="));
    assert!(
        run.out.contains("org=o1,domain=d1  inherited"),
        "{}",
        run.out
    );
    assert!(
        run.out.contains("org=o1            finish     in force"),
        "{}",
        run.out
    );
}

#[test]
fn history_prints_old_and_new_values() {
    let reply = json!({"revision": 7, "records": [{"op": "x", "who": "bo", "when": 5, "revision": 7,
        "items": [{"at": "domain=d1", "key": "out", "old": null, "new": true}]}]});
    let (run, calls) = run_against(
        Behaviour::Reply(200, reply),
        &["settings", "history", "--limit", "3"],
    );
    assert_eq!(calls[0].line, "GET /v1/settings/history?limit=3");
    assert!(
        run.out.contains("bo   domain=d1  out      -    true  x"),
        "{}",
        run.out
    );
}

#[test]
fn an_unknown_key_is_a_usage_error() {
    let (run, calls) = run_against(
        Behaviour::Reply(200, json!({})),
        &["settings", "get", "colour"],
    );
    assert_eq!((run.code, calls.len()), (2, 0));
}
