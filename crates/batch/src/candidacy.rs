//! Which daemon should coordinate: how long a candidate defers to others, and when a coordinator
//! hands over.
//!
//! Load pattern: the VMs of a site differ by a factor of four or more, and a coordinator's work
//! grows with the workers. A small VM that wins the lock falls behind on its first calls, its lease
//! expires, and the next small VM does the same. So candidates try in the order of their capacity,
//! a weaker one only once the stronger ones have had time to, and a coordinator that falls behind
//! hands over before its lease expires.

use base::Bytes;
use base::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Processor cores that a coordinator needs for each worker at full load.
const CORES_PER_WORKER: f64 = 0.000_3;

/// Memory that a daemon needs before it coordinates anything.
const BASE_MEMORY: Bytes = Bytes(40_000_000);

/// Memory that a coordinator needs for each worker.
const MEMORY_PER_WORKER: Bytes = Bytes(80_000);

/// Bandwidth in Mbit/s that a coordinator needs for each worker.
const BANDWIDTH_PER_WORKER: f64 = 0.012;

/// Deferral of a candidate for each halving of its capacity relative to the strongest one.
const DEFERRAL_PER_HALVING: Millis = Millis(350);

/// Longest deferral to stronger candidates.
const MAX_DEFERRAL: Millis = Millis(900);

/// Deferral of a candidate that has recently handed over because it fell behind.
const SLOW_DEFERRAL: Millis = Millis(900);

/// Time for which a daemon that fell behind defers to the others.
const SLOW_TIME: Millis = Millis(15_000);

/// Factor by which another daemon's capacity must be larger for a planned hand-over.
const STRONGER_FACTOR: f64 = 1.5;

/// Time as coordinator before a hand-over to a stronger daemon. By then all daemons that started
/// together are listed.
const SETTLE_TIME: Millis = Millis(4_000);

/// Shortest time between two planned hand-overs by one daemon. A stronger daemon that is listed but
/// cannot reach the store does not take over.
const HANDOVER_PAUSE: Millis = Millis(30_000);

/// Delay of the event loop from which the daemon counts as late.
const LATE: Millis = Millis(300);

/// Consecutive late probes after which a coordinator has fallen behind.
const LATE_PROBES: u32 = 4;

/// Resources of a VM that its daemon may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Capacity {
    /// Processor cores, as a fraction.
    pub cores: f64,
    /// Memory of the process.
    pub memory: Bytes,
    /// Bandwidth of the network link in Mbit/s.
    pub bandwidth: f64,
}

impl Capacity {
    /// Number of workers that a coordinator on the VM can serve at full load. The scarcest resource
    /// decides.
    pub fn workers(&self) -> f64 {
        let memory = (self.memory - BASE_MEMORY).0 as f64 / MEMORY_PER_WORKER.0 as f64;
        let cores = self.cores / CORES_PER_WORKER;
        cores.min(memory).min(self.bandwidth / BANDWIDTH_PER_WORKER)
    }
}

/// Time that a candidate waits before it tries to take a free lock. `others` are the daemons known
/// to it; a daemon that does not know any yet assumes that a stronger one exists if it could not
/// serve `usual` workers.
pub fn deferral(own: &Capacity, others: &[Capacity], usual: f64) -> Millis {
    let strongest = match others.is_empty() {
        true => usual,
        false => others.iter().map(Capacity::workers).fold(0.0, f64::max),
    };
    let ratio = strongest / own.workers().max(1.0);
    if ratio < STRONGER_FACTOR {
        return Millis::ZERO;
    }
    let delay = DEFERRAL_PER_HALVING.0 as f64 * ratio.log2();
    Millis(delay as u64).min(MAX_DEFERRAL)
}

/// Why a coordinator hands over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandoverReason {
    /// Its event loop runs late.
    Behind,
    /// A stronger daemon is there.
    Stronger,
}

/// A daemon's observations of itself and of the others, from which hand-overs are decided.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Handover {
    late_probes: u32,
    behind_at: Option<Millis>,
    last: Option<Millis>,
}

impl Handover {
    /// Records by how much a timer of the event loop fired late.
    pub fn record_delay(&mut self, late: Millis) {
        self.late_probes = match late >= LATE {
            true => self.late_probes + 1,
            false => 0,
        };
    }

    /// Whether and why a coordinator elected at `elected` hands over now to one of `others`.
    pub fn decide(
        &mut self,
        own: &Capacity,
        others: &[Capacity],
        elected: Millis,
        now: Millis,
    ) -> Option<HandoverReason> {
        let paused = self.last.is_some_and(|at| now.since(at) < HANDOVER_PAUSE);
        if paused {
            return None;
        }
        let strongest = others.iter().map(Capacity::workers).fold(0.0, f64::max);
        let own_workers = own.workers();
        let reason = if self.late_probes >= LATE_PROBES
            && strongest * STRONGER_FACTOR >= own_workers
        {
            self.behind_at = Some(now);
            HandoverReason::Behind
        } else if now.since(elected) >= SETTLE_TIME && strongest >= own_workers * STRONGER_FACTOR {
            HandoverReason::Stronger
        } else {
            return None;
        };
        self.last = Some(now);
        self.late_probes = 0;
        Some(reason)
    }

    /// Additional deferral of a daemon that has recently fallen behind as coordinator.
    pub fn deferral(&self, now: Millis) -> Millis {
        let recent = self.behind_at.is_some_and(|at| now.since(at) < SLOW_TIME);
        match recent {
            true => SLOW_DEFERRAL,
            false => Millis::ZERO,
        }
    }
}
