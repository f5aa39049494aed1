//! `tackctl shape`.

use serde_json::json;
use yare::parameterized;

use crate::common::change_reply;
use crate::common::run_against;
use crate::common::Behaviour;

#[parameterized(add = { "add", "add-shape" }, remove = { "remove", "remove-shape" })]
fn add_and_remove_send_edits(verb: &str, edit: &str) {
    let args = [
        "shape", verb, "o1", "d1", "--tasks", "4", "--accels", "8", "--spread", "rack", "--count",
        "2",
    ];
    let (run, calls) = run_against(Behaviour::Reply(200, change_reply()), &args);
    assert_eq!(run.code, 0, "{}", run.err);
    let shape = json!({"tasks": 4, "accels": 8, "cores": 0, "memory": 0, "spread": "rack"});
    let expected = json!([{"edit": edit, "org": "o1", "domain": "d1", "shape": shape, "count": 2}]);
    assert_eq!(calls[0].body["edits"], expected);
}

#[test]
fn list_filters_by_organisation() {
    let reply = json!({"revision": 3, "shapes": [{"org": "o1", "domain": "d1", "count": 2,
        "shape": {"tasks": 4, "accels": 8}}]});
    let (run, calls) = run_against(
        Behaviour::Reply(200, reply),
        &["shape", "list", "--org", "o1"],
    );
    assert_eq!(
        (run.code, calls[0].line.as_str()),
        (0, "GET /v1/shapes?org=o1")
    );
    assert!(
        run.out.contains("o1   d1      2      4      8"),
        "{}",
        run.out
    );
}

#[parameterized(
    no_tasks = { &["shape", "add", "o1", "d1", "--accels", "8"] },
    bad_spread = { &["shape", "add", "o1", "d1", "--tasks", "1", "--accels", "8", "--spread", "x"] },
)]
fn an_invalid_shape_is_a_usage_error(args: &[&str]) {
    let (run, calls) = run_against(Behaviour::Reply(200, change_reply()), args);
    assert_eq!((run.code, calls.len()), (2, 0));
}
