//! Equips a site: places, speeds and bounds of its workers, and its configuration.

use std::io;

use base::JobId;
use base::Millis;
use batch::Submission;
use platform_fakes::FakeStore;
use platform_fakes::FakeWorker;
use platform_fakes::FakeWorkerPool;
use serde::Deserialize;

use crate::history::Owned;
use crate::site::DaemonHandle;
use crate::site::Site;
use crate::traffic::Traffic;
use crate::Plan;

/// Speeds of the workers in turn, in thousandths of what the steps' estimates are made for.
const SPEEDS: [u64; 3] = [1_000, 600, 1_500];

/// Versions of the configuration differ in up to so many queues that nobody calls.
const IDLE_QUEUES: u64 = 8;

/// Value of the coordinator's lock in the store.
#[derive(Deserialize)]
struct LockHolder {
    vm: String,
}

/// Prepares the store and the workers of a traffic.
pub fn prepare(traffic: &Traffic, store: &FakeStore, pool: &FakeWorkerPool) {
    configure(traffic, store, 1);
    store.limit_reads(traffic.store_reads());
    pool.set_bounds(traffic.worker_bounds());
}

/// Writes a version of the configuration of a traffic.
pub fn configure(traffic: &Traffic, store: &FakeStore, version: u64) {
    let idle = (version % IDLE_QUEUES) as usize;
    store.configure_site(version, &traffic.queues(), &traffic.organisations(), idle);
}

/// Starts a worker.
pub fn worker(plan: &Plan, pool: &FakeWorkerPool, num: usize) -> io::Result<FakeWorker> {
    let domain = plan.traffic.as_ref().map_or(num % 2, |t| t.domain(num));
    let worker = pool.worker(&format!("w{num}"), &format!("d{domain}"))?;
    match &plan.traffic {
        Some(traffic) => {
            worker.set_speed(traffic.speed(num));
            worker.set_rack(&traffic.rack(num));
            worker.set_capacity(traffic.capacity());
        }
        // The longest tasks must end in time wherever they are started last.
        None if plan.reborn => {}
        None => worker.set_speed(SPEEDS[num % SPEEDS.len()]),
    }
    Ok(worker)
}

/// The most memory that daemons have used, and what they may use.
pub fn memory(daemons: &[DaemonHandle]) -> Vec<(usize, u64, u64)> {
    let daemons = daemons.iter().enumerate();
    let used = daemons.filter_map(|(num, handle)| {
        let (used, most) = handle.daemon.memory()?;
        Some((num, used, most))
    });
    used.collect()
}

impl Site {
    /// Registers a job of a traffic with the workers and records it in the history.
    pub fn register_owned(
        &self,
        id: &JobId,
        submission: &Submission,
        work: Vec<Vec<Millis>>,
        owned: Owned,
    ) {
        self.pool.set_work(id, work);
        self.register(id, submission, false);
        self.history.borrow_mut().owned.insert(id.clone(), owned);
    }

    /// Number of the daemon that holds the coordinator's lock.
    pub fn coordinator(&self) -> Option<usize> {
        let lock = self.store.value("bronzetack/lock")?;
        let holder: LockHolder = ciborium::from_reader(&*lock).ok()?;
        (0..self.daemon_count()).find(|num| holder.vm == format!("e{num}"))
    }

    /// Process of a daemon.
    pub fn process_id(&self, num: usize) -> Option<u32> {
        self.daemons.borrow()[num].daemon.process_id()
    }
}
