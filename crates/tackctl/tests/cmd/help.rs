//! `tackctl help` and wrong usage.

use yare::parameterized;

use crate::common::tackctl;

#[parameterized(
    check = { "check" }, domain = { "domain" }, job = { "job" }, load = { "load" }, org = { "org" },
    settings = { "settings" }, shape = { "shape" }, status = { "status" }, worker = { "worker" },
)]
fn every_command_has_a_usage_with_an_example(name: &str) {
    let run = tackctl(&["help", name]);
    assert_eq!(run.code, 0);
    assert!(
        run.out.contains(&format!("Example:\n    tackctl {name} ")),
        "{}",
        run.out
    );
    assert_eq!(tackctl(&[name, "--help"]).out, run.out);
    assert!(tackctl(&["help"]).out.contains(&format!("\n    {name}")));
}

#[parameterized(
    nothing = { &[] }, unknown = { &["fly"] }, no_verb = { &["org"] }, bad_flag = { &["status", "--fast"] },
    bad_address = { &["status", "--at", "here"] }, bad_id = { &["org", "add", "a b"] },
)]
fn wrong_usage_has_exit_code_2(args: &[&str]) {
    let run = tackctl(args);
    assert_eq!((run.code, run.out.as_str()), (2, ""));
    assert!(run.err.contains("Usage: tackctl"), "{}", run.err);
}
