//! Holds processes back to a share of a core, by stopping and continuing them.

use std::sync::Mutex;
use std::sync::Once;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;

use crate::processes;

/// Time in which each process runs once, for its share.
const PERIOD: Duration = Duration::from_millis(100);

/// Precision of the shares.
const TICK: Duration = Duration::from_millis(1);

/// The starts of processes are spread over the period by steps of this part of it, the golden section.
const PHASE_STEP: f64 = 0.618_034;

/// A process that is held back.
struct Turn {
    id: u32,
    share: f64,
    /// Part of the period after which it runs.
    phase: f64,
    stopped: bool,
}

static TURNS: Mutex<Vec<Turn>> = Mutex::new(Vec::new());

static STARTED: Once = Once::new();

/// Lets a process run for this share of the time, until it ends.
pub fn start(id: u32, share: f64) {
    let mut turns = TURNS.lock().unwrap_or_else(|e| e.into_inner());
    turns.retain(|turn| turn.id != id);
    turns.push(Turn {
        id,
        share,
        phase: (f64::from(id) * PHASE_STEP).fract(),
        stopped: false,
    });
    STARTED.call_once(|| drop(thread::spawn(run)));
}

fn run() {
    let started = Instant::now();
    loop {
        thread::sleep(TICK);
        let periods = started.elapsed().as_secs_f64() / PERIOD.as_secs_f64();
        let mut turns = TURNS.lock().unwrap_or_else(|e| e.into_inner());
        turns.retain_mut(|turn| {
            let stopped = (periods + turn.phase).fract() >= turn.share;
            if stopped == turn.stopped {
                return true;
            }
            turn.stopped = stopped;
            processes::send(
                turn.id,
                if stopped {
                    Signal::SIGSTOP
                } else {
                    Signal::SIGCONT
                },
            )
        });
    }
}
