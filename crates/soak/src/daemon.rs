//! Runs a daemon as a child process: starts and signals it, and checks its log output and exit.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::thread::JoinHandle;

use base::JobId;
use base::Millis;
use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::memory;
use crate::processes;
use crate::settings;
use crate::starve;
use crate::traffic::Profile;

/// Longest duration of a planned stop, as written to the daemon's settings.
pub const STOP_TIMEOUT: Millis = Millis(6_000);

/// Additional time until the exit of the process is observed.
const STOP_MARGIN: Millis = Millis(500);

/// End of a daemon's process.
#[derive(Clone, Debug)]
pub struct Exit {
    /// Number of the daemon.
    pub daemon: usize,
    /// When the end was observed.
    pub at: Millis,
    /// Number of lines that the process logged.
    pub lines: usize,
    /// Jobs with a task that had to wait until a start without an answer could not be carried out any more.
    pub delayed: BTreeSet<JobId>,
    /// What was wrong with the end or with the log; `None` if nothing was.
    pub problem: Option<String>,
}

/// Part of the decision that a task waits for such a start.
const DELAYED: &str = "a request to start it may be carried out for";

/// Addresses that a daemon listens on and connects to.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Listens for callers.
    pub callers: SocketAddr,
    /// Listens for readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Listens for operators, who read metrics here.
    pub operators: SocketAddr,
    /// Listens for links of other daemons; `None` on sites whose coordinator calls all workers
    /// itself.
    pub links: Option<SocketAddr>,
    /// Connects to the store.
    pub store: SocketAddr,
    /// Connects to the adviser.
    pub adviser: SocketAddr,
    /// Connects to the machine service.
    pub machines: SocketAddr,
}

/// A running or paused process of a daemon.
struct Process {
    child: Child,
    reader: Option<JoinHandle<LogSummary>>,
    /// When a planned stop was first requested.
    stop_requested: Option<Millis>,
    /// Whether it was killed as a fault.
    killed: bool,
    /// Whether it is paused by SIGSTOP now.
    paused: bool,
    /// Total time for which it was paused.
    paused_total: Millis,
}

/// Kills the process, also when the run panics: one that outlives its run would join the next site
/// that uses the same addresses.
impl Drop for Process {
    fn drop(&mut self) {
        processes::end(&mut self.child);
    }
}

/// Summary of the lines that a process logged.
#[derive(Default)]
struct LogSummary {
    count: usize,
    /// Jobs with a task that waits for a start without an answer.
    delayed: BTreeSet<JobId>,
    /// First line that is not a JSON object.
    malformed: Option<String>,
}

/// A daemon: its settings and log files, and its process while one runs.
pub struct Daemon {
    number: usize,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
    /// Share of a core that it is held back to.
    share: Option<f64>,
    /// Memory that it may use, and the most that it has used, in megabytes.
    memory: Option<u64>,
    peak: u64,
}

impl Daemon {
    /// Writes the settings file to `dir`, without starting a process.
    pub fn new(
        number: usize,
        dir: &Path,
        addresses: &Addresses,
        heartbeat: Millis,
        profile: Option<&Profile>,
    ) -> io::Result<Daemon> {
        let daemon = Daemon {
            number,
            settings: dir.join(format!("e{number}.jsonc")),
            log: dir.join(format!("e{number}.log")),
            process: None,
            share: profile.and_then(|p| p.share),
            memory: profile.and_then(|p| p.memory),
            peak: 0,
        };
        let text = settings::text(number, addresses, heartbeat, profile);
        fs::write(&daemon.settings, text)?;
        Ok(daemon)
    }

