//! Acquisition and upkeep of the lock under which a coordinator acts.

use base::Epoch;
use base::Millis;

/// Lease of the lock in the platform.
const LEASE: Millis = Millis(2_000);
/// Interval between renewals.
const RENEW_EVERY: Millis = Millis(500);
/// Part of the lease after which the holder no longer trusts it.
const DOUBT_AFTER: Millis = Millis(1_400);
/// Wait for the answer to a call.
const CALL_WAIT: Millis = Millis(900);
/// Pause between attempts to acquire a free lock.
const RETRY: Millis = Millis(100);
/// Interval of reads of the lock by a standby, in case its watch is silent.
const READ_EVERY: Millis = Millis(5_000);

/// Bounds of the lock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LockTiming {
    /// Lease in the platform.
    pub lease: Millis,
    /// Interval between renewals.
    pub renew_every: Millis,
    /// Time after the sending of the last successful renewal from which the lock may have
    /// lapsed. Less than `lease` by more than the clocks may drift apart.
    pub doubt_after: Millis,
    /// Wait for an answer.
    pub call_wait: Millis,
    /// Pause between attempts.
    pub retry: Millis,
    /// Interval of reads by a standby.
    pub read_every: Millis,
}

impl Default for LockTiming {
    fn default() -> LockTiming {
        LockTiming {
            lease: LEASE,
            renew_every: RENEW_EVERY,
            doubt_after: DOUBT_AFTER,
            call_wait: CALL_WAIT,
            retry: RETRY,
            read_every: READ_EVERY,
        }
    }
}

/// What the host tells the election.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LockInput {
    /// Result of `Acquire` or `Read`, or news of the watch: who holds the lock now.
    Holder {
        /// The call answered; none for the watch.
        call: Option<u64>,
        /// Its epoch, none while the lock is free.
        epoch: Option<Epoch>,
        /// Whether the holder's value is this process's own.
        own: bool,
    },
    /// A call failed or was not answered.
    NoAnswer {
        /// The call.
        call: u64,
    },
    /// Answer to `Renew`.
    Renewed {
        /// The call.
        call: u64,
        /// Whether the lease was extended; otherwise it no longer exists.
        alive: bool,
    },
    /// A planned stop begins.
    Stop,
    /// Time passes. Wanted at least every 50 ms.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LockAction {
    /// Grant a lease and create the lock key under it if there is none; answer with `Holder`,
    /// whether or not it was created here. The epoch is the key's create revision. Repeated
    /// calls use the lease of the first while it exists.
    Acquire {
        /// Names the call.
        call: u64,
        /// The lease.
        lease: Millis,
    },
    /// The lock may have lapsed, or is trusted again.
    Doubt(bool),
    /// The lock is held under an epoch.
    Elected(Epoch),
    /// The lock is lost.
    Lost,
    /// Read the lock key; answer with `Holder`.
    Read {
        /// Names the call.
        call: u64,
    },
    /// Revoke the lease.
    Release,
    /// Renew the lease on a connection of its own; answer with `Renewed`.
    Renew {
        /// Names the call.
        call: u64,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Another process holds the lock, or nothing is known yet.
    Standby,
    /// The lock is free as far as known.
    Free,
    /// Held; the time at which the last successful renewal was sent.
    Held {
        epoch: Epoch,
        renewed: Millis,
        doubt: bool,
    },
    /// Given up for a planned stop.
    Stopped,
}

/// A call in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Asked {
    call: u64,
    sent: Millis,
}

/// Acquires the lock when it is free and keeps it. One call is in flight at a time.
#[derive(Clone, Debug)]
pub struct Election {
    timing: LockTiming,
    now: Millis,
    state: State,
    asked: Option<Asked>,
    last: u64,
    /// When the lease under which the lock may be created was first asked for.
    granted: Option<Millis>,
    next: Millis,
    actions: Vec<LockAction>,
}

impl Election {
    /// A standby. `jitter` delays its first call, so that many do not call at once.
    pub fn new(timing: LockTiming, now: Millis, jitter: Millis) -> Election {
        Election {
            timing,
            now,
            state: State::Standby,
            asked: None,
            last: 0,
            granted: None,
            next: now + jitter,
            actions: Vec::new(),
        }
    }

