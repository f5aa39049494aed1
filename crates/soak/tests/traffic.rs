//! Tests of traffic files.

use std::path::Path;
use std::path::PathBuf;

use soak::Plan;
use soak::Traffic;
use yare::parameterized;

const SMALL: &str = include_str!("../traffic/small.json");

#[parameterized(
    short = { include_str!("../traffic/short.json"), 4, 16 },
    small = { SMALL, 8, 48 },
    grown = { include_str!("../traffic/grown.json"), 29, 350 },
    large = { include_str!("../traffic/large.json"), 147, 1_100 },
)]
fn files_have_the_size_that_they_say(text: &str, daemons: usize, workers: usize) {
    let traffic = Traffic::parse(text).expect("a valid file");
    assert_eq!(traffic.daemon_count(), daemons);
    assert_eq!(traffic.worker_count(), workers);
}

#[test]
fn a_scaled_traffic_keeps_a_daemon_of_each_class() {
    let traffic = Traffic::parse(SMALL).expect("a valid file").scaled(0.25);
    assert_eq!((traffic.daemon_count(), traffic.worker_count()), (2, 12));
    assert_eq!(traffic.scaled(0.01).daemon_count(), 1);
}

#[parameterized(
    unknown_field = { "\"domains\": 4", "\"domain\": 4", "domain" },
    no_domain = { "\"domains\": 4", "\"domains\": 0", "\"domains\" is empty or zero" },
    unknown_disruption = { "store-slow", "store-fast", "store-fast" },
    no_accelerators = { "[1]", "[]", "kind bulk: \"accels\" is empty" },
)]
fn what_is_wrong_with_a_file_is_told(old: &str, new: &str, told: &str) {
    let text = SMALL.replacen(old, new, 1);
    assert_ne!(text, SMALL);
    let error = Traffic::parse(&text).expect_err("the file is not valid");
    assert!(error.contains(told), "{error}");
}

/// Guards against two plays of one seed and process that write over each other's settings and logs.
#[test]
fn a_play_of_traffic_has_a_directory_of_its_own() {
    let plan = Plan::new(1, PathBuf::from("bronzetack"), Path::new("logs"));
    let traffic = Traffic::parse(SMALL).expect("a valid file");
    assert_ne!(plan.clone().with_traffic(traffic).dir, plan.dir);
}
