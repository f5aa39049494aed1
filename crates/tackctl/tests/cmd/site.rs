//! `tackctl site`.

use serde_json::json;
use serde_json::Value;

use crate::common::run_against;
use crate::common::Behaviour;

fn status(coordinator: Value) -> Value {
    json!({
        "vm": "e0", "domain": "d0", "ready": true, "alarms": ["the store has not answered for 2s"],
        "outage": 2000, "version": 7, "age": 2100, "daemons": 3, "coordinator": coordinator,
    })
}

#[test]
fn status_prints_alarms_before_all_else() {
    let coordinator = json!({
        "epoch": 12, "elected": 60_000, "held": 900,
        "workers": [{"state": "usable", "count": 40}, {"state": "silent", "count": 2}],
        "accels": 320, "free": 17,
        "jobs": [{"by": "org", "name": "o1", "waiting": 4, "running": 9}],
        "guarantees": [{"org": "o1", "accels": 32, "used": 24}],
    });
    let reply = Behaviour::Reply(200, status(coordinator));
    let (run, calls) = run_against(reply, &["site", "status"]);
    assert_eq!(
        (run.code, calls[0].line.as_str()),
        (0, "GET /v1/site/status")
    );
    assert!(run.out.starts_with("alarm: the store"), "{}", run.out);
    for part in [
        "17 of 320 accelerators free",
        "silent   2",
        "org      o1    4        9",
        "o1         32      24",
    ] {
        assert!(run.out.contains(part), "{part}: {}", run.out);
    }
}

#[test]
fn status_of_another_daemon_says_that_it_is_not_the_coordinator() {
    let reply = Behaviour::Reply(200, status(Value::Null));
    let (run, _) = run_against(reply, &["site", "status"]);
    assert_eq!(run.code, 0);
    assert!(run.out.ends_with("not the coordinator\n"), "{}", run.out);
}

#[test]
fn job_prints_why_it_waits_and_what_was_decided() {
    let id = "5c0e7a21d94b36f8";
    let reply = json!({
        "job": id, "phase": "running", "queue": "q", "org": "o1", "priority": 1,
        "age": 4_000, "objective": 9_000,
        "steps": [{"occurrence": 0, "step": 1, "tasks": 4, "done": 1, "open": 1, "ready": true,
            "waiting": 700, "failures": 0}],
        "runs": [{"task": format!("{id}.0.1.2"), "run": 3, "worker": "w7", "phase": "running",
            "percent": 40}],
        "decisions": [{"age": 300, "text": "w3 refused to start run 2"}],
    });
    let args = ["site", "job", id];
    let (run, calls) = run_against(Behaviour::Reply(200, reply), &args);
    let line = format!("GET /v1/site/jobs/{id}");
    assert_eq!((run.code, calls[0].line.as_str()), (0, line.as_str()));
    for part in [
        "waiting for resources for 700ms: 1 of 4 tasks done",
        "w7      running  40%",
        "w3 refused to start run 2",
    ] {
        assert!(run.out.contains(part), "{part}: {}", run.out);
    }
}

#[test]
fn workers_are_filtered_by_state() {
    let worker = |id: &str, state: &str| {
        json!({"worker": id, "domain": "d0", "rack": "r1", "state": state, "heard": 80,
            "accels": 8, "free": 3, "runs": 2, "speed": 63})
    };
    let reply = json!({"workers": [worker("w1", "usable"), worker("w2", "silent")]});
    let args = ["site", "workers", "--state", "silent"];
    let (run, _) = run_against(Behaviour::Reply(200, reply), &args);
    assert_eq!(run.code, 0);
    assert!(run.out.contains("2     63%"), "{}", run.out);
    assert!(
        run.out.contains("w2") && !run.out.contains("w1"),
        "{}",
        run.out
    );
}

/// A daemon that is not the coordinator refuses with the name of the one that is.
#[test]
fn a_refusal_names_the_daemon_to_ask() {
    let reply = json!({"outcome": "not-run", "reason": "e0 is not the coordinator: ask e4",
        "findings": []});
    let args = ["site", "workers"];
    let (run, _) = run_against(Behaviour::Reply(503, reply), &args);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("ask e4"), "{}", run.err);
}
