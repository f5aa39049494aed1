//! A daemon as a process of its own: started, signalled, and read from outside.

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
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::thread::JoinHandle;

use base::Millis;
use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Time in which a planned stop ends, as the settings say.
pub const STOP: Millis = Millis(6_000);

/// What may come on top of it until the process is seen to be gone.
const STOP_SLACK: Millis = Millis(500);

/// The end of a process.
#[derive(Clone, Debug)]
pub struct Exit {
    /// Number of the daemon.
    pub daemon: usize,
    /// When it was seen.
    pub at: Millis,
    /// Lines that it has logged.
    pub lines: usize,
    /// What was wrong with it.
    pub wrong: Option<String>,
}

/// Where a daemon listens and what it connects to.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question.
    pub ready: SocketAddr,
    /// For metrics.
    pub operators: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The adviser.
    pub adviser: SocketAddr,
    /// The service of machines.
    pub machines: SocketAddr,
}

/// Processes that are running, so that none outlives the soak.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(|e| e.into_inner())
}

/// Kills all processes that this program has started and that still run.
fn kill_all() {
    for id in std::mem::take(&mut *running()) {
        // One that has ended by itself needs no signal.
        let _ = kill(Pid::from_raw(id as i32), Signal::SIGKILL);
    }
}

/// From now on the daemons end with this program when a signal tells it to end.
pub fn end_on_signal() {
    thread::spawn(|| match wait_for_signal() {
        Ok(()) => {
            kill_all();
            std::process::exit(1);
        }
        Err(error) => eprintln!("signals are not handled: {error}"),
    });
}

fn wait_for_signal() -> io::Result<()> {
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}

/// A process.
struct Process {
    child: Child,
    reader: Option<JoinHandle<Lines>>,
    /// When a planned stop was asked for.
    stopping: Option<Millis>,
    /// Whether it has been killed.
    killed: bool,
    /// Whether it is paused now.
    paused: bool,
    /// Time for which it has been paused.
    rested: Millis,
}

/// A process that outlives its run would join whatever site gets its addresses next, so it ends
/// with its owner also when the run panics.
impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        running().remove(&self.child.id());
    }
}

/// What a process has logged.
#[derive(Default)]
struct Lines {
    count: usize,
    /// The first line that is not a JSON object.
    broken: Option<String>,
}

/// A daemon's place: its settings, and its process while there is one.
pub struct Daemon {
    number: usize,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

impl Daemon {
    /// Writes the settings; no process runs yet.
    pub fn new(number: usize, dir: &Path, addresses: &Addresses) -> io::Result<Daemon> {
        let daemon = Daemon {
            number,
            settings: dir.join(format!("e{number}.jsonc")),
            log: dir.join(format!("e{number}.log")),
            process: None,
        };
        fs::write(&daemon.settings, settings(number, addresses))?;
        Ok(daemon)
    }

    /// Whether a process runs or is paused.
    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Id of the process, if there is one.
    pub fn process(&self) -> Option<u32> {
        self.process.as_ref().map(|p| p.child.id())
    }

    /// Starts a process unless one is there.
    pub fn start(&mut self, program: &Path) -> io::Result<()> {
        if self.process.is_some() {
            return Ok(());
        }
        let mut child = Command::new(program)
            .arg("batch")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        running().insert(child.id());
        let out = child.stdout.take();
        let out = out.ok_or_else(|| io::Error::other("the process has no output"))?;
        let file = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        self.process = Some(Process {
            child,
            reader: Some(thread::spawn(move || read(out, file))),
            stopping: None,
            killed: false,
            paused: false,
            rested: Millis::ZERO,
        });
        Ok(())
    }

    /// Asks for a planned stop.
    pub fn stop(&mut self, now: Millis) {
        if let Some(process) = &mut self.process {
            process.stopping.get_or_insert(now);
        }
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(process) = &mut self.process {
            process.killed = true;
        }
        self.signal(Signal::SIGKILL);
    }

    /// Pauses the process.
    pub fn pause(&mut self) {
        if let Some(process) = &mut self.process {
            process.paused = true;
        }
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&mut self, paused: Millis) {
        if let Some(process) = &mut self.process {
            process.paused = false;
            process.rested += paused;
        }
        self.signal(Signal::SIGCONT);
    }

    /// Lets the process read its settings again.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            // The process may have ended by itself; `reap` reports that.
            let _ = kill(Pid::from_raw(process.child.id() as i32), signal);
        }
    }

    /// Looks whether the process has ended. One that takes too long over its stop is killed.
    pub fn reap(&mut self, now: Millis) -> Option<Exit> {
        let process = self.process.as_mut()?;
        let status = match process.child.try_wait() {
            Ok(Some(status)) => Some(status),
            Ok(None) => None,
            Err(_) => return None,
        };
        let bound = STOP + STOP_SLACK + process.rested;
        let late = !process.paused && process.stopping.is_some_and(|at| now.since(at) > bound);
        if status.is_none() && !late {
            return None;
        }
        let mut process = self.process.take()?;
        if status.is_none() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let lines = process.reader.take()?.join();
        let lines = lines.unwrap_or_else(|_| Lines {
            count: 0,
            broken: Some("its output could not be read".to_string()),
        });
        let wrong = match status {
            None => Some(format!("not gone {STOP} after SIGTERM")),
            Some(status) => wrong_end(status, &process, &lines),
        };
        let broken = lines.broken.map(|l| format!("a line is not JSON: {l}"));
        Some(Exit {
            daemon: self.number,
            at: now,
            lines: lines.count,
            wrong: wrong.or(broken.filter(|_| !process.killed)),
        })
    }
}

fn wrong_end(status: ExitStatus, process: &Process, lines: &Lines) -> Option<String> {
    match (process.killed, process.stopping, status.code()) {
        (true, _, _) => None,
        (false, Some(_), Some(0)) => None,
        // It had not begun to listen, so there was nothing to stop as planned.
        (false, Some(_), None) if lines.count == 0 && lines.broken.is_none() => None,
        (false, Some(_), _) => Some(format!("a planned stop ended with {status}")),
        (false, None, _) => Some(format!("ended by itself with {status}")),
    }
}

fn read(out: ChildStdout, mut file: fs::File) -> Lines {
    let mut lines = Lines::default();
    for line in BufReader::new(out).lines() {
        let Ok(line) = line else { break };
        lines.count += 1;
        let value: Result<serde_json::Map<_, _>, _> = serde_json::from_str(&line);
        if value.is_err() {
            lines.broken.get_or_insert_with(|| line.clone());
        }
        if writeln!(file, "{line}").is_err() {
            break;
        }
    }
    lines
}

fn settings(number: usize, addresses: &Addresses) -> String {
    let Addresses {
        callers,
        ready,
        operators,
        store,
        adviser,
        machines,
    } = addresses;
    let domain = number % 2;
    format!(
        r#"{{
  "vm": "e{number}", "domain": "d{domain}",
  "addresses": {{ "callers": "{callers}", "ready": "{ready}", "operators": "{operators}" }},
  "store": {{ "address": "{store}" }}, "adviser": "{adviser}",
  "machines": {{ "address": "{machines}", "orders": "60", "reads": "60" }},
  "bounds": {{
    "max-hold": "6s", "stop": "{}ms", "heartbeat": "300ms", "stop-grace": "400ms",
    "upkeep": "300ms", "handover": "500ms",
  }},
}}
"#,
        STOP.0
    )
}
