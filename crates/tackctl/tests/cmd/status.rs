//! `tackctl status`.

use serde_json::json;

use crate::common::run_against;
use crate::common::Behaviour;

#[test]
fn status_prints_alarms_shortfalls_and_domains() {
    let reply = json!({
        "vm": "vm-1", "domain": "d1", "ready": true, "alarms": ["store is slow"],
        "platform": "slow", "revision": 7, "age": 300, "held": false,
        "coordinators": [{"domain": "d1", "vm": "vm-2", "epoch": 3}],
        "peers": [{"vm": "vm-2", "domain": "d1", "heard": 20, "revision": 7}],
        "domains": [{"domain": "d1", "out": true, "workers": 4, "accels": 32, "free": 8,
            "running": 3, "queued": 1}],
        "short": [{"org": "o1", "domain": "d1", "count": 2, "shape": {"tasks": 4, "accels": 8}}],
    });
    let (run, calls) = run_against(Behaviour::Reply(200, reply), &["status"]);
    assert_eq!((run.code, calls[0].line.as_str()), (0, "GET /v1/status"));
    for part in [
        "alarm: store is slow",
        "short: o1 in d1: 2 copies",
        "d1      out      vm-2",
    ] {
        assert!(run.out.contains(part), "{part}: {}", run.out);
    }
}
