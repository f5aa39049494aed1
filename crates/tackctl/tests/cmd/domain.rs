//! `tackctl domain`.

use yare::parameterized;

use crate::common::change_reply;
use crate::common::run_against;
use crate::common::Behaviour;

#[parameterized(out = { "out" }, back = { "back" })]
fn out_and_back_post_to_the_domain(verb: &str) {
    let (run, calls) = run_against(
        Behaviour::Reply(200, change_reply()),
        &["domain", verb, "d/1", "--op", "x"],
    );
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(calls[0].line, format!("POST /v1/domains/d/1/{verb}"));
    assert_eq!(calls[0].body, serde_json::json!({"op": "x", "who": "ana"}));
    assert!(
        run.out.contains("in force: vm-1, vm-2\nnot heard: vm-3"),
        "{}",
        run.out
    );
}
