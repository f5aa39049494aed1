//! Configuration of a daemon of the site-wide batch scheduler.

use base::Millis;
use conf::batch::load;
use yare::parameterized;

fn file(bounds: &str) -> String {
    format!(
        r#"// Comments are allowed.
        {{
            "vm": "e0", "domain": "d0",
            "addresses": {{
                "callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
                "operators": "127.0.0.1:3",
            }},
            "store": {{ "address": "127.0.0.1:5" }},
            "bounds": {{ {bounds} }},
        }}"#
    )
}

#[test]
fn durations_and_factors_are_parsed() {
    let text =
        file(r#""max-hold": "10000ms", "stop": "6s", "status": "1.5s", "remote-factor": "2.5""#);
    let settings = load(&text, "f").expect("no findings");
    assert_eq!(settings.bounds.max_hold, Millis(10_000));
    assert_eq!(settings.bounds.stop, Millis(6_000));
    assert_eq!(settings.bounds.status, Millis(1_500));
    assert_eq!(settings.bounds.remote_factor, 3);
    assert_eq!(settings.store.min_ttl, Millis(1_000));
}

#[parameterized(
    not_a_duration = { r#""max-hold": "long""#, "\"long\"" },
    out_of_range = { r#""reclaim": "1ms""#, "out of range" },
    unknown_field = { r#""max-holt": "1s""#, "max-holt" },
    not_a_number = { r#""remote-factor": "x""#, "\"x\"" },
    negative_factor = { r#""remote-factor": "-1""#, "out of range" },
    factor_is_nan = { r#""remote-factor": "NaN""#, "out of range" },
    huge_factor = { r#""remote-factor": "1e30""#, "out of range" },
)]
fn an_invalid_bound_is_a_finding_with_its_location(bounds: &str, part: &str) {
    let found = load(&file(bounds), "f").expect_err("a finding");
    let text = found.to_string();
    assert!(text.contains("f:9:") && text.contains(part), "{text}");
}

#[test]
fn all_findings_are_reported_together() {
    let found = load("{ \"vm\": \"e 0\", \"addresses\": {} }", "f").expect_err("findings");
    assert!(found.len() >= 6, "{found}");
}

#[parameterized(
    none = { "", false },
    empty = { r#""adviser": "", "machines": { "address": "", "reads": "" },"#, false },
    given = { r#""adviser": "127.0.0.1:8", "machines": { "address": "127.0.0.1:9" },"#, true },
)]
fn services_that_may_not_be_deployed_are_optional(more: &str, there: bool) {
    let text = file("").replacen('{', &format!("{{ {more}"), 1);
    let settings = load(&text, "f").expect("no findings");
    assert_eq!(settings.adviser.is_some(), there);
    assert_eq!(settings.machines.address.is_some(), there);
    assert_eq!(settings.machines.reads, 1.0);
}

/// Failure: a rate that is not one was replaced by the default without a word.
#[parameterized(
    negative = { "-1" },
    not_a_number = { "NaN" },
    infinite = { "inf" },
)]
fn an_impossible_rate_of_calls_is_a_finding(rate: &str) {
    for name in ["orders", "reads"] {
        let more = format!(r#""machines": {{ "address": "127.0.0.1:9", "{name}": "{rate}" }},"#);
        let text = file("").replacen('{', &format!("{{ {more}"), 1);
        let found = load(&text, "f").expect_err("a finding").to_string();
        assert!(found.contains("out of range"), "{found}");
    }
}

/// Failure: a rate of 0 was replaced by the default, and calls were made that the service does not take.
#[parameterized(
    orders = { "orders" },
    reads = { "reads" },
)]
fn a_machine_service_that_takes_no_calls_is_not_used(name: &str) {
    let more = format!(r#""machines": {{ "address": "127.0.0.1:9", "{name}": "0" }},"#);
    let text = file("").replacen('{', &format!("{{ {more}"), 1);
    let settings = load(&text, "f").expect("no findings");
    assert_eq!(settings.machines.address, None);
}

#[parameterized(
    absent = { "", Some(1 << 20) },
    empty = { r#""value": "","#, Some(1 << 20) },
    given = { r#""value": "65536","#, Some(65_536) },
    zero = { r#""value": "0","#, None },
)]
fn the_limit_on_values_of_the_store_is_above_zero(field: &str, expected: Option<usize>) {
    let text = file("").replace(r#""address""#, &format!(r#"{field} "address""#));
    let found = load(&text, "f").map(|settings| settings.store.value);
    match expected {
        Some(bytes) => assert_eq!(found.ok(), Some(bytes)),
        None => assert!(found.expect_err("a finding").to_string().contains("range")),
    }
}

/// Failure: a store whose rate of writes is not one was taken for one of the default rate.
#[parameterized(
    absent = { "", Some(400.0) },
    empty = { r#""writes": "","#, Some(400.0) },
    given = { r#""writes": "250","#, Some(250.0) },
    zero = { r#""writes": "0","#, None },
    not_a_number = { r#""writes": "NaN","#, None },
)]
fn the_rate_of_writes_to_the_store_is_above_zero(field: &str, expected: Option<f64>) {
    let text = file("").replace(r#""address""#, &format!(r#"{field} "address""#));
    let found = load(&text, "f").map(|settings| settings.store.writes);
    match expected {
        Some(writes) => assert_eq!(found.ok(), Some(writes)),
        None => assert!(found.expect_err("a finding").to_string().contains("range")),
    }
}

#[test]
fn a_factor_below_one_is_one() {
    let settings = load(&file(r#""remote-factor": "0""#), "f").expect("no findings");
    assert_eq!(settings.bounds.remote_factor, 1);
}
