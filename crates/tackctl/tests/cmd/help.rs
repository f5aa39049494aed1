//! `tackctl help`, and exit code 2 for invalid arguments.

use yare::parameterized;

use crate::common::tackctl;

#[parameterized(
    check = { "check" }, domain = { "domain" }, job = { "job" }, load = { "load" }, org = { "org" },
    settings = { "settings" }, shape = { "shape" }, status = { "status" }, worker = { "worker" },
)]
fn every_command_has_usage_text_with_an_example(name: &str) {
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
    no_command = { &[] }, unknown_command = { &["fly"] },
    no_subcommand = { &["org"] }, bad_flag = { &["status", "--fast"] },
    bad_address = { &["status", "--at", "here"] }, bad_id = { &["org", "add", "a b"] },
)]
fn invalid_arguments_exit_with_code_2(args: &[&str]) {
    let run = tackctl(args);
    assert_eq!((run.code, run.out.as_str()), (2, ""));
    assert!(run.err.contains("Usage: tackctl"), "{}", run.err);
}
