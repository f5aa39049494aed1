//! `tackctl org`.

use serde_json::json;
use yare::parameterized;

use crate::common::accepted;
use crate::common::play;
use crate::common::Script;

#[parameterized(
    add = { &["org", "add", "o1"], json!([{"edit": "add-org", "org": "o1"}]) },
    add_weight = { &["org", "add", "o1", "--weight", "5"], json!([{"edit": "add-org", "org": "o1"},
        {"edit": "set", "at": "org=o1", "key": "weight", "value": 5}]) },
    remove = { &["org", "remove", "o1"], json!([{"edit": "remove-org", "org": "o1"}]) },
)]
fn organisations_are_edits(args: &[&str], want: serde_json::Value) {
    let (run, calls) = play(Script::Answer(200, accepted()), args);
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(calls[0].line, "POST /v1/settings");
    assert_eq!(calls[0].body["edits"], want);
}

#[test]
fn organisations_are_listed() {
    let reply = json!({"revision": 3, "orgs": [{"org": "o1", "weight": 5, "guaranteed": 64}]});
    let (run, calls) = play(Script::Answer(200, reply.clone()), &["org", "list"]);
    assert_eq!((run.code, calls[0].line.as_str()), (0, "GET /v1/orgs"));
    assert!(run.out.contains("o1   5       64"), "{}", run.out);
    let (run, _) = play(
        Script::Answer(200, reply.clone()),
        &["org", "list", "--json"],
    );
    assert_eq!(run.json(), reply);
}
