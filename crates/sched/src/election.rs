//! Leader election: acquires and renews the lock of the coordinator.

use base::Epoch;
use base::Millis;

/// Lease of the lock.
const LEASE: Millis = Millis(2_000);
/// Interval between renewals.
const RENEW_INTERVAL: Millis = Millis(500);
/// Time since the last renewal after which the holder no longer relies on the lease.
const SUSPECT_AFTER: Millis = Millis(1_400);
/// Time-out of a call to the platform.
const CALL_TIMEOUT: Millis = Millis(900);
/// Pause between attempts to acquire a free lock.
const RETRY_PAUSE: Millis = Millis(100);
/// Interval at which a standby reads the lock, in case its watch has stalled.
const READ_INTERVAL: Millis = Millis(5_000);

/// Intervals and time-outs of the lock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LockTiming {
    /// Time after which the platform frees the lock unless the holder renews it.
    pub lease: Millis,
    /// Interval between renewals.
    pub renew_interval: Millis,
    /// Time after which the lease may have expired, counted from when the last successful
    /// renewal was sent. Shorter than `lease` by more than the clocks drift apart within it.
    pub suspect_after: Millis,
    /// Time-out of a call; after it, the next call may be sent.
    pub call_timeout: Millis,
    /// Pause after a failed call, and least time between two calls.
    pub retry_pause: Millis,
    /// Interval at which a standby reads the lock.
    pub read_interval: Millis,
}

impl Default for LockTiming {
    fn default() -> LockTiming {
        LockTiming {
            lease: LEASE,
            renew_interval: RENEW_INTERVAL,
            suspect_after: SUSPECT_AFTER,
            call_timeout: CALL_TIMEOUT,
            retry_pause: RETRY_PAUSE,
            read_interval: READ_INTERVAL,
        }
    }
}

/// Inputs of the election.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LockInput {
    /// The current holder of the lock: result of `Acquire` or `Read`, or an update from the watch.
    Holder {
        /// The call answered; `None` for an update from the watch.
        call: Option<u64>,
        /// Epoch of the holder; `None` while the lock is free.
        epoch: Option<Epoch>,
        /// Whether this process is the holder.
        own: bool,
    },
    /// A call failed or was not answered.
    NoAnswer {
        /// Id of the call.
        call: u64,
    },
    /// Answer to `Renew`.
    Renewed {
        /// Id of the call.
        call: u64,
        /// Whether the lease was extended. If not, it has expired.
        alive: bool,
    },
    /// The process shuts down as planned: release the lock.
    Stop,
    /// Time has passed. The host sends one at least every 50 ms.
    Tick,
}

/// Actions for the host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LockAction {
    /// Create the lock key under a lease if the key does not exist, and answer with `Holder`,
    /// whether or not this call created it. The epoch is the key's create revision. A repeated
    /// call uses the lease of the first one as long as that exists.
    Acquire {
        /// Id of the call.
        call: u64,
        /// Duration of the lease.
        lease: Millis,
    },
    /// Whether the lease may have expired; sent on every change.
    Suspect(bool),
    /// The lock was acquired under this epoch.
    Elected(Epoch),
    /// The lock is no longer held.
    Lost,
    /// Read the lock key; answer with `Holder`.
    Read {
        /// Id of the call.
        call: u64,
    },
    /// Revoke the lease.
    Release,
    /// Renew the lease on a connection used for nothing else; answer with `Renewed`.
    Renew {
        /// Id of the call.
        call: u64,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Another process holds the lock, or nothing is known yet.
    Standby,
    /// The lock is free according to the last answer or update.
    Free,
    /// This process holds the lock.
    Held {
        epoch: Epoch,
        /// When the last successful renewal was sent.
        renewed: Millis,
        /// Whether the lease may have expired.
        suspect: bool,
    },
    /// Released for a planned shutdown; no further calls are made.
    Stopped,
}

/// A call in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PendingCall {
    call: u64,
    sent: Millis,
}

/// Acquires the lock when it is free and renews it. At most one call is in flight.
#[derive(Clone, Debug)]
pub struct Election {
    timing: LockTiming,
    now: Millis,
    state: State,
    pending: Option<PendingCall>,
    last_call: u64,
    /// When the first `Acquire` since the lock was last held was sent. The lease was granted later.
    lease_requested: Option<Millis>,
    /// No call is sent before this time.
    next_call: Millis,
    actions: Vec<LockAction>,
}

