//! Starts a daemon as a child process, calls it and signals it.
#![allow(dead_code, reason = "no test file uses all of these")]

use std::env::temp_dir;
use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// Longest wait for what a test expects.
const WAIT: Duration = Duration::from_secs(30);

/// Time between two looks.
const POLL: Duration = Duration::from_millis(10);

/// Longest time for a response.
const RESPONSE: Duration = Duration::from_secs(10);

/// The program of the daemons.
const PROGRAM: &str = env!("CARGO_BIN_EXE_bronzetack");

/// Method and path of the metrics.
const METRICS: &str = "GET /metrics";

/// The two kinds of daemon. `batch` logs to standard output, `serve` to standard error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    Batch,
    Serve,
}

/// The ports of a daemon. `serve` reports its readiness at the callers' port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    Callers,
    Operators,
    Ready,
}

/// A daemon's process, which is killed when it is dropped.
pub struct Process {
    pub child: Child,
    program: Program,
    callers: SocketAddr,
    ready: SocketAddr,
    operators: SocketAddr,
    settings: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors mean that the process has ended or that the file is gone.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    listener.local_addr().expect("no address")
}

/// Settings that a daemon waits for.
pub struct PendingSettings {
    pipe: fs::File,
    text: String,
}

impl PendingSettings {
    /// Lets the daemon read them, unless it has ended before.
    pub fn write(mut self) {
        match self.pipe.write_all(self.text.as_bytes()) {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => {}
            written => written.expect("cannot write the settings"),
        }
    }
}

impl Process {
    /// Starts a daemon whose log goes to `log`, and waits until it answers.
    pub fn start(program: Program, log: Stdio) -> Process {
        let mut process = Process::spawn(program, log);
        process.wait_until_up();
        process
    }

    /// Starts a daemon whose log goes to `log`. The store that its settings name does not exist.
    pub fn spawn(program: Program, log: Stdio) -> Process {
        Process::spawn_from(program, log, write_settings)
    }

    /// As [`Process::start`] for `serve`, with this standard output.
    pub fn start_serve(log: Stdio, output: Stdio) -> Process {
        let mut command = Command::new(PROGRAM);
        command.arg("serve").stdout(output).stderr(log);
        let mut process = Process::run(command, Program::Serve, None, write_settings);
        process.wait_until_up();
        process
    }

    /// Starts a daemon that has begun to read its settings from a pipe, and waits for them.
    pub fn spawn_before_settings(program: Program) -> (Process, PendingSettings) {
        let mut text = String::new();
        let process = Process::spawn_from(program, Stdio::null(), |path, settings| {
            let made = Command::new("mkfifo").arg(path).status();
            assert!(made.expect("cannot run mkfifo").success());
            text = settings.to_string();
        });
        let pipe = process.open_settings();
        (process, PendingSettings { pipe, text })
    }

    /// Opens the pipe of the settings, once the daemon has opened its other end.
    pub fn open_settings(&self) -> fs::File {
        let pipe = fs::File::options().write(true).open(&self.settings);
        pipe.expect("cannot open the pipe")
    }

    /// Replaces the text of the settings file, or removes it.
    pub fn replace_settings(&self, text: Option<&str>) {
        let replaced = match text {
            Some(text) => fs::write(&self.settings, text),
            None => fs::remove_file(&self.settings),
        };
        replaced.expect("cannot replace the settings");
    }

    /// Starts a daemon that may open so many descriptors. The store is at `store`, if there is one.
    pub fn spawn_limited(
        program: Program,
        log: Stdio,
        descriptors: u32,
        store: Option<SocketAddr>,
    ) -> Process {
        let mut command = Command::new("sh");
        let limited = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
        command.args(["-c", &limited, PROGRAM]);
        add_command(&mut command, program, log);
        Process::run(command, program, store, write_settings)
    }

