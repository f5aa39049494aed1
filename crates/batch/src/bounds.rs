//! Times that the deployment sets, and those derived from them.

use base::Millis;

/// The deployment's own bounds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Longest time that a worker keeps running without a renewed lease.
    pub max_hold: Millis,
    /// Longest time that a worker takes to stop a task.
    pub stop_grace: Millis,
    /// Time in which a job of the highest priority within its guarantee begins.
    pub reclaim: Millis,
    /// Time in which a configuration is in force everywhere.
    pub config_apply: Millis,
    /// Period of a worker's own entry in the store.
    pub heartbeat: Millis,
    /// Time for which the state of an ended job stays known.
    pub status: Millis,
    /// How many times as long a task takes away from its data.
    pub remote_factor: u64,
    /// Time after which a changed pace of a task is in force.
    pub pace: Millis,
    /// Time for which tasks that fill may keep a serving task over its target.
    pub harm: Millis,
    /// Shortest lease that the store grants.
    pub min_ttl: Millis,
}

/// Times derived from the [`Bounds`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Derived {
    /// Lease that each renewal gives to what runs on a worker.
    pub hold: Millis,
    /// Lease of the coordinator's lock.
    pub lock: Millis,
    /// Time for which a coordinator without the store goes on renewing workers' leases.
    pub tail: Millis,
    /// Longest wait of one look at a worker.
    pub look: Millis,
    /// The same, where tasks that fill may disturb others.
    pub shared: Millis,
    /// Longest wait of one watch of the store; with its time-out a view is at most twice as old.
    pub watch: Millis,
}

/// Time-out of an order to a worker, which answers within a few milliseconds. A reading of its
/// clock in the answer is at most as old.
pub const ORDER_TIMEOUT: Millis = Millis(500);

/// Longest lock lease: a crashed coordinator is replaced after this time.
const LOCK_MAX: Millis = Millis(1_500);

/// Longest lease of a worker's tasks. It outlives a change of coordinator (the lock's lease, an
/// election and a read of the store); tasks of a lost worker start elsewhere after it.
const HOLD_MAX: Millis = Millis(5_000);

/// Longest wait of one look at a worker; an unreachable worker is noticed after it.
const LOOK_MAX: Millis = Millis(1_000);

/// Looks within the bound on the harm of tasks that fill: enough to halve their share until they
/// are held.
const SHARED_LOOKS: u64 = 16;

impl Bounds {
    /// The times that follow.
    pub fn derive(&self) -> Derived {
        Derived {
            hold: HOLD_MAX.min(Millis(self.max_hold.0 * 9 / 10)),
            lock: LOCK_MAX.max(self.min_ttl),
            // Tasks outlive an outage of the store of this length.
            tail: self.max_hold,
            look: LOOK_MAX.min(Millis(self.max_hold.0 / 4)),
            shared: Millis(self.harm.0 / SHARED_LOOKS).min(LOOK_MAX),
            watch: Millis(self.config_apply.0 / 2).min(Millis(1_000)),
        }
    }
}

/// Upper bound by our clock of a span on a worker's clock, which may be 2% slow.
pub fn stretched(span: Millis) -> Millis {
    Millis(span.0 + span.0 / 40 + SLACK.0)
}

/// Rounding and scheduling delay when two clocks are compared, in milliseconds.
const SLACK: Millis = Millis(50);
