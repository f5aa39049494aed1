//! The seeded schedule of faults.

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
const PAUSE: std::ops::Range<u64> = 1_000..3_000;

/// How long a daemon is dead or frozen, in milliseconds.
const GONE: std::ops::Range<u64> = 300..4_000;

/// How often faults of daemons were brought about.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Killed and started again on the same VM.
    pub killed: u64,
    /// Frozen and woken.
    pub frozen: u64,
    /// Killed and replaced on a new VM.
    pub replaced: u64,
}

/// Brings about one fault of a daemon after the other until `done`.
pub async fn daemons(site: Rc<RefCell<Site>>, seed: u64, done: Rc<Cell<bool>>) -> Counts {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut counts = Counts::default();
    while !done.get() {
        pause(rng.random_range(PAUSE)).await;
        let victim = rng.random_range(0..site.borrow().len());
        let gone = rng.random_range(GONE);
        match rng.random_range(0..3) {
            0 => {
                site.borrow_mut().kill(victim);
                pause(gone).await;
                site.borrow_mut().restart(victim).expect("a daemon");
                counts.killed += 1;
            }
            1 => {
                site.borrow().signal(victim, Signal::SIGSTOP);
                pause(gone).await;
                site.borrow().signal(victim, Signal::SIGCONT);
                counts.frozen += 1;
            }
            _ => {
                site.borrow_mut().kill(victim);
                pause(gone).await;
                site.borrow_mut().replace(victim).expect("a daemon");
                counts.replaced += 1;
            }
        }
    }
    counts
}

/// Takes the platform down from 40 to 60 percent of the load's time.
pub async fn outage(site: Rc<RefCell<Site>>, load: Duration) {
    actix_rt::time::sleep(load * 2 / 5).await;
    site.borrow().platform.set_fault(Fault::Refuse);
    actix_rt::time::sleep(load / 5).await;
    site.borrow().platform.set_fault(Fault::Up);
}

async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}
