//! Crowds of clients that do not behave, against each port of a daemon. The bounds are the memory that
//! the settings state, and the descriptors that the connections of the crowd take.

mod crowd_kit;
mod process_kit;

use std::future::pending;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use nix::sys::signal::Signal;
use platform_fakes::FakeStore;
use serde_json::json;
use yare::parameterized;

use crowd_kit::Crowd;
use crowd_kit::Mode;
use crowd_kit::Target;
use process_kit::Port;
use process_kit::Process;
use process_kit::Program;

/// Memory that the settings of `batch` state, half of that of the smallest machines.
const BATCH_MEMORY_MB: u64 = 60;

/// Memory of the smallest machines, in which `serve` stays without a setting.
const SERVE_MEMORY_MB: u64 = 120;

/// Clients of a crowd, and times that each of them comes back.
const CROWD: usize = 600;
const RETURNS: usize = 3;

/// Clients of a crowd that send thousands of requests each.
const PIPELINING: usize = 60;

/// Descriptors that a daemon uses beside the connections of the crowd.
const OWN_DESCRIPTORS: usize = 100;

/// Largest bodies inside the limits: that of the site's configuration, and that of `serve`.
const BATCH_BODY: usize = 250_000;
const SERVE_BODY: usize = 1 << 20;

/// Limit on the descriptors of a process, and clients that use them up.
const DESCRIPTORS: u32 = 100;

/// Crowds come one at a time.
static TURN: Mutex<()> = Mutex::new(());

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

/// A submission of the largest legal size with so many small steps, as many as fit at most. Thousands are
/// more than a job may have.
fn submission(steps: usize) -> Vec<u8> {
    let step = json!({
        "count": 1, "cpu": 1, "mem-mb": 1, "gpus": 0, "estimated-ms": 100, "after": [],
        "gang": false, "checkpointing": false,
    });
    let size = step.to_string().len() + 1;
    let steps = vec![step; steps.min((BATCH_BODY - size) / size)];
    let mut body = json!({ "spec": "a", "steps": steps }).to_string();
    let padding = BATCH_BODY - body.len();
    body.push_str(&" ".repeat(padding));
    body.into_bytes()
}

fn start(program: Program) -> Process {
    match program {
        Program::Batch => Process::start_in(
            program,
            Some(start_store()),
            Some(BATCH_MEMORY_MB),
            Stdio::null(),
        ),
        Program::Serve => Process::start_in(program, None, None, Stdio::null()),
    }
}

/// Failure: nothing bounded the memory that clients of a port made a daemon take.
fn stays_within_memory(program: Program, port: Port, modes: &[Mode]) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut process = start(program);
    let (target, bound) = match program {
        Program::Batch => (
            Target::batch(process.address(port), submission(usize::MAX)),
            BATCH_MEMORY_MB,
        ),
        Program::Serve => (
            Target::serve(process.address(port), vec![b'x'; SERVE_BODY]),
            SERVE_MEMORY_MB,
        ),
    };
    for mode in modes {
        let size = match mode {
            Mode::Pipelined => PIPELINING,
            _ => CROWD,
        };
        let crowd = Crowd::send(&target, *mode, size, RETURNS);
        process.call_until_answered();
        let descriptors = process.descriptors();
        assert!(
            descriptors <= CROWD + OWN_DESCRIPTORS,
            "{mode:?}: {descriptors} descriptors"
        );
        let peak = process.peak_memory_mb();
        println!(
            "{program:?} {port:?} {mode:?}: {peak} MB, {} open",
            crowd.open()
        );
        drop(crowd);
        assert!(
            peak <= bound,
            "{mode:?}: {peak} MB, the settings state {bound} MB"
        );
    }
    process.wait_for_descriptors(OWN_DESCRIPTORS);
    let body = match program {
        Program::Batch => submission(1),
        Program::Serve => target.body,
    };
    let status = process.submit(&target.post, &body);
    match (program, port) {
        (Program::Batch, Port::Callers) => assert_eq!(status, 200),
        (_, Port::Callers) => assert!(![400, 408, 413, 431].contains(&status), "{status}"),
        _ => {}
    }
    let peak = process.peak_memory_mb();
    assert!(peak <= bound, "{peak} MB, the settings state {bound} MB");
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}

#[parameterized(
    unfinished = { Mode::Unfinished },
    pieces = { Mode::Pieces },
    large_chunk = { Mode::LargeChunk },
    small_chunks = { Mode::SmallChunks },
    huge_announced = { Mode::HugeAnnounced },
    huge_sent = { Mode::HugeSent },
    endless_head = { Mode::EndlessHead },
    whole = { Mode::Whole },
    pipelined = { Mode::Pipelined },
    returning = { Mode::Returning },
)]
fn a_crowd_of_callers_takes_bounded_memory_of_batch(mode: Mode) {
    stays_within_memory(Program::Batch, Port::Callers, &[mode]);
}

#[parameterized(
    unfinished = { Mode::Unfinished },
    pieces = { Mode::Pieces },
    large_chunk = { Mode::LargeChunk },
    small_chunks = { Mode::SmallChunks },
    huge_announced = { Mode::HugeAnnounced },
    huge_sent = { Mode::HugeSent },
    endless_head = { Mode::EndlessHead },
    whole = { Mode::Whole },
    pipelined = { Mode::Pipelined },
    returning = { Mode::Returning },
)]
fn a_crowd_of_callers_takes_bounded_memory_of_serve(mode: Mode) {
    stays_within_memory(Program::Serve, Port::Callers, &[mode]);
}

/// Modes that do not depend on the routes of a port.
const ANY_PORT: [Mode; 4] = [
    Mode::Unfinished,
    Mode::LargeChunk,
    Mode::EndlessHead,
    Mode::Pipelined,
];

#[parameterized(
    batch_ready = { Program::Batch, Port::Ready },
    batch_operators = { Program::Batch, Port::Operators },
    serve_operators = { Program::Serve, Port::Operators },
)]
fn a_crowd_at_another_port_takes_bounded_memory(program: Program, port: Port) {
    stays_within_memory(program, port, &ANY_PORT);
}

/// As before, for the port's own routes: responses of the metrics that nobody reads.
#[parameterized(
    batch = { Program::Batch },
    serve = { Program::Serve },
)]
fn metrics_that_nobody_reads_take_bounded_memory(program: Program) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let bound = match program {
        Program::Batch => BATCH_MEMORY_MB,
        Program::Serve => SERVE_MEMORY_MB,
    };
    let mut process = start(program);
    let mut target = Target::batch(process.address(Port::Operators), submission(usize::MAX));
    target.get = "GET /metrics";
    let crowd = Crowd::send(&target, Mode::Pipelined, CROWD, 0);
    process.call_until_answered();
    let peak = process.peak_memory_mb();
    println!("{program:?} metrics: {peak} MB");
    assert!(peak <= bound, "{peak} MB, the settings state {bound} MB");
    drop(crowd);
}

/// Failure: callers that never end their requests used up the connections of a daemon, and nobody else
/// was answered.
#[test]
fn requests_that_never_end_leave_connections_for_callers() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut process = Process::spawn_limited(Program::Batch, Stdio::null(), DESCRIPTORS, None);
    process.wait_until_up();
    let target = Target::batch(process.address(Port::Callers), submission(1));
    let crowd = Crowd::send(&target, Mode::Unfinished, DESCRIPTORS as usize, 0);
    process.call_until_answered();
    drop(crowd);
    let status = process.stop(Signal::SIGTERM);
    assert_eq!(status.code(), Some(0), "{status}");
}