    /// The epoch held, doubtful or not.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.state {
            State::Held { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Takes in one input and returns what is to be done. Time is that of the host's
    /// monotonic clock.
    pub fn step(&mut self, now: Millis, input: LockInput) -> Vec<LockAction> {
        self.now = self.now.max(now);
        self.check_doubt();
        match input {
            LockInput::Holder { call, epoch, own } => self.take_holder(call, epoch, own),
            LockInput::NoAnswer { call } => self.take_failure(call),
            LockInput::Renewed { call, alive } => self.take_renewed(call, alive),
            LockInput::Stop => self.stop(),
            LockInput::Tick => {}
        }
        self.check_doubt();
        self.call();
        std::mem::take(&mut self.actions)
    }

    /// Stops trusting the lock well before it can lapse in the platform. Counted from the
    /// sending of the renewal, which is before the platform extended the lease.
    fn check_doubt(&mut self) {
        let after = self.timing.doubt_after;
        if let State::Held { renewed, doubt, .. } = &mut self.state {
            let late = self.now >= *renewed + after;
            if late != *doubt {
                *doubt = late;
                self.actions.push(LockAction::Doubt(late));
            }
        }
    }

    /// The answer to the call in flight, if `call` names it.
    fn answered(&mut self, call: u64) -> Option<Asked> {
        self.asked.take_if(|a| a.call == call)
    }

    fn take_holder(&mut self, call: Option<u64>, epoch: Option<Epoch>, own: bool) {
        if call.is_some_and(|c| self.answered(c).is_none()) {
            return;
        }
        match (epoch, self.state) {
            (_, State::Stopped) => {}
            (Some(new), State::Held { epoch, .. }) if new <= epoch => {}
            (Some(new), _) if own => self.elect(new),
            (Some(_), _) => self.stand_by(),
            (None, _) => self.free(),
        }
    }

    /// Counts the lease from when it was first asked for, which is before it was granted.
    fn elect(&mut self, epoch: Epoch) {
        self.lose();
        self.state = State::Held {
            epoch,
            renewed: self.granted.take().unwrap_or_default(),
            doubt: false,
        };
        self.next = self.now;
        self.actions.push(LockAction::Elected(epoch));
    }

    fn stand_by(&mut self) {
        self.lose();
        self.state = State::Standby;
        self.next = self.now + self.timing.read_every;
    }

    fn free(&mut self) {
        self.lose();
        self.state = State::Free;
        self.next = self.now;
    }

    fn lose(&mut self) {
        if matches!(self.state, State::Held { .. }) {
            self.actions.push(LockAction::Lost);
        }
    }

    fn take_renewed(&mut self, call: u64, alive: bool) {
        let Some(asked) = self.answered(call) else {
            return;
        };
        if let State::Held { renewed, .. } = &mut self.state {
            if alive {
                *renewed = (*renewed).max(asked.sent);
                self.next = asked.sent + self.timing.renew_every;
            } else {
                self.free();
            }
        }
    }

    fn take_failure(&mut self, call: u64) {
        if self.answered(call).is_some() {
            self.next = self.now + self.timing.retry;
        }
    }

    fn stop(&mut self) {
        if matches!(self.state, State::Held { .. }) {
            self.actions.push(LockAction::Release);
        }
        self.lose();
        self.state = State::Stopped;
        self.asked = None;
    }

    fn call(&mut self) {
        let wait = self.timing.call_wait;
        if self.asked.is_some_and(|a| self.now < a.sent + wait) || self.now < self.next {
            return;
        }
        let call = self.last + 1;
        let action = match self.state {
            State::Standby => LockAction::Read { call },
            State::Free => {
                self.granted.get_or_insert(self.now);
                let lease = self.timing.lease;
                LockAction::Acquire { call, lease }
            }
            State::Held { .. } => LockAction::Renew { call },
            State::Stopped => return,
        };
        self.last = call;
        self.next = self.now + self.timing.retry;
        self.asked = Some(Asked {
            call,
            sent: self.now,
        });
        self.actions.push(action);
    }
}
