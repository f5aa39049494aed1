//! Time limits set by the deployment, and those derived from them.

use base::Millis;

/// Time limits and factors of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Longest time that a worker keeps running tasks after its lease was last renewed.
    pub max_hold: Millis,
    /// Longest time that a worker takes to stop a task.
    pub stop_grace: Millis,
    /// Time within which a job of priority 0 that is covered by its organisation's guarantee must
    /// start.
    pub reclaim: Millis,
    /// Time after which a configuration change is in force everywhere.
    pub config_apply: Millis,
    /// Time after which no task starts on a worker that is draining.
    pub drain: Millis,
    /// Time after which no task starts in a failure domain that was taken out of service.
    pub evacuate: Millis,
    /// Time after which no task of a cancelled job starts.
    pub cancel: Millis,
    /// Interval at which a worker rewrites its own entry in the store.
    pub heartbeat: Millis,
    /// Time after which a disruption counts as over. The room of a worker that has shrunk counts from this
    /// time and one heartbeat on.
    pub contact: Millis,
    /// Time for which callers can ask for the state of an ended job.
    pub status: Millis,
    /// Factor by which a task is slower on a rack other than that of its data.
    pub remote_factor: u64,
    /// Time after which a changed processor share of a best-effort task is in force.
    pub pace: Millis,
    /// Longest time for which best-effort tasks may push a serving task over its latency target.
    pub harm: Millis,
    /// Shortest lease that the store grants.
    pub min_ttl: Millis,
}

/// Time limits derived from [`Bounds`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DerivedBounds {
    /// Length of the lease that each renewal gives to a worker.
    pub worker_lease: Millis,
    /// Length of the lease on the coordinator's lock.
    pub lock_lease: Millis,
    /// Time for which a coordinator that cannot reach the store keeps renewing workers' leases.
    pub offline_renewal: Millis,
    /// Longest wait of one poll of a worker.
    pub poll_wait: Millis,
    /// Longest wait of one poll of a worker on which best-effort tasks may disturb serving ones.
    pub shared_wait: Millis,
    /// Time for which changes of workers' entries are gathered between two watch calls.
    pub gather_time: Millis,
    /// Longest wait of one watch call to the store. What a watch returns is known to be current as of
    /// when it was sent, so until the next one returns, the state is up to twice as old.
    pub watch_wait: Millis,
    /// Longest wait of one watch call of the coordinator on the workers' entries.
    pub worker_wait: Millis,
    /// Greatest ages of the state on which a start depends.
    pub start_ages: StartAges,
    /// Time between two removals of records that are no longer needed.
    pub expire_interval: Millis,
}

/// Greatest ages, when a start is sent, of the state on which it depends: the time since that state
/// was known to be current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartAges {
    /// Age of the operators' documents.
    pub documents: Millis,
    /// Age of the operators' documents where organisations have limits, which may have been lowered.
    pub limits: Millis,
    /// Age of the list of workers: the time since it was known that no entry has changed.
    pub workers: Millis,
    /// Age of the worker's own entry: the time since it may have been written.
    pub entry: Millis,
    /// Age of the callers' requests.
    pub requests: Millis,
}

/// Time-out of a request to a worker, which answers within a few milliseconds. The reading of the
/// worker's clock in a response is at most this old.
pub const REQUEST_TIMEOUT: Millis = Millis(500);

/// Longest time from when a call without an answer is sent until it is carried out, if it ever is. The
/// platform's workers carry such calls out 2 to 12 s late.
pub const CALL_LIFE: Millis = Millis(12_000);

/// Time to notice the end of a stopped run and start its successor, beside the grace period.
pub(crate) const STOP_TURNAROUND: Millis = Millis(700);

/// Time from the decision on a start until the worker has begun it, at most, with a second attempt.
const START_TIME: Millis = Millis(600);

/// Longest lease on the lock, unless the store's minimum is longer. A crashed coordinator is
/// replaced after this time. It leaves time for a renewal at a slow store after one was lost.
const MAX_LOCK_LEASE: Millis = Millis(1_200);

/// Longest worker lease. It outlasts a change of coordinator (expiry of the lock, election and a
/// read of the store). The tasks of a lost worker start elsewhere once it has expired.
const MAX_WORKER_LEASE: Millis = Millis(5_000);

/// Longest wait of one poll. An unreachable worker is noticed after this time.
const MAX_POLL_WAIT: Millis = Millis(1_000);

/// Most watch calls on the workers' entries within one heartbeat, the period of their writes.
const WATCHES_PER_HEARTBEAT: u64 = 6;

/// Wait of a watch in percent of [`Bounds::config_apply`]. Within that time there is room for two
/// watches and for one that gets no answer.
const WATCH_PERCENT: u64 = 30;

/// Wait of a watch on the workers' entries in percent of their greatest age. Twice that leaves time
/// for the responses.
const WAIT_PERCENT: u64 = 40;

/// Shortest wait of a watch; a shorter one costs the store more calls than it gains.
const MIN_WATCH_WAIT: Millis = Millis(200);

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Millis = Millis(1_000);

/// Longest time between two removals of records that are no longer needed.
const MAX_EXPIRE_INTERVAL: Millis = Millis(10_000);

/// Polls within [`Bounds::harm`]: enough to halve the share of best-effort tasks until they are
/// suspended.
const SHARED_POLLS: u64 = 16;

impl Bounds {
    /// Computes the limits that follow from these, each capped by a maximum of this crate.
    pub fn derive(&self) -> DerivedBounds {
        let gather_time = Millis(self.heartbeat.0 / WATCHES_PER_HEARTBEAT);
        let watch_wait = Millis(self.config_apply.0 * WATCH_PERCENT / 100).min(MAX_WATCH_WAIT);
        let start_ages = StartAges {
            documents: self.evacuate.since(START_TIME),
            limits: self.evacuate.min(self.config_apply).since(START_TIME),
            workers: self.drain.since(START_TIME),
            entry: (self.contact + self.heartbeat).since(START_TIME),
            requests: self.cancel.since(START_TIME),
        };
        // The entries are up to twice as old as the wait, and older by the time to gather changes.
        let worker_wait = Millis(start_ages.workers.since(gather_time).0 * WAIT_PERCENT / 100);
        DerivedBounds {
            worker_lease: MAX_WORKER_LEASE.min(Millis(self.max_hold.0 * 9 / 10)),
            lock_lease: MAX_LOCK_LEASE.max(self.min_ttl),
            // Tasks survive an outage of the store of this length.
            offline_renewal: self.max_hold,
            poll_wait: MAX_POLL_WAIT.min(Millis(self.max_hold.0 / 4)),
            shared_wait: Millis(self.harm.0 / SHARED_POLLS).min(MAX_POLL_WAIT),
            gather_time,
            watch_wait,
            worker_wait: worker_wait.max(MIN_WATCH_WAIT).min(watch_wait),
            start_ages,
            expire_interval: MAX_EXPIRE_INTERVAL.min(Millis(self.status.0 / 2)),
        }
    }
}

/// Upper bound, on the coordinator's clock, of a span measured on a worker's clock, which may run
/// 2% slow.
pub fn with_clock_drift(span: Millis) -> Millis {
    Millis(span.0 + span.0 / 40 + CLOCK_SLACK.0)
}

/// Rounding and scheduling delay when two clocks are compared.
const CLOCK_SLACK: Millis = Millis(50);
