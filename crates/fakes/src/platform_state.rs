//! State that the platform stand-in's server threads and its control handle share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use tokio::sync::watch;

use crate::fault::Fault;
use crate::fault::FaultSpec;
use crate::platform_calls::CallCounts;
use crate::platform_kv::Kv;
use crate::platform_vms::LaggingList;

/// Everything that a fault leaves alone, and the fault itself.
#[derive(Debug)]
pub struct State {
    /// The store.
    pub kv: Kv,
    /// The list of VMs.
    pub vms: LaggingList,
    /// What goes wrong now.
    pub fault: FaultSpec,
    /// Calls received.
    pub calls: CallCounts,
}

/// Shared state. Clones are the same state.
#[derive(Clone, Debug)]
pub struct Shared {
    state: Arc<Mutex<State>>,
    changes: watch::Sender<u64>,
    start: Instant,
}

impl Shared {
    /// An empty platform without a fault.
    pub fn new() -> Shared {
        let state = State {
            kv: Kv::new(),
            vms: LaggingList::default(),
            fault: FaultSpec::default(),
            calls: CallCounts::default(),
        };
        Shared {
            state: Arc::new(Mutex::new(state)),
            changes: watch::channel(0).0,
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Locks the state, with lapsed leases ended.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        if state.kv.expire(self.now()) {
            self.notify();
        }
        state
    }

    /// Wakes everything that waits for a change of the store or of the fault.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Receives the wake-ups from now on.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Counts a call and tells its fault.
    pub fn enter(&self, kind: &str) -> Fault {
        let second = self.now() / 1000;
        let mut state = self.lock();
        state.calls.add(kind, second);
        state.fault.take(kind)
    }
}

impl Default for Shared {
    fn default() -> Shared {
        Shared::new()
    }
}
