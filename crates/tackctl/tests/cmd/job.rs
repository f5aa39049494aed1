//! `tackctl job`.

use serde_json::json;
use serde_json::Value;

use crate::common::run_against;
use crate::common::Behaviour;

fn job() -> Value {
    json!({
        "spec": {"id": "j/1", "org": "o1", "kind": "k", "length": 5000, "urgent": true,
            "shape": {"tasks": 2, "accels": 4}},
        "phase": "running", "domain": "d1", "attempt": 1, "reason": "",
        "places": [{"task": 0, "worker": "w1", "first": 4, "count": 4}],
        "submitted": 1, "started": 2, "ended": null, "expected": null,
    })
}

#[test]
fn submit_sends_the_job() {
    let args = [
        "job",
        "submit",
        "j/1",
        "--org",
        "o1",
        "--kind",
        "k",
        "--tasks",
        "2",
        "--accels",
        "4",
        "--length",
        "5s",
        "--urgent",
        "--payload",
        "run",
    ];
    let (run, calls) = run_against(Behaviour::Reply(201, job()), &args);
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(calls[0].line, "POST /v1/jobs");
    let body = &calls[0].body;
    assert_eq!(
        (&body["id"], &body["length"]),
        (&json!("j/1"), &json!(5000))
    );
    assert_eq!(
        (&body["urgent"], &body["checkpoint"]),
        (&json!(true), &json!(false))
    );
    assert_eq!(body["payload"], "run");
    assert!(
        run.out.contains("task 0 on w1, accelerators 4 to 7"),
        "{}",
        run.out
    );
}

#[test]
fn get_requests_one_job() {
    let (run, calls) = run_against(
        Behaviour::Reply(200, job()),
        &["job", "get", "j/1", "--json"],
    );
    assert_eq!(calls[0].line, "GET /v1/jobs/j/1");
    assert_eq!(run.json()["phase"], "running");
}

#[test]
fn list_requests_a_page() {
    let reply = json!({"jobs": [job()], "more": true});
    let args = [
        "job", "list", "--org", "o1", "--phase", "queued", "--limit", "2",
    ];
    let (run, calls) = run_against(Behaviour::Reply(200, reply), &args);
    assert_eq!(calls[0].line, "GET /v1/jobs?limit=2&org=o1&phase=queued");
    assert!(run.out.contains("more with --after"), "{}", run.out);
}

#[test]
fn cancel_sends_all_jobs_in_one_call() {
    let reply = json!({"cancelled": ["a"], "ended": ["b"], "missing": []});
    let (run, calls) = run_against(
        Behaviour::Reply(200, reply),
        &["job", "cancel", "a", "b", "--op", "x"],
    );
    assert_eq!((run.code, calls.len()), (0, 1));
    assert_eq!(
        calls[0].body,
        json!({"op": "x", "who": "ana", "jobs": ["a", "b"]})
    );
}

#[test]
fn cancel_accepts_an_organisation() {
    let reply = json!({"cancelled": ["a"], "ended": [], "missing": []});
    let (run, calls) = run_against(
        Behaviour::Reply(200, reply),
        &["job", "cancel", "--org", "o1"],
    );
    assert_eq!((run.code, &calls[0].body["org"]), (0, &json!("o1")));
}

#[test]
fn cancel_fails_for_missing_jobs_and_without_arguments() {
    let reply = json!({"cancelled": [], "ended": [], "missing": ["a"]});
    assert_eq!(
        run_against(Behaviour::Reply(200, reply), &["job", "cancel", "a"])
            .0
            .code,
        1
    );
    let (run, calls) = run_against(Behaviour::Reply(200, json!({})), &["job", "cancel"]);
    assert_eq!((run.code, calls.len()), (2, 0));
}
