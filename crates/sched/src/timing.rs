//! Time-outs, leases and rates of the coordinator, and switches that turn its safety mechanisms
//! off for tests.

use base::Millis;

/// Longest time that a call may spend in the network and in buffers before it is carried out or
/// dropped.
const CALL_LIFETIME: Millis = Millis(1_000);
/// Time-out for the result of a call.
const CALL_TIMEOUT: Millis = Millis(1_000);
/// Pause before the next call to a worker that did not answer.
const RETRY_PAUSE: Millis = Millis(250);
/// Lease of a reservation.
const RESERVE_LEASE: Millis = Millis(1_000);
/// Lease of a started task until its whole gang runs.
const START_LEASE: Millis = Millis(2_000);
/// Lease of a running task whose whole gang runs.
const RUN_LEASE: Millis = Millis(20_000);
/// Interval between renewals of a worker's tasks.
const RENEW_INTERVAL: Millis = Millis(6_000);
/// Shortest interval between calls that only check whether a young task has ended.
const MIN_POLL: Millis = Millis(500);
/// Time-out for all reservations of a gang to be granted.
const RESERVE_TIMEOUT: Millis = Millis(1_000);
/// Time-out for the release of a gang: its record must be durable and its start permitted.
const COMMIT_TIMEOUT: Millis = Millis(10_000);
/// Time-out for all tasks of a released gang to be running.
const START_TIMEOUT: Millis = Millis(1_500);
/// Time-out for the checkpoints before a stop.
const CHECKPOINT_TIMEOUT: Millis = Millis(10_000);
/// Time without an answer of a worker after which the gangs on it are stopped.
const SILENCE_TIMEOUT: Millis = Millis(10_000);
/// Longest time that take-over waits for workers to answer.
const TAKEOVER_TIMEOUT: Millis = Millis(600);
/// Time-out for the answer to a write.
const WRITE_TIMEOUT: Millis = Millis(3_000);
/// Pause before a write is repeated.
const WRITE_PAUSE: Millis = Millis(500);
/// Writes a second by the coordinator of one failure domain.
const WRITES_PER_SEC: u64 = 40;

/// Time-outs, leases and rates of the coordinator. The defaults suit the supported sizes of the
/// platform and of failure domains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Longest time from the sending of a call until it is carried out or dropped.
    pub call_lifetime: Millis,
    /// Time-out for the result of a call.
    pub call_timeout: Millis,
    /// Pause before the next call to a worker that did not answer.
    pub retry_pause: Millis,
    /// Lease of a reservation.
    pub reserve_lease: Millis,
    /// Lease of a started task until its whole gang runs.
    pub start_lease: Millis,
    /// Lease of a running task whose whole gang runs.
    pub run_lease: Millis,
    /// Interval between renewals of a worker's tasks.
    pub renew_interval: Millis,
    /// Shortest interval between calls that only check whether a young task has ended.
    pub min_poll: Millis,
    /// Time-out for all reservations of a gang to be granted.
    pub reserve_timeout: Millis,
    /// Time-out for the release of a gang: its record must be durable and its start permitted.
    pub commit_timeout: Millis,
    /// Time-out for all tasks of a released gang to be running.
    pub start_timeout: Millis,
    /// Time-out for the checkpoints before a stop.
    pub checkpoint_timeout: Millis,
    /// Time without an answer of a worker after which the gangs on it are stopped.
    pub silence_timeout: Millis,
    /// Longest time that take-over waits for workers to answer.
    pub takeover_timeout: Millis,
    /// Time-out for the answer to a write.
    pub write_timeout: Millis,
    /// Pause before a write is repeated.
    pub write_pause: Millis,
    /// Most writes a second, and in a burst.
    pub write_rate: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            call_lifetime: CALL_LIFETIME,
            call_timeout: CALL_TIMEOUT,
            retry_pause: RETRY_PAUSE,
            reserve_lease: RESERVE_LEASE,
            start_lease: START_LEASE,
            run_lease: RUN_LEASE,
            renew_interval: RENEW_INTERVAL,
            min_poll: MIN_POLL,
            reserve_timeout: RESERVE_TIMEOUT,
            commit_timeout: COMMIT_TIMEOUT,
            start_timeout: START_TIMEOUT,
            checkpoint_timeout: CHECKPOINT_TIMEOUT,
            silence_timeout: SILENCE_TIMEOUT,
            takeover_timeout: TAKEOVER_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            write_pause: WRITE_PAUSE,
            write_rate: WRITES_PER_SEC,
        }
    }
}

impl Timing {
    /// Longest time that a task may stay active after its coordinator was deposed: it may have sent
    /// one renewal just before, and a paused process may send another one late.
    pub fn max_inherited(&self) -> Millis {
        self.run_lease + self.run_lease + self.call_lifetime
    }

    /// Longest time that only part of a gang may run if `elections` coordinators were elected
    /// during it.
    ///
    /// Each coordinator waits for the worker that does not answer while it renews the leases on
    /// the others, and its last renewal may be delayed.
    pub fn max_partial(&self, elections: u64) -> Millis {
        let wait = self.silence_timeout + self.takeover_timeout + self.call_timeout;
        let waits = Millis(wait.0 * (elections + 1));
        waits + self.call_lifetime + self.run_lease
    }

    /// Longest time that only part of a gang may run if the rest of it was never started, under a
    /// single coordinator.
    pub fn max_partial_start(&self) -> Millis {
        self.start_timeout + self.call_lifetime + self.start_lease
    }
}

/// Switches that turn safety mechanisms off, so that tests can show which violation each of them
/// prevents. All are off in production.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SafetyOverrides {
    /// Start gangs before the record of the release is durable.
    pub early_start: bool,
    /// Start gangs without a permit, also while the lease of the lock may have expired.
    pub ignore_permit: bool,
    /// Start tasks with `run_lease` instead of `start_lease`.
    pub long_start: bool,
    /// Restart jobs that may have run and are not restartable.
    pub restart_all: bool,
}
