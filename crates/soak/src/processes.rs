//! Processes of daemons, none of which may outlive the soak, however it ends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::panic;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::mpsc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;

use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Ids of running processes, with the seeds of their runs; `None` once the soak ends and no more may start.
static RUNNING: Mutex<Option<BTreeMap<u32, u64>>> = Mutex::new(Some(BTreeMap::new()));

fn running() -> MutexGuard<'static, Option<BTreeMap<u32, u64>>> {
    RUNNING.lock().unwrap_or_else(|e| e.into_inner())
}

/// Starts a process of a run with this seed.
pub fn start(command: &mut Command, seed: u64) -> io::Result<Child> {
    // The lock is held, so that no process starts that `kill_all` does not see.
    let mut running = running();
    let Some(ids) = &mut *running else {
        return Err(io::Error::other("the soak is ending"));
    };
    let child = command.spawn()?;
    ids.insert(child.id(), seed);
    Ok(child)
}

/// Exit status of a process that has ended; `None` while it runs.
pub fn try_wait(child: &mut Child) -> io::Result<Option<ExitStatus>> {
    // The lock is held, so that no signal goes to a later process of the same id.
    let mut running = running();
    let status = child.try_wait()?;
    if let (Some(ids), Some(_)) = (&mut *running, status) {
        ids.remove(&child.id());
    }
    Ok(status)
}

/// Signals a process. Returns false if it has ended.
pub fn send(id: u32, signal: Signal) -> bool {
    let running = running();
    let known = running.as_ref().is_some_and(|ids| ids.contains_key(&id));
    known && kill(Pid::from_raw(id as i32), signal).is_ok()
}

/// Kills a process, and waits until it has ended.
pub fn end(child: &mut Child) {
    let mut running = running();
    // Errors mean that the process has already ended.
    let _ = child.kill();
    let _ = child.wait();
    if let Some(ids) = &mut *running {
        ids.remove(&child.id());
    }
}

/// Kills all processes that this program started and that still run, and lets no more start. Returns the seeds
/// of their runs.
fn kill_all() -> BTreeSet<u64> {
    let ids = running().take().unwrap_or_default();
    for id in ids.keys() {
        // An error means that the process has already ended.
        let _ = kill(Pid::from_raw(*id as i32), Signal::SIGKILL);
    }
    ids.into_values().collect()
}

/// Kills all daemons and exits with code 1.
fn exit(reason: &str) -> ! {
    let seeds = kill_all();
    eprintln!("ended by {reason} with daemons of seeds {seeds:?}, which were killed");
    std::process::exit(1);
}

/// Kills all daemons and exits with code 1 on SIGTERM or SIGINT. Fails if the signals cannot be received.
pub fn kill_daemons_on_signal() -> io::Result<()> {
    let (installed, result) = mpsc::channel();
    thread::Builder::new().spawn(move || {
        actix_rt::System::new().block_on(async {
            let signals = signal(SignalKind::terminate())
                .and_then(|terminate| Ok((terminate, signal(SignalKind::interrupt())?)));
            let (mut terminate, mut interrupt) = match signals {
                Ok(signals) => signals,
                Err(error) => return drop(installed.send(Err(error))),
            };
            drop(installed.send(Ok(())));
            tokio::select! {
                _ = terminate.recv() => exit("SIGTERM"),
                _ = interrupt.recv() => exit("SIGINT"),
            }
        })
    })?;
    let ended = |_| io::Error::other("the thread that receives signals ended");
    result.recv().map_err(ended)?
}

/// Kills all daemons and exits with code 1 on a panic of any thread, also one that would not end the program.
pub fn kill_daemons_on_panic() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        report(info);
        exit("a panic");
    }));
}
