//! `tackctl worker`.

use serde_json::json;
use yare::parameterized;

use crate::common::run_against;
use crate::common::Behaviour;

#[parameterized(
    live = { true, false, false, "live" },
    silent = { false, true, true, "silent" },
    leaving = { true, true, true, "leaving" },
    isolated = { true, false, true, "isolated" },
)]
fn list_prints_the_state_of_each_worker(live: bool, leaving: bool, isolated: bool, expected: &str) {
    let reply = json!({"workers": [{"worker": "w1", "domain": "d1", "rack": "r1", "accels": 8,
        "free": 2, "live": live, "leaving": leaving, "isolated": isolated, "requests": 5}]});
    let (run, calls) = run_against(
        Behaviour::Reply(200, reply),
        &["worker", "list", "--domain", "d1"],
    );
    assert_eq!(
        (run.code, calls[0].line.as_str()),
        (0, "GET /v1/workers?domain=d1")
    );
    assert!(run.out.trim_end().ends_with(expected), "{}", run.out);
}
