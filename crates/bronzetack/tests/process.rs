//! Daemons as processes of their own: what they do when their output cannot be written.

mod process_kit;

use std::fs;
use std::fs::File;
use std::future::pending;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc::channel;
use std::thread;

use nix::sys::signal::Signal;
use platform_fakes::FakeStore;
use serde_json::Map;
use serde_json::Value;
use yare::parameterized;

use process_kit::Process;
use process_kit::Program;

/// Metric that counts log lines that were not written.
const DROPPED: &str = "bronzetack_log_lines_dropped_total";

/// Limits on the descriptors of a process, from too few for its first port to enough to listen.
const FEW_DESCRIPTORS: RangeInclusive<u32> = 9..=25;

/// Limits on the descriptors of a process, from enough to listen to enough to hold the lock.
const FEW_FOR_THE_LOCK: RangeInclusive<u32> = 26..=36;

/// Limit on the descriptors of a process, and connections to one of its ports that exceed it. The
/// kernel holds those that the process has not accepted.
const DESCRIPTORS: u32 = 100;
const MANY_CONNECTIONS: usize = 150;

/// Numbers of log events.
const DAEMON_STOPPED: u64 = 103;
const SERVICE_FAILED: u64 = 105;
const PANICKED: u64 = 107;
const PORTS_NOT_PRINTED: u64 = 109;
const SETTINGS_REFUSED: u64 = 401;
const STORE_UNREACHABLE: u64 = 200;
const ELECTED: u64 = 600;
const LOCK_LOST: u64 = 601;
const CALL_ANSWERED: u64 = 640;

/// Calls that a test makes, each of which is logged.
const CALLS: usize = 50;

/// Asserts that each line is a whole JSON object, and returns them.
fn parse_lines(text: &str) -> Vec<Map<String, Value>> {
    let parse = |line: &str| {
        serde_json::from_str(line).unwrap_or_else(|e| panic!("torn log line: {e}: {line}"))
    };
    text.lines().filter(|l| !l.is_empty()).map(parse).collect()
}

fn read_all(mut from: impl Read) -> String {
    let mut text = String::new();
    from.read_to_string(&mut text).expect("cannot read the log");
    text
}

/// Output that nobody reads any more.
fn broken_pipe() -> Stdio {
    let (out, reader) = UnixStream::pair().expect("cannot make a pair of sockets");
    drop(reader);
    OwnedFd::from(out).into()
}

/// Output that takes nothing until somebody reads the empty lines in it. Writes to it fail at once if
/// it does not block.
fn full_pipe(blocks: bool) -> (Stdio, UnixStream) {
    let (mut out, reader) = UnixStream::pair().expect("cannot make a pair of sockets");
    out.set_nonblocking(true).expect("cannot set the mode");
    while out.write(b"\n").is_ok() {}
    out.set_nonblocking(!blocks).expect("cannot set the mode");
    (OwnedFd::from(out).into(), reader)
}

/// Output to a device without space.
fn full_device() -> Stdio {
    let file = File::options().write(true).open("/dev/full");
    file.expect("cannot open /dev/full").into()
}

