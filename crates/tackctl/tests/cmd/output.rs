//! Standard output and standard error that cannot be written.

use std::fs::File;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::process::Stdio;

use yare::parameterized;

use crate::common::change_reply;
use crate::common::Behaviour;
use crate::common::FakeDaemon;

/// Output whose reader has closed it.
fn closed() -> Stdio {
    let (out, reader) = UnixStream::pair().expect("cannot make a pair of sockets");
    drop(reader);
    OwnedFd::from(out).into()
}

/// Output to a device without space.
fn full() -> Stdio {
    let file = File::options().write(true).open("/dev/full");
    file.expect("cannot open /dev/full").into()
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_tackctl"))
}

/// Failure: `tackctl` in a pipe whose reader had seen enough ended by a panic, also after a change that
/// had taken effect.
#[parameterized(
    help = { &["help"], 0 }, help_of_a_command = { &["org", "--help"], 0 },
    usage = { &["fly"], 2 }, usage_as_json = { &["fly", "--json"], 2 }, no_command = { &[], 2 },
    unreachable = { &["status", "--at", "127.0.0.1:1"], 5 },
    unreachable_as_json = { &["status", "--json", "--at", "127.0.0.1:1"], 5 },
)]
fn a_closed_output_keeps_the_exit_code(args: &[&str], code: i32) {
    let ran = program().args(args).stdout(closed()).output();
    let ran = ran.expect("cannot run");
    assert_eq!(ran.status.code(), Some(code), "{ran:?}");
    let mut command = program();
    let command = command.args(args).stdout(closed()).stderr(closed());
    let status = command.status().expect("cannot run");
    assert_eq!(status.code(), Some(code));
}

/// Failure: a change that had taken effect was reported by a panic, as its reply could not be printed.
#[parameterized(
    closed_output = { closed, 0 },
    full_device = { full, 7 },
)]
fn a_change_whose_reply_cannot_be_printed_is_done(output: fn() -> Stdio, code: i32) {
    let daemon = FakeDaemon::start(Behaviour::Reply(200, change_reply()));
    let at = daemon.at.to_string();
    let mut command = program();
    let command = command.args(["org", "add", "o1", "--at", &at]);
    let ran = command.stdout(output()).output().expect("cannot run");
    assert_eq!(ran.status.code(), Some(code), "{ran:?}");
    let is_told = String::from_utf8_lossy(&ran.stderr).starts_with("done, but cannot write");
    assert_eq!(is_told, code != 0, "{ran:?}");
    assert_eq!(daemon.calls().len(), 1);
}
