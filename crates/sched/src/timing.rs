//! Bounds of the coordinator, and switches that turn its safety mechanisms off for tests.

use base::Millis;

/// Time that a call may take on the network and in buffers, from sending to being carried
/// out or dropped.
const CALL_DELAY: Millis = Millis(1_000);
/// Time after which the coordinator stops waiting for the result of a call.
const CALL_WAIT: Millis = Millis(1_000);
/// Pause before the next call to a worker that did not answer.
const CALL_RETRY: Millis = Millis(250);
/// Lease of a reservation.
const HOLD_LEASE: Millis = Millis(1_000);
/// Lease of a started task until its whole gang runs.
const START_LEASE: Millis = Millis(2_000);
/// Lease of a task of a whole gang.
const RUN_LEASE: Millis = Millis(20_000);
/// Interval between renewals of a worker's tasks.
const RENEW_EVERY: Millis = Millis(6_000);
/// Shortest time between two calls to a worker only to see whether a young task ended.
const POLL_LEAST: Millis = Millis(500);
/// Time for all reservations of a gang to be granted.
const RESERVE_WITHIN: Millis = Millis(1_000);
/// Time for the record of the release to become durable.
const COMMIT_WITHIN: Millis = Millis(10_000);
/// Time for all tasks of a gang to run after their release.
const START_WITHIN: Millis = Millis(1_500);
/// Time for checkpoints before a stop.
const SAVE_WITHIN: Millis = Millis(10_000);
/// Silence of a worker after which the gangs on it are stopped.
const SILENT_AFTER: Millis = Millis(10_000);
/// Time that take-over waits for a silent worker.
const TAKEOVER_WITHIN: Millis = Millis(600);
/// Time after which the answer to a write counts as lost.
const WRITE_WAIT: Millis = Millis(3_000);
/// Pause before a write is repeated.
const WRITE_RETRY: Millis = Millis(500);
/// Writes a second of one failure domain.
const WRITES_PER_SEC: u64 = 40;

/// All bounds. The defaults suit the platform and fleet sizes of the design note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time that a call may take from sending to being carried out or dropped.
    pub call_delay: Millis,
    /// Wait for the result of a call.
    pub call_wait: Millis,
    /// Pause before the next call to a worker that did not answer.
    pub call_retry: Millis,
    /// Lease of a reservation.
    pub hold_lease: Millis,
    /// Lease of a started task until its whole gang runs.
    pub start_lease: Millis,
    /// Lease of a task of a whole gang.
    pub run_lease: Millis,
    /// Interval between renewals of a worker's tasks.
    pub renew_every: Millis,
    /// Shortest time between two calls only to see whether a young task ended.
    pub poll_least: Millis,
    /// Time for all reservations of a gang.
    pub reserve_within: Millis,
    /// Time for the record of the release.
    pub commit_within: Millis,
    /// Time for all tasks to run after the release.
    pub start_within: Millis,
    /// Time for checkpoints before a stop.
    pub save_within: Millis,
    /// Silence of a worker after which the gangs on it are stopped.
    pub silent_after: Millis,
    /// Time that take-over waits for a silent worker.
    pub takeover_within: Millis,
    /// Wait for the answer to a write.
    pub write_wait: Millis,
    /// Pause before a write is repeated.
    pub write_retry: Millis,
    /// Writes a second.
    pub write_rate: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            call_delay: CALL_DELAY,
            call_wait: CALL_WAIT,
            call_retry: CALL_RETRY,
            hold_lease: HOLD_LEASE,
            start_lease: START_LEASE,
            run_lease: RUN_LEASE,
            renew_every: RENEW_EVERY,
            poll_least: POLL_LEAST,
            reserve_within: RESERVE_WITHIN,
            commit_within: COMMIT_WITHIN,
            start_within: START_WITHIN,
            save_within: SAVE_WITHIN,
            silent_after: SILENT_AFTER,
            takeover_within: TAKEOVER_WITHIN,
            write_wait: WRITE_WAIT,
            write_retry: WRITE_RETRY,
            write_rate: WRITES_PER_SEC,
        }
    }
}

impl Timing {
    /// Longest time that a task may stay active after a former coordinator was deposed: one
    /// renewal sent just before and one sent late by a paused process.
    pub fn inherited(&self) -> Millis {
        self.run_lease + self.run_lease + self.call_delay
    }

    /// Longest time that part of a gang may run while another part does not, when `elections`
    /// coordinators were elected meanwhile.
    ///
    /// Each coordinator waits for a silent worker, and its last renewal of the others may be
    /// delayed.
    pub fn partial(&self, elections: u64) -> Millis {
        let wait = self.silent_after + self.takeover_within + self.call_wait;
        let waits = Millis(wait.0 * (elections + 1));
        waits + self.call_delay + self.run_lease
    }

    /// Longest time that part of a gang may run while another part was never started, under one
    /// coordinator.
    pub fn partial_start(&self) -> Millis {
        self.start_within + self.call_delay + self.start_lease
    }
}

/// Switches that turn mechanisms off, so that tests can show what each one is for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Start before the record of the release is durable.
    pub early_start: bool,
    /// Ignore the permit and the state of the failure domain.
    pub ignore_permit: bool,
    /// Give started tasks the long lease at once.
    pub long_start: bool,
    /// Start jobs again that may have run and cannot be repeated.
    pub restart_all: bool,
}