/// Failure: a log line that could not be written ended the daemon, with all that it was answering.
#[parameterized(
    batch_broken_pipe = { Program::Batch, broken_pipe },
    batch_full_device = { Program::Batch, full_device },
    serve_broken_pipe = { Program::Serve, broken_pipe },
    serve_full_device = { Program::Serve, full_device },
)]
fn a_log_that_cannot_be_written_ends_no_daemon(program: Program, output: fn() -> Stdio) {
    let mut process = Process::start(program, output());
    for _ in 0..10 {
        process.call();
    }
    process.wait_for_metric(DROPPED, |count| count > 0);
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Failure: a log to a full pipe that does not block ended the daemon, and tore the line that was
/// being written.
#[test]
fn a_log_to_a_full_pipe_that_does_not_block_stays_whole() {
    let (out, reader) = full_pipe(false);
    let mut process = Process::start(Program::Batch, out);
    for _ in 0..CALLS {
        process.call();
    }
    let text = thread::spawn(move || read_all(reader));
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
    let lines = parse_lines(&text.join().expect("the reader failed"));
    let answers = lines.iter().filter(|l| l["event"] == CALL_ANSWERED).count();
    assert_eq!(answers, CALLS);
    assert!(lines.iter().any(|l| l["event"] == DAEMON_STOPPED));
}

/// Failure: a planned stop did not end while the log was blocked by a reader that does not read.
#[parameterized(
    batch = { Program::Batch },
    serve = { Program::Serve },
)]
fn a_planned_stop_ends_while_nobody_reads_the_log(program: Program) {
    let (out, _reader) = full_pipe(true);
    let mut process = Process::start(program, out);
    for _ in 0..CALLS {
        process.call();
    }
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Failure: a daemon that ran out of descriptors while it started went on without one of its ports,
/// or ended without a reason in its log.
#[test]
fn a_daemon_without_descriptors_listens_or_ends_with_a_reason() {
    for descriptors in FEW_DESCRIPTORS {
        let mut process = Process::spawn_limited(Program::Batch, Stdio::piped(), descriptors, None);
        let log = process.child.stdout.take().expect("no log");
        let Some(status) = process.wait_until_up_or_ended() else {
            continue;
        };
        assert!(!status.success(), "{descriptors} descriptors: {status}");
        let lines = parse_lines(&read_all(log));
        let has_reason = lines
            .iter()
            .any(|l| l["event"] == SERVICE_FAILED || l["event"] == PANICKED);
        assert!(has_reason, "{descriptors} descriptors: {lines:?}");
    }
}

/// Failure: a signal that came while the settings were being read ended the daemon at once, a SIGHUP
/// as well.
#[test]
fn a_hangup_while_the_settings_are_read_ends_no_daemon() {
    let (mut process, settings) = Process::spawn_before_settings(Program::Batch);
    process.signal(Signal::SIGHUP);
    settings.write();
    process.wait_until_up();
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Failure: a SIGHUP ended `serve` at once, without a planned stop.
#[parameterized(
    batch = { Program::Batch },
    serve = { Program::Serve },
)]
fn a_hangup_ends_no_daemon(program: Program) {
    let mut process = Process::start(program, Stdio::null());
    for _ in 0..3 {
        process.signal(Signal::SIGHUP);
        for _ in 0..CALLS {
            process.call();
        }
    }
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Failure: a settings file that could not be read at once, as on a file system that hangs, kept the
/// daemon from answering after a SIGHUP and from ending.
#[test]
fn a_reload_that_hangs_keeps_the_daemon_from_nothing() {
    let (mut process, settings) = Process::spawn_before_settings(Program::Batch);
    settings.write();
    process.wait_until_up();
    process.signal(Signal::SIGHUP);
    // The pipe opens once the daemon reads again.
    let _hanging = process.open_settings();
    for _ in 0..CALLS {
        process.call();
    }
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Failure: as before, at the start.
#[test]
fn a_stop_ends_while_the_settings_cannot_be_read() {
    let (mut process, _hanging) = Process::spawn_before_settings(Program::Batch);
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Failure: a daemon that found its settings half written, or did not find them, ended without a line
/// in its log.
#[parameterized(
    missing = { None },
    empty = { Some("") },
    half_written = { Some("{ \"vm\": \"e0\", \"domain\": \"d0\", \"addresses\": { \"callers") },
)]
fn settings_that_cannot_be_used_are_logged(text: Option<&str>) {
    let mut process = Process::spawn_from(Program::Batch, Stdio::piped(), |path, _| {
        if let Some(text) = text {
            fs::write(path, text).expect("cannot write the settings");
        }
    });
    let log = process.child.stdout.take().expect("no log");
    let status = process.wait_for_end();
    assert_eq!(status.code(), Some(3), "{status}");
    let lines = parse_lines(&read_all(log));
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0]["event"], SERVICE_FAILED);
}

