//! Fault injection: random faults of daemons from a seed, and an outage of the platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fakes::fault::Fault;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;

use crate::site::Site;

/// Pause between two faults of daemons, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 1_000..3_000;

/// Time that a daemon stays dead or frozen, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 300..4_000;

/// Number of faults of daemons by kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Daemons killed and restarted on the same VM.
    pub killed: u64,
    /// Daemons frozen and resumed.
    pub frozen: u64,
    /// Daemons killed and replaced on a new VM.
    pub replaced: u64,
}

/// Injects faults of daemons, one at a time, until `done` is set.
pub async fn inject_daemon_faults(
    site: Rc<RefCell<Site>>,
    seed: u64,
    done: Rc<Cell<bool>>,
) -> Counts {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut counts = Counts::default();
    while !done.get() {
        pause(rng.random_range(FAULT_PAUSE_MS)).await;
        let victim = rng.random_range(0..site.borrow().len());
        let downtime = rng.random_range(DOWNTIME_MS);
        match rng.random_range(0..3) {
            0 => {
                site.borrow_mut().kill(victim);
                pause(downtime).await;
                site.borrow_mut().restart(victim).expect("daemon starts");
                counts.killed += 1;
            }
            1 => {
                site.borrow().signal(victim, Signal::SIGSTOP);
                pause(downtime).await;
                site.borrow().signal(victim, Signal::SIGCONT);
                counts.frozen += 1;
            }
            _ => {
                site.borrow_mut().kill(victim);
                pause(downtime).await;
                site.borrow_mut().replace(victim).expect("daemon starts");
                counts.replaced += 1;
            }
        }
    }
    counts
}

/// Makes the platform refuse calls from 40 % to 60 % of the load's duration.
pub async fn inject_outage(site: Rc<RefCell<Site>>, load: Duration) {
    actix_rt::time::sleep(load * 2 / 5).await;
    site.borrow().platform.set_fault(Fault::Refuse);
    actix_rt::time::sleep(load / 5).await;
    site.borrow().platform.set_fault(Fault::Up);
}

async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}
