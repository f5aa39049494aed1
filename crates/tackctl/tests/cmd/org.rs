//! `tackctl org`.

use serde_json::json;
use yare::parameterized;

use crate::common::change_reply;
use crate::common::run_against;
use crate::common::Behaviour;

#[parameterized(
    add = { &["org", "add", "o1"], json!([{"edit": "add-org", "org": "o1"}]) },
    add_weight = { &["org", "add", "o1", "--weight", "5"], json!([{"edit": "add-org", "org": "o1"},
        {"edit": "set", "at": "org=o1", "key": "weight", "value": 5}]) },
    remove = { &["org", "remove", "o1"], json!([{"edit": "remove-org", "org": "o1"}]) },
)]
fn add_and_remove_send_edits(args: &[&str], expected: serde_json::Value) {
    let (run, calls) = run_against(Behaviour::Reply(200, change_reply()), args);
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(calls[0].line, "POST /v1/settings");
    assert_eq!(calls[0].body["edits"], expected);
}

#[test]
fn list_prints_organisations() {
    let reply = json!({"revision": 3, "orgs": [{"org": "o1", "weight": 5, "guaranteed": 64}]});
    let (run, calls) = run_against(Behaviour::Reply(200, reply.clone()), &["org", "list"]);
    assert_eq!((run.code, calls[0].line.as_str()), (0, "GET /v1/orgs"));
    assert!(run.out.contains("o1   5       64"), "{}", run.out);
    let (run, _) = run_against(
        Behaviour::Reply(200, reply.clone()),
        &["org", "list", "--json"],
    );
    assert_eq!(run.json(), reply);
}
