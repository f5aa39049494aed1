//! Daemon configuration: a minimal file, a file with every field, and findings.

use base::Millis;
use base::Rate;
use conf::node;
use yare::parameterized;

const SMALL: &str = r#"{
  // the VM's failure domain
  "domain": "tvm-north",
  "addresses": {
    "callers": "127.0.0.1:7001",
    "operators": "127.0.0.1:7002",
    "peers": "127.0.0.1:7003",
  },
  "platform": { "store": ["http://127.0.0.1:2379/"], "vms": "http://127.0.0.1:2380/list" }
}"#;

fn findings(text: &str) -> Vec<String> {
    let found = node::load(text, "n.jsonc").unwrap_err();
    found.iter().map(|f| f.to_string()).collect()
}

#[test]
fn a_minimal_file_uses_the_defaults() {
    let got = node::load(SMALL, "n.jsonc").unwrap();
    assert_eq!(got.vm, None);
    assert_eq!(got.domain.as_str(), "tvm-north");
    assert_eq!(
        got.platform.store[0].join("/v3/kv/range"),
        "http://127.0.0.1:2379/v3/kv/range"
    );
    assert_eq!(got.platform.vms.to_string(), "http://127.0.0.1:2380/list");
    assert_eq!(got.platform.calls, Rate(20.0));
    assert_eq!(got.timing.lease, Millis(2000));
    assert_eq!((got.service.slots, got.service.connections), (8, 64));
}

#[test]
fn every_field_can_be_set() {
    let more = r#""vm": "vm-1", "peers": ["127.0.0.2:7003"], "log": { "debug": true },
        "service": { "slots": 4, "connections": 16 }, "stop": { "bound": 5000 },
        "timing": { "lease": 1000, "heartbeat": 100, "freshness": 1500, "poll": 500, "task": 2000 },
        "limits": { "body": 2048, "requests": 10 }, "domain""#;
    let got = node::load(&SMALL.replace("\"domain\"", more), "n.jsonc").unwrap();
    assert_eq!(got.vm.unwrap().as_str(), "vm-1");
    assert_eq!(got.peers.len(), 1);
    assert!(got.log.debug);
    assert_eq!((got.service.slots, got.service.connections), (4, 16));
    assert_eq!(got.stop.bound, Millis(5000));
    assert_eq!(
        (got.timing.poll, got.timing.task),
        (Millis(500), Millis(2000))
    );
    assert_eq!((got.limits.body.0, got.limits.requests), (2048, 10));
}

#[test]
fn all_findings_are_reported_with_locations() {
    let text = "{\n \"domain\": 7,\n \"colour\": 1,\n \"addresses\": { \"callers\": \"host:1\" },\n \"timing\": { \"lease\": 1 }\n}";
    let got = findings(text);
    let starts = |s: &str| got.iter().any(|f| f.starts_with(s));
    assert!(
        starts("n.jsonc:2:12: \"domain\" has the wrong type"),
        "{got:#?}"
    );
    assert!(starts("n.jsonc:3:2: unknown field \"colour\""), "{got:#?}");
    assert!(starts("n.jsonc:4:28: \"host:1\" is not valid"), "{got:#?}");
    assert!(
        starts("n.jsonc:5:23: 1 is out of range; write 100 to 60000"),
        "{got:#?}"
    );
    assert!(
        starts("n.jsonc:1:1: \"platform.store\" is missing"),
        "{got:#?}"
    );
}

#[parameterized(
    empty = { "", "n.jsonc:1:1: the file is empty" },
    comment_only = { "// nothing", "n.jsonc:1:1: the file is empty" },
    not_an_object = { "[]", "n.jsonc:1:1: not an object" },
    truncated = { "{\"domain\": \"a\"", "n.jsonc:1:1: unterminated object" },
    duplicate_field = { "{\"domain\": \"a\",\n\"domain\": \"b\"}", "n.jsonc:2:1: \"domain\" is given twice" },
    single_quotes = { "{'domain': 1}", "n.jsonc:1:2: single-quoted" },
    no_gateway = { "{\"platform\": {\"store\": []}}", "n.jsonc:1:24: \"platform.store\" is empty" },
    nested_unknown = { "{\"log\": {\"debugg\": true}}", "n.jsonc:1:10: unknown field \"log.debugg\"" },
    columns_count_characters = { "{/* é */ \"x\": 1}", "n.jsonc:1:10: unknown field \"x\"" },
    bad_list_item = { "{\"peers\": [\"127.0.0.1:1\", 2]}", "n.jsonc:1:27: \"peers\" has the wrong type" },
    negative = { "{\"stop\": {\"bound\": -1}}", "n.jsonc:1:20: \"stop.bound\" has the wrong type" },
)]
fn an_invalid_file_is_a_finding(text: &str, want: &str) {
    let got = findings(text);
    assert!(got.iter().any(|f| f.starts_with(want)), "{got:#?}");
}

#[parameterized(
    same_port = { "127.0.0.1:7002", "127.0.0.1:7001", "127.0.0.1:7001 is used twice" },
    https = { "http://127.0.0.1:2379/", "https://127.0.0.1:2379", "the scheme is not http" },
    host_name = { "http://127.0.0.1:2379/", "http://store:2379", "is not an IP number with a port" },
    query = { "http://127.0.0.1:2379/", "http://127.0.0.1:2379/?a", "is not a plain path" },
    bad_domain = { "tvm-north", "tvm north", "is not a valid failure domain" },
    slow_poll = { "\"domain\"", "\"timing\": {\"poll\": 1500}, \"domain\"", "at most half of timing.freshness" },
)]
fn an_invalid_value_is_the_only_finding(from: &str, to: &str, want: &str) {
    let got = findings(&SMALL.replacen(from, to, 1));
    assert_eq!(got.len(), 1, "{got:#?}");
    assert!(got[0].contains(want), "{got:#?}");
}
