//! What a process that panics leaves in its log. Each test runs this program again as a child.

use std::env;
use std::io::Read;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::os::unix::process::ExitStatusExt;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use obs::emit;
use obs::Event;
use obs::Log;
use serde_json::Map;
use serde_json::Value;
use yare::parameterized;

/// Longest wait for the end of a child.
const WAIT: Duration = Duration::from_secs(30);

/// Number of the signal by which a process aborts.
const SIGABRT: i32 = 6;

/// Variable that names the way in which a child panics.
const WAY: &str = "OBS_TEST_PANIC";

/// Entry of a child; nothing to test unless it is one.
#[test]
fn child() {
    let Ok(way) = env::var(WAY) else {
        return;
    };
    let log = Log::to_stderr(slog::o!("vm" => "e0"), false);
    log.log_panics(slog::o!("domain" => "d0"));
    emit(log.logger(), Event::DaemonStarted, "before");
    match way.as_str() {
        "expect" => drop("x".parse::<u8>().expect("not a number")),
        "in a thread" => {
            let spawned = thread::Builder::new().name("worker".to_string());
            let spawned = spawned.spawn(|| panic!("plain text"));
            let _ = spawned.expect("no thread").join();
        }
        "at the same time" => {
            let spawn = |_| thread::spawn(|| panic!("plain text"));
            let threads: Vec<_> = (0..8).map(spawn).collect();
            threads.into_iter().for_each(|t| drop(t.join()));
        }
        other => panic!("unknown way {other}"),
    }
    // A process that goes on after a panic ends without a signal.
}

fn spawn(way: &str, log: Stdio) -> Child {
    let mut command = Command::new(env::current_exe().expect("no program"));
    let command = command.args(["child", "--exact", "--nocapture"]);
    let command = command.env(WAY, way).stdin(Stdio::null());
    let spawned = command.stdout(Stdio::null()).stderr(log).spawn();
    spawned.expect("cannot start the child")
}

fn wait_for_end(child: &mut Child) -> ExitStatus {
    let end = Instant::now() + WAIT;
    loop {
        if let Some(status) = child.try_wait().expect("cannot look at the child") {
            return status;
        }
        if Instant::now() > end {
            let _ = child.kill();
            panic!("the child does not end");
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Lines of the log, each a whole JSON object.
fn lines_of(way: &str) -> Vec<Map<String, Value>> {
    let mut child = spawn(way, Stdio::piped());
    let mut text = String::new();
    let mut log = child.stderr.take().expect("no log");
    log.read_to_string(&mut text).expect("cannot read the log");
    let status = wait_for_end(&mut child);
    assert_eq!(status.signal(), Some(SIGABRT), "{status}");
    let parse = |line| serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
    text.lines().map(parse).collect()
}

/// Failure: the log of a process that ended by a panic did not differ from that of one that was
/// killed, and the text of the panic was not JSON.
#[parameterized(
    on_the_main_thread = { "expect", "not a number: ParseIntError { kind: InvalidDigit }", "child" },
    on_another_thread = { "in a thread", "plain text", "worker" },
)]
fn a_panic_is_the_last_line_of_the_log(way: &str, reason: &str, thread: &str) {
    let lines = lines_of(way);
    assert_eq!(lines.len(), 2, "{lines:?}");
    let line = &lines[1];
    assert_eq!(line["event"], Event::ProcessPanicked.code());
    assert_eq!(line["reason"], reason);
    assert_eq!(line["thread"], thread);
    let place = line["place"].as_str().expect("no place");
    assert!(place.starts_with(file!()), "{place}");
    assert_eq!((&line["vm"], &line["domain"]), (&"e0".into(), &"d0".into()));
}

/// Failure: threads that panic at the same time wait for each other.
#[test]
fn threads_that_panic_at_the_same_time_end_the_process() {
    let lines = lines_of("at the same time");
    let panics = lines.iter().skip(1);
    assert!(lines.len() > 1, "{lines:?}");
    for line in panics {
        assert_eq!(line["event"], Event::ProcessPanicked.code());
    }
}

/// Failure: a process that panics while nobody reads its log does not end.
#[test]
fn a_panic_ends_the_process_while_nobody_reads_the_log() {
    let (mut out, _reader) = UnixStream::pair().expect("cannot make a pair of sockets");
    out.set_nonblocking(true).expect("cannot set the mode");
    while out.write(b"\n").is_ok() {}
    out.set_nonblocking(false).expect("cannot set the mode");
    let mut child = spawn("expect", OwnedFd::from(out).into());
    let status = wait_for_end(&mut child);
    assert_eq!(status.signal(), Some(SIGABRT), "{status}");
}