/// Guards against a daemon that ends when its settings are half written or gone at a SIGHUP.
#[parameterized(
    missing = { None },
    half_written = { Some("{ \"vm\": \"e0\", \"domain\": \"d0\", \"addresses\": { \"callers") },
)]
fn settings_that_cannot_be_reloaded_end_no_daemon(text: Option<&str>) {
    let mut process = Process::start(Program::Batch, Stdio::piped());
    let log = process.child.stdout.take().expect("no log");
    let mut log = BufReader::new(log).lines();
    process.replace_settings(text);
    process.signal(Signal::SIGHUP);
    let refused = log.find(|line| {
        let lines = parse_lines(line.as_ref().expect("cannot read the log"));
        lines[0]["event"] == SETTINGS_REFUSED
    });
    assert!(refused.is_some(), "no line about the settings");
    process.call();
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

#[parameterized(
    batch_terminate = { Program::Batch, Signal::SIGTERM },
    batch_interrupt = { Program::Batch, Signal::SIGINT },
    serve_terminate = { Program::Serve, Signal::SIGTERM },
    serve_interrupt = { Program::Serve, Signal::SIGINT },
)]
fn a_stop_while_the_settings_are_read_ends_as_planned(program: Program, signal: Signal) {
    let (mut process, settings) = Process::spawn_before_settings(program);
    process.signal(signal);
    settings.write();
    let status = process.wait_for_end();
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Failure: `serve` ended when it could not print its ports.
#[test]
fn serve_goes_on_without_its_standard_output() {
    let mut process = Process::start_serve(Stdio::piped(), full_device());
    let log = process.child.stderr.take().expect("no log");
    process.call();
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
    let lines = parse_lines(&read_all(log));
    let is_logged = |l: &Map<String, Value>| l.get("event") == Some(&PORTS_NOT_PRINTED.into());
    assert!(lines.iter().any(is_logged), "{lines:?}");
}

/// Failure: a text for a reader that had seen enough, or that could not be written, ended the program
/// by an error without a remedy or by a panic.
#[parameterized(
    help_to_closed_pipe = { &["--help"], broken_pipe, 0 },
    help_to_full_device = { &["--help"], full_device, 1 },
    usage_to_closed_pipe = { &[], broken_pipe, 2 },
    unknown_to_closed_pipe = { &["fly"], broken_pipe, 2 },
)]
fn an_output_that_cannot_be_written_keeps_the_exit_code(
    args: &[&str],
    output: fn() -> Stdio,
    code: i32,
) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bronzetack"));
    let command = command.args(args).stdout(output()).stderr(broken_pipe());
    let status = command.status().expect("cannot run the program");
    assert_eq!(status.code(), Some(code), "{status}");
}

/// Failure: callers that opened connections and sent nothing used up the descriptors of a daemon. It
/// answered nobody, and could reach neither the store nor the workers.
#[test]
fn idle_connections_of_callers_leave_descriptors_for_all_else() {
    let mut process = Process::spawn_limited(Program::Batch, Stdio::null(), DESCRIPTORS, None);
    process.wait_until_up();
    let connections = process.open_connections(MANY_CONNECTIONS);
    // They are closed in the end, as they send nothing. Until then the operators get their answer.
    process.wait_for_metric(DROPPED, |_| true);
    let is_open = |mut connection: &TcpStream| {
        let set = connection.set_nonblocking(true);
        set.expect("cannot set the mode");
        let read = connection.read(&mut [0]);
        read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    };
    assert!(connections.iter().all(is_open), "answered too late");
    drop(connections);
    process.call();
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Starts a store with a configuration, on a thread that runs until the end of the tests.
fn start_store() -> SocketAddr {
    let (sender, address) = channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let store = FakeStore::start().expect("cannot bind a port");
            store.configure(1);
            sender.send(store.address()).expect("the test has ended");
            pending::<()>().await;
        });
    });
    address.recv().expect("no store")
}

/// Failure: a daemon that had no descriptors left when it acquired the lock ended by a panic. It opens
/// some for the thread that renews the lease.
#[test]
fn a_daemon_without_descriptors_gives_the_lock_up() {
    let store = start_store();
    let mut given_up = 0;
    for descriptors in FEW_FOR_THE_LOCK {
        let (log, address) = (Stdio::piped(), Some(store));
        let mut process = Process::spawn_limited(Program::Batch, log, descriptors, address);
        let log = process.child.stdout.take().expect("no log");
        let outcomes = [
            STORE_UNREACHABLE,
            ELECTED,
            LOCK_LOST,
            SERVICE_FAILED,
            PANICKED,
        ];
        let lines = BufReader::new(log).lines().map(|line| {
            let mut lines = parse_lines(&line.expect("cannot read the log"));
            lines.remove(0)
        });
        let is_outcome = |l: &Map<String, Value>| outcomes.iter().any(|o| l["event"] == *o);
        let outcome = lines.into_iter().find(is_outcome).expect("no outcome");
        if outcome["event"] == PANICKED {
            // A server whose thread cannot start, before the daemon is up.
            let place = outcome["place"].as_str().expect("no place");
            assert!(
                place.contains("actix-server"),
                "{descriptors} descriptors: {outcome:?}"
            );
        }
        given_up += usize::from(outcome["event"] == LOCK_LOST);
    }
    assert!(given_up > 0, "no limit is too low for the lock alone");
}
