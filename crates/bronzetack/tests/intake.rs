//! Daemons as processes of their own: the memory of calls between their receipt and the store.

mod process_kit;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Stdio;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use platform::DEADLINE_HEADER;
use platform_fakes::FakeStore;
use platform_fakes::StoreFault;
use platform_fakes::API_KEY;
use platform_fakes::HOST;
use serde_json::json;
use yare::parameterized;

use process_kit::Port;
use process_kit::Process;
use process_kit::Program;

/// Memory of the smallest machines that run a daemon, in megabytes, less a quarter for the rest of the
/// machine.
const MAX_MEMORY_MB: u64 = 120;

/// Callers at a time, and how often as many come.
const CALLERS: usize = 50;
const WAVES: usize = 20;

/// Length of a body, below the limit of the configuration.
const BODY_BYTES: usize = 250_000;

/// Jobs with thousands of tasks each.
const WIDE_JOBS: u64 = 100;

/// Calls that are logged, more than the queue of the log holds, and the length of their paths.
const LOGGED_CALLS: u64 = 3_000;
const LOGGED_BYTES: usize = 60_000;

/// Time for which a caller says that it waits.
const LONG_DEADLINE: Duration = Duration::from_secs(86_400);

/// Time from the last byte of a body until its caller hangs up.
const HANG_UP: Duration = Duration::from_millis(300);

/// Longest wait for an answer that a test expects.
const WAIT: Duration = Duration::from_secs(30);

/// A delay of the store beyond all time-outs.
const NEVER: Duration = Duration::from_secs(600);

fn head(method: &str, path: &str, deadline: Duration, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {API_KEY}\r\n\
         {DEADLINE_HEADER}: {}\r\ncontent-length: {length}\r\n\r\n",
        deadline.as_millis()
    )
}

/// Status of the answer to a call.
fn call(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(WAIT)).ok()?;
    let head = head(method, path, Duration::from_secs(3), body.len());
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut line = [0; 12];
    stream.read_exact(&mut line).ok()?;
    std::str::from_utf8(&line[9..]).ok()?.parse().ok()
}

fn small_job() -> Vec<u8> {
    let body = json!({ "spec": "text", "steps": [{ "count": 1, "cpu": 1000 }] });
    body.to_string().into_bytes()
}

fn start(store: &FakeStore, log: Stdio) -> Process {
    Process::start_in(
        Program::Batch,
        Some(store.address()),
        Some(MAX_MEMORY_MB),
        log,
    )
}

/// Submits jobs until one is accepted.
fn submit(process: &Process, id: u64) {
    let end = Instant::now() + WAIT;
    let path = format!("/q/{id:016x}");
    while call(process.address(Port::Callers), "POST", &path, &small_job()) != Some(200) {
        assert!(Instant::now() < end, "{path} was not accepted in time");
        sleep(Duration::from_millis(50));
    }
}

fn assert_lives(process: &mut Process) {
    let ended = process
        .child
        .try_wait()
        .expect("cannot look at the process");
    assert_eq!(ended, None, "the daemon has ended");
    let peak = process.peak_memory_mb();
    assert!(peak < MAX_MEMORY_MB, "the daemon takes {peak} MB");
}

/// A small job in a large body.
fn padded() -> Vec<u8> {
    let mut body = small_job();
    body.resize(BODY_BYTES, b' ');
    body
}

/// A job whose steps name as much as they may.
fn dense() -> Vec<u8> {
    let label = |c: &str| c.repeat(200);
    let steps: Vec<_> = (0..64)
        .map(|_| {
            json!({
                "count": 1, "cpu": 1, "requirements": label("r"), "affinity": label("a"),
                "image": label("i"),
            })
        })
        .collect();
    let body = json!({ "spec": "s".repeat(4_000), "steps": steps });
    body.to_string().into_bytes()
}

/// A job with as many tasks as one may have, in few bytes.
fn wide() -> Vec<u8> {
    let steps = vec![json!({ "count": 2_000 }); 5];
    let body = json!({ "spec": "", "steps": steps });
    body.to_string().into_bytes()
}

/// Runs a store until the end of the test on a thread of its own.
fn start_store() -> Arc<FakeStore> {
    let (sender, store) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let store = Arc::new(FakeStore::start().expect("cannot bind a port"));
            store.configure(1);
            sender.send(store).expect("the test has ended");
            std::future::pending::<()>().await;
        });
    });
    store.recv().expect("no store")
}

/// Failure: a caller that hung up, or that named a long deadline, left its call with the daemon for as
/// long as the store did not answer, and nothing counted what such calls took.
#[parameterized(
    dense_submissions = { "POST", dense() },
    padded_submissions = { "POST", padded() },
)]
fn calls_that_wait_for_the_store_take_a_bounded_memory(method: &str, body: Vec<u8>) {
    let store = start_store();
    let mut process = start(&store, Stdio::null());
    submit(&process, 1);
    store.set_fault(StoreFault::Slow(NEVER));
    for wave in 0..WAVES {
        let open = |num: usize| {
            let id = 0x1000 + wave * CALLERS + num;
            let mut stream =
                TcpStream::connect(process.address(Port::Callers)).expect("cannot connect");
            let head = head(method, &format!("/q/{id:016x}"), LONG_DEADLINE, body.len());
            // A refused caller cannot send the rest.
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&body);
            stream
        };
        let streams: Vec<TcpStream> = (0..CALLERS).map(open).collect();
        sleep(HANG_UP);
        drop(streams);
    }
    assert_lives(&mut process);
    store.set_fault(StoreFault::None);
    submit(&process, 2);
    assert_lives(&mut process);
}

/// Failure: a submission of two hundred bytes took megabytes of the coordinator for as long as its tasks
/// waited, and nothing counted them.
#[test]
fn tasks_of_accepted_jobs_take_a_bounded_memory() {
    let store = start_store();
    let mut process = start(&store, Stdio::null());
    submit(&process, 1);
    for id in 0..WIDE_JOBS {
        let path = format!("/q/{:016x}", 0x1000 + id);
        let status = call(process.address(Port::Callers), "POST", &path, &wide());
        assert!(status.is_some(), "{path} was not answered");
    }
    sleep(Duration::from_secs(3));
    assert_lives(&mut process);
    submit(&process, 2);
    assert_lives(&mut process);
}

/// Failure: lines of the log held whole paths of callers, and thousands of them waited for an output that
/// took none.
#[test]
fn lines_of_the_log_take_a_bounded_memory() {
    let store = start_store();
    // Nobody reads it.
    let mut process = start(&store, Stdio::piped());
    submit(&process, 1);
    let path = format!("/q/{}", "p".repeat(LOGGED_BYTES));
    for _ in 0..LOGGED_CALLS {
        let status = call(process.address(Port::Callers), "GET", &path, &[]);
        assert!(status.is_some(), "a call was not answered");
    }
    assert_lives(&mut process);
    submit(&process, 2);
    assert_lives(&mut process);
}