    /// Whether a process runs or is paused.
    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Process id; `None` while no process runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(|p| p.child.id())
    }

    /// Starts a process of a run with this seed, unless one runs.
    pub fn start(&mut self, program: &Path, seed: u64) -> io::Result<()> {
        if self.process.is_some() {
            return Ok(());
        }
        let file = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(program);
        command
            .arg("batch")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit());
        let child = processes::start(&mut command, seed)?;
        let process = self.process.insert(Process {
            child,
            reader: None,
            stop_requested: None,
            killed: false,
            paused: false,
            paused_total: Millis::ZERO,
        });
        let reader = match process.child.stdout.take() {
            Some(out) => thread::Builder::new().spawn(move || copy_output(out, file)),
            None => Err(io::Error::other("the process has no standard output")),
        };
        match reader {
            Ok(reader) => process.reader = Some(reader),
            Err(error) => {
                self.process = None;
                return Err(error);
            }
        }
        if let (Some(share), Some(id)) = (self.share, self.process_id()) {
            starve::start(id, share);
        }
        Ok(())
    }

    /// Notes how much memory the process has used at most.
    pub fn measure_memory(&mut self) {
        let used = self.process_id().map_or(0, memory::peak);
        self.peak = self.peak.max(used);
    }

    /// The most memory that its processes have used, and what they may use, in megabytes.
    pub fn memory(&self) -> Option<(u64, u64)> {
        Some((self.peak, self.memory?))
    }

    /// Requests a planned stop with SIGTERM.
    pub fn stop(&mut self, now: Millis) {
        if let Some(process) = &mut self.process {
            process.stop_requested.get_or_insert(now);
        }
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(process) = &mut self.process {
            process.killed = true;
        }
        self.signal(Signal::SIGKILL);
    }

    /// Kills the process and waits for its end, which is no part of the history.
    pub fn abandon(&mut self) {
        self.process = None;
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&mut self) {
        if let Some(process) = &mut self.process {
            process.paused = true;
        }
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process, which was paused for this time. The time is added to that in which a
    /// planned stop must end.
    pub fn resume(&mut self, paused: Millis) {
        if let Some(process) = &mut self.process {
            process.paused = false;
            process.paused_total += paused;
        }
        self.signal(Signal::SIGCONT);
    }

    /// Makes the process reload its settings with SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            // An error means that the process has already ended, which `reap` reports.
            let _ = kill(Pid::from_raw(process.child.id() as i32), signal);
        }
    }

    /// Returns the exit if the process has ended. Kills it if a planned stop takes too long.
    pub fn reap(&mut self, now: Millis) -> Option<Exit> {
        let process = self.process.as_mut()?;
        let status = match processes::try_wait(&mut process.child) {
            Ok(Some(status)) => Some(status),
            Ok(None) => None,
            Err(_) => return None,
        };
        let limit = STOP_TIMEOUT + STOP_MARGIN + process.paused_total;
        let overdue = !process.paused
            && process
                .stop_requested
                .is_some_and(|at| now.since(at) > limit);
        if status.is_none() && !overdue {
            return None;
        }
        let mut process = self.process.take()?;
        if status.is_none() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let lines = process.reader.take()?.join();
        let lines = lines.unwrap_or_else(|_| LogSummary {
            malformed: Some("the thread that reads its output panicked".to_string()),
            ..LogSummary::default()
        });
        let problem = match status {
            None => Some(format!("still running {STOP_TIMEOUT} after SIGTERM")),
            Some(status) => exit_problem(status, &process, &lines),
        };
        let malformed = lines
            .malformed
            .map(|l| format!("a log line is not a JSON object: {l}"));
        Some(Exit {
            daemon: self.number,
            at: now,
            lines: lines.count,
            delayed: lines.delayed,
            problem: problem.or(malformed.filter(|_| !process.killed)),
        })
    }
}

/// What is wrong with the end of a process; nothing is expected of one that was killed.
fn exit_problem(status: ExitStatus, process: &Process, lines: &LogSummary) -> Option<String> {
    match (process.killed, process.stop_requested, status.code()) {
        (true, _, _) => None,
        (false, Some(_), Some(0)) => None,
        // SIGTERM ended the process before it listened, so there was nothing to stop as planned.
        (false, Some(_), None) if lines.count == 0 && lines.malformed.is_none() => None,
        (false, Some(_), _) => Some(format!("a planned stop ended with {status}")),
        (false, None, _) => Some(format!("ended without a request, with {status}")),
    }
}

/// Copies the output to the log file until its end.
fn copy_output(out: ChildStdout, mut file: fs::File) -> LogSummary {
    let mut lines = LogSummary::default();
    for line in BufReader::new(out).lines() {
        let Ok(line) = line else { break };
        lines.count += 1;
        match serde_json::from_str(&line) {
            Ok(fields) => lines.delayed.extend(delayed_job(&fields)),
            Err(_) => drop(lines.malformed.get_or_insert_with(|| line.clone())),
        }
        if writeln!(file, "{line}").is_err() {
            break;
        }
    }
    lines
}

/// The job of a line that says that a task waits for a start without an answer.
fn delayed_job(fields: &serde_json::Map<String, serde_json::Value>) -> Option<JobId> {
    let why = fields.get("why")?.as_str()?;
    let job = fields.get("job").filter(|_| why.contains(DELAYED))?;
    job.as_str()?.parse().ok()
}