    /// Starts a daemon whose log goes to `log`, and waits until it answers. Its settings state `memory` in
    /// megabytes, if given.
    pub fn start_in(
        program: Program,
        store: Option<SocketAddr>,
        memory: Option<u64>,
        log: Stdio,
    ) -> Process {
        let mut command = Command::new(PROGRAM);
        add_command(&mut command, program, log);
        let mut process = Process::run(command, program, store, |path, text| {
            let resources = memory.map_or_else(String::new, |memory| {
                format!(r#""resources": {{ "memory": "{memory}" }}, "#)
            });
            write_settings(path, &text.replacen("{ ", &format!("{{ {resources}"), 1));
        });
        process.wait_until_up();
        process
    }

    /// As [`Process::spawn`]; `write` makes the settings file from its path and text.
    pub fn spawn_from(program: Program, log: Stdio, write: impl FnOnce(&PathBuf, &str)) -> Process {
        let mut command = Command::new(PROGRAM);
        add_command(&mut command, program, log);
        Process::run(command, program, None, write)
    }

    fn run(
        mut command: Command,
        program: Program,
        store: Option<SocketAddr>,
        write: impl FnOnce(&PathBuf, &str),
    ) -> Process {
        let [callers, ready, operators, no_store] = [(); 4].map(|()| free_address());
        let store = store.unwrap_or(no_store);
        let name = format!("process-{}-{}.jsonc", std::process::id(), operators.port());
        let settings = temp_dir().join(name);
        let text = match program {
            Program::Batch => format!(
                r#"{{ "vm": "e0", "domain": "d0",
                "addresses": {{ "callers": "{callers}", "ready": "{ready}", "operators": "{operators}" }},
                "store": {{ "address": "{store}" }}, "bounds": {{ "stop": "3s" }} }}"#
            ),
            Program::Serve => format!(
                r#"{{ "domain": "d0", "domains": ["d0"], "log": {{ "debug": true }},
                "addresses": {{ "callers": "{callers}", "peers": "127.0.0.1:0", "operators": "{operators}" }},
                "platform": {{ "store": ["http://{store}"], "vms": "http://{store}", "calls": 200 }} }}"#
            ),
        };
        write(&settings, &text);
        let command = command.arg("--settings").arg(&settings);
        let child = command.stdin(Stdio::null()).spawn();
        Process {
            child: child.expect("cannot start the daemon"),
            program,
            callers,
            ready,
            operators,
            settings,
        }
    }

    /// Waits until the daemon answers.
    pub fn wait_until_up(&mut self) {
        let end = Instant::now() + WAIT;
        while call(self.operators, METRICS).is_none() {
            let ended = self.child.try_wait().expect("cannot look at the process");
            assert_eq!(ended, None, "the daemon has ended");
            assert!(Instant::now() < end, "the daemon does not answer");
            sleep(POLL);
        }
    }

    /// Waits until the daemon answers on all its ports, or ends.
    pub fn wait_until_up_or_ended(&mut self) -> Option<ExitStatus> {
        let end = Instant::now() + WAIT;
        loop {
            let ended = self.child.try_wait().expect("cannot look at the process");
            if ended.is_some() {
                return ended;
            }
            let ports = [self.callers, self.ready, self.operators];
            if ports
                .into_iter()
                .all(|port| TcpStream::connect(port).is_ok())
            {
                return None;
            }
            assert!(Instant::now() < end, "not all ports listen");
            sleep(POLL);
        }
    }

    /// Makes a call that the daemon logs.
    pub fn call(&mut self) {
        let line = match self.program {
            Program::Batch => "GET /q/00000000000000a1",
            Program::Serve => "POST /v1/requests/a",
        };
        let answered = call(self.callers, line).is_some();
        let ended = self.child.try_wait().expect("cannot look at the process");
        assert_eq!(ended, None, "the daemon has ended");
        assert!(answered, "a call was not answered");
    }

    /// Calls the callers' port until there is an answer.
    pub fn call_until_answered(&mut self) {
        let line = match self.program {
            Program::Batch => "GET /q/00000000000000a1",
            Program::Serve => "GET /health",
        };
        let end = Instant::now() + WAIT;
        while call(self.callers, line).is_none() {
            let ended = self.child.try_wait().expect("cannot look at the process");
            assert_eq!(ended, None, "the daemon has ended");
            assert!(Instant::now() < end, "a call was not answered");
            sleep(POLL);
        }
    }

    /// Sends a request with a body to the callers' port until it is neither refused for now nor left
    /// without an answer, and returns the status.
    pub fn submit(&mut self, head: &str, body: &[u8]) -> u16 {
        let head = format!(
            "{head}content-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        let end = Instant::now() + WAIT;
        loop {
            let text = exchange(self.callers, &[head.as_bytes(), body].concat());
            let status = text.and_then(|t| t.split(' ').nth(1)?.parse().ok());
            let ended = self.child.try_wait().expect("cannot look at the process");
            assert_eq!(ended, None, "the daemon has ended");
            match status {
                Some(status) if self.program == Program::Serve || status < 429 => return status,
                _ => assert!(Instant::now() < end, "the status is {status:?}"),
            }
            sleep(POLL);
        }
    }

    /// Address of a port.
    pub fn address(&self, port: Port) -> SocketAddr {
        match port {
            Port::Callers => self.callers,
            Port::Operators => self.operators,
            Port::Ready => self.ready,
        }
    }

    /// Largest resident memory so far.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("cannot read the state of the process");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kibibytes = line.and_then(|l| l.trim().strip_suffix(" kB"));
        let kibibytes: u64 = kibibytes.and_then(|k| k.parse().ok()).expect("no VmHWM");
        (kibibytes << 10).div_ceil(1_000_000)
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.expect("cannot list the descriptors").count()
    }

    /// Waits until at most so many descriptors are open.
    pub fn wait_for_descriptors(&self, most: usize) {
        let end = Instant::now() + WAIT;
        while self.descriptors() > most {
            assert!(Instant::now() < end, "{} descriptors", self.descriptors());
            sleep(POLL);
        }
    }

    /// Opens connections to the callers' port that stay idle.
    pub fn open_connections(&self, count: usize) -> Vec<TcpStream> {
        let connect = |_| TcpStream::connect(self.callers).expect("cannot connect");
        (0..count).map(connect).collect()
    }

    /// Value of a metric without labels.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let text = call(self.operators, METRICS)?;
        let value = text.lines().find_map(|l| l.strip_prefix(name))?;
        value.trim().parse().ok()
    }

    /// Waits until a metric has an expected value.
    pub fn wait_for_metric(&mut self, name: &str, expected: impl Fn(u64) -> bool) {
        let end = Instant::now() + WAIT;
        while !self.metric(name).is_some_and(&expected) {
            let ended = self.child.try_wait().expect("cannot look at the process");
            assert_eq!(ended, None, "the daemon has ended");
            let value = self.metric(name);
            assert!(Instant::now() < end, "{name} is {value:?}");
            sleep(POLL);
        }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("cannot signal the process");
    }

    /// Sends a signal and waits for the end of the process.
    pub fn stop(&mut self, signal: Signal) -> ExitStatus {
        self.signal(signal);
        self.wait_for_end()
    }

    /// Waits for the end of the process.
    pub fn wait_for_end(&mut self) -> ExitStatus {
        let end = Instant::now() + WAIT;
        loop {
            let ended = self.child.try_wait().expect("cannot look at the process");
            if let Some(status) = ended {
                return status;
            }
            assert!(Instant::now() < end, "the daemon does not end");
            sleep(POLL);
        }
    }
}

/// Adds the command that runs a daemon, with its log.
fn add_command(command: &mut Command, program: Program, log: Stdio) {
    match program {
        Program::Batch => command.arg("batch").stdout(log).stderr(Stdio::null()),
        Program::Serve => command.arg("serve").stdout(Stdio::null()).stderr(log),
    };
}

fn write_settings(path: &PathBuf, text: &str) {
    fs::write(path, text).expect("cannot write the settings");
}

/// Body of the response to a request; `None` without a whole response.
fn call(to: SocketAddr, line: &str) -> Option<String> {
    let request =
        format!("{line} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    let text = exchange(to, request.as_bytes())?;
    let (_, body) = text.split_once("\r\n\r\n")?;
    Some(body.to_string())
}

/// Sends a request and reads until the daemon closes the connection.
fn exchange(to: SocketAddr, request: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(RESPONSE)).ok()?;
    stream.write_all(request).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}
