//! No daemon outlives the soak, however it ends.

use std::fs;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use soak::Plan;
use yare::parameterized;

/// Daemons of the two seeds that each test runs.
const DAEMONS: usize = 8;

/// Time in which the daemons start, a soak ends, or its daemons are gone.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Directory of the run in the process that [`panics_while_two_seeds_run`] starts.
const DIR: &str = "SOAK_TEST_DIR";

/// A directory with a program that records its process id and then does nothing, in place of the daemon.
fn directory(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("soak-processes-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a directory for temporary files");
    let ids = dir.join("ids");
    let script = format!("#!/bin/sh\necho $$ >> {}\nexec sleep 300\n", ids.display());
    fs::write(&ids, "").expect("a writable directory");
    fs::write(program(&dir), script).expect("a writable directory");
    let executable = fs::Permissions::from_mode(0o755);
    fs::set_permissions(program(&dir), executable).expect("an own file");
    dir
}

fn program(dir: &Path) -> PathBuf {
    dir.join("daemon")
}

/// Process ids of the daemons started so far.
fn ids(dir: &Path) -> Vec<u32> {
    let text = fs::read_to_string(dir.join("ids")).expect("a file of the test");
    text.lines().filter_map(|l| l.parse().ok()).collect()
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Whether a process exists and has not ended.
fn is_alive(id: u32) -> bool {
    let state = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let state = state.rsplit(") ").next().unwrap_or_default();
    !state.is_empty() && !state.starts_with(['X', 'Z'])
}

/// Starts the soak with two seeds, and waits until all daemons have started.
fn start_soak(dir: &Path) -> Child {
    let soak = Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(["--seed", "8", "--seeds", "2", "--seconds", "60"])
        .arg("--program")
        .arg(program(dir))
        .arg("--logs")
        .arg(dir)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn();
    let soak = soak.expect("the soak can be started");
    wait_for("all daemons start", || ids(dir).len() >= DAEMONS);
    soak
}

/// Waits for the end of the soak and of its daemons; returns what it printed.
fn expect_end(mut soak: Child, dir: &Path) -> String {
    let start = Instant::now();
    while soak.try_wait().expect("an own child").is_none() {
        if start.elapsed() >= TIMEOUT {
            soak.kill().expect("an own child");
            panic!("the soak did not end");
        }
        thread::sleep(Duration::from_millis(20));
    }
    let mut text = String::new();
    if let Some(mut out) = soak.stdout.take() {
        out.read_to_string(&mut text).expect("text");
    }
    if let Some(mut err) = soak.stderr.take() {
        err.read_to_string(&mut text).expect("text");
    }
    let code = soak.wait().expect("an own child").code();
    let alive = || ids(dir).into_iter().filter(|id| is_alive(*id));
    let gone = Instant::now();
    while alive().next().is_some() && gone.elapsed() < Duration::from_secs(2) {
        thread::sleep(Duration::from_millis(20));
    }
    let left: Vec<u32> = alive().collect();
    for id in &left {
        kill(Pid::from_raw(*id as i32), Signal::SIGKILL).expect("a process of this test");
    }
    assert!(left.is_empty(), "{} daemons are left: {text}", left.len());
    assert_eq!(code, Some(1), "{text}");
    fs::remove_dir_all(dir).expect("an own directory");
    text
}

#[parameterized(
    terminate = { Signal::SIGTERM },
    interrupt = { Signal::SIGINT },
)]
fn signals_end_the_daemons_of_all_seeds(signal: Signal) {
    let dir = directory(signal.as_str());
    let soak = start_soak(&dir);
    kill(Pid::from_raw(soak.id() as i32), signal).expect("an own child");
    let text = expect_end(soak, &dir);
    let expected = format!("ended by {signal} with daemons of seeds {{8, 9}}");
    assert!(text.contains(&expected), "{text}");
}

/// A daemon that could not be restarted made the soak panic, which left the others running.
#[test]
fn an_error_ends_the_run_and_its_daemons() {
    let dir = directory("error");
    let soak = start_soak(&dir);
    fs::remove_file(program(&dir)).expect("a file of the test");
    let text = expect_end(soak, &dir);
    for seed in [8, 9] {
        let expected = format!("seed {seed}: the run could not be carried out: daemon ");
        assert!(text.contains(&expected), "{text}");
    }
}

#[test]
fn a_panic_ends_the_daemons_of_all_seeds() {
    let dir = directory("panic");
    let test = Command::new(std::env::current_exe().expect("this test"))
        .args(["--exact", "panics_while_two_seeds_run", "--nocapture"])
        .env(DIR, &dir)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn();
    let text = expect_end(test.expect("this test can be started"), &dir);
    let expected = "ended by a panic with daemons of seeds {8, 9}";
    assert!(text.contains(expected), "{text}");
    assert!(text.contains("a panic of this test"), "{text}");
}

/// Does nothing unless it is run by the test above.
#[test]
fn panics_while_two_seeds_run() {
    let Some(dir) = std::env::var_os(DIR).map(PathBuf::from) else {
        return;
    };
    soak::kill_daemons_on_panic();
    for seed in [8, 9] {
        let plan = Plan::new(seed, program(&dir), &dir);
        thread::spawn(move || actix_rt::System::new().block_on(soak::run(&plan)));
    }
    wait_for("all daemons start", || ids(&dir).len() >= DAEMONS);
    let panicked = thread::spawn(|| panic!("a panic of this test")).join();
    unreachable!("the panic did not end the process: {panicked:?}");
}