impl Election {
    /// An election in standby. `jitter` delays its first call, so that many processes that
    /// start together do not call at once.
    pub fn new(timing: LockTiming, now: Millis, jitter: Millis) -> Election {
        Election {
            timing,
            now,
            state: State::Standby,
            pending: None,
            last_call: 0,
            lease_requested: None,
            next_call: now + jitter,
            actions: Vec::new(),
        }
    }

    /// The epoch of the lock, if held, even when its lease may have expired.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.state {
            State::Held { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Processes one input and returns the actions for the host. `now` is the time of the host's
    /// monotonic clock.
    pub fn step(&mut self, now: Millis, input: LockInput) -> Vec<LockAction> {
        self.now = self.now.max(now);
        self.check_lease();
        match input {
            LockInput::Holder { call, epoch, own } => self.handle_holder(call, epoch, own),
            LockInput::NoAnswer { call } => self.handle_failure(call),
            LockInput::Renewed { call, alive } => self.handle_renewed(call, alive),
            LockInput::Stop => self.stop(),
            LockInput::Tick => {}
        }
        self.check_lease();
        self.send_call();
        std::mem::take(&mut self.actions)
    }

    /// Reports the lease as suspect before it can expire in the platform. The time counts from
    /// when the renewal was sent, which is before the platform extended the lease.
    fn check_lease(&mut self) {
        let after = self.timing.suspect_after;
        if let State::Held {
            renewed, suspect, ..
        } = &mut self.state
        {
            let expiring = self.now >= *renewed + after;
            if expiring != *suspect {
                *suspect = expiring;
                self.actions.push(LockAction::Suspect(expiring));
            }
        }
    }

    /// Takes the call in flight if its id is `call`; answers to other calls are stale.
    fn take_pending(&mut self, call: u64) -> Option<PendingCall> {
        self.pending.take_if(|a| a.call == call)
    }

    fn handle_holder(&mut self, call: Option<u64>, epoch: Option<Epoch>, own: bool) {
        if call.is_some_and(|c| self.take_pending(c).is_none()) {
            return;
        }
        match (epoch, self.state) {
            (_, State::Stopped) => {}
            (Some(new), State::Held { epoch, .. }) if new <= epoch => {}
            (Some(new), _) if own => self.elect(new),
            (Some(_), _) => self.stand_by(),
            (None, _) => self.set_free(),
        }
    }

    /// Counts the lease from when it was first requested, which is before it was granted.
    fn elect(&mut self, epoch: Epoch) {
        self.report_lost();
        self.state = State::Held {
            epoch,
            renewed: self.lease_requested.take().unwrap_or_default(),
            suspect: false,
        };
        self.next_call = self.now;
        self.actions.push(LockAction::Elected(epoch));
    }

    fn stand_by(&mut self) {
        self.report_lost();
        self.state = State::Standby;
        self.next_call = self.now + self.timing.read_interval;
    }

    fn set_free(&mut self) {
        self.report_lost();
        self.state = State::Free;
        self.next_call = self.now;
    }

    fn report_lost(&mut self) {
        if matches!(self.state, State::Held { .. }) {
            self.actions.push(LockAction::Lost);
        }
    }

    fn handle_renewed(&mut self, call: u64, alive: bool) {
        let Some(pending) = self.take_pending(call) else {
            return;
        };
        if let State::Held { renewed, .. } = &mut self.state {
            if alive {
                *renewed = (*renewed).max(pending.sent);
                self.next_call = pending.sent + self.timing.renew_interval;
            } else {
                self.set_free();
            }
        }
    }

    fn handle_failure(&mut self, call: u64) {
        if self.take_pending(call).is_some() {
            self.next_call = self.now + self.timing.retry_pause;
        }
    }

    fn stop(&mut self) {
        if matches!(self.state, State::Held { .. }) {
            self.actions.push(LockAction::Release);
        }
        self.report_lost();
        self.state = State::Stopped;
        self.pending = None;
    }

    fn send_call(&mut self) {
        let wait = self.timing.call_timeout;
        if self.pending.is_some_and(|a| self.now < a.sent + wait) || self.now < self.next_call {
            return;
        }
        let call = self.last_call + 1;
        let action = match self.state {
            State::Standby => LockAction::Read { call },
            State::Free => {
                self.lease_requested.get_or_insert(self.now);
                let lease = self.timing.lease;
                LockAction::Acquire { call, lease }
            }
            State::Held { .. } => LockAction::Renew { call },
            State::Stopped => return,
        };
        self.last_call = call;
        self.next_call = self.now + self.timing.retry_pause;
        self.pending = Some(PendingCall {
            call,
            sent: self.now,
        });
        self.actions.push(action);
    }
}
