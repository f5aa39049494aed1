//! `tackctl domain`.

use yare::parameterized;

use crate::common::accepted;
use crate::common::play;
use crate::common::Script;

#[parameterized(out = { "out" }, back = { "back" })]
fn a_domain_goes_out_and_back(verb: &str) {
    let (run, calls) = play(
        Script::Answer(200, accepted()),
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
