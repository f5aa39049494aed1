//! State shared by the server threads of the fake platform and its control handle.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use tokio::sync::watch;

use crate::fault::Fault;
use crate::fault::FaultSpec;
use crate::platform_calls::CallCounts;
use crate::platform_kv::Kv;
use crate::platform_vms::DelayedList;

/// State of the fake platform. A change of the fault leaves all other fields as they are.
#[derive(Debug)]
pub struct State {
    /// The key-value store.
    pub kv: Kv,
    /// The list of VMs.
    pub vms: DelayedList,
    /// The fault in force.
    pub fault: FaultSpec,
    /// Counts of the calls received.
    pub calls: CallCounts,
}

/// Handle to the shared state. Clones refer to the same state.
#[derive(Clone, Debug)]
pub struct SharedState {
    state: Arc<Mutex<State>>,
    changes: watch::Sender<u64>,
    start: Instant,
}

impl SharedState {
    /// An empty store and an empty list of VMs, without a fault.
    pub fn new() -> SharedState {
        let state = State {
            kv: Kv::new(),
            vms: DelayedList::default(),
            fault: FaultSpec::default(),
            calls: CallCounts::default(),
        };
        SharedState {
            state: Arc::new(Mutex::new(state)),
            changes: watch::channel(0).0,
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Revokes expired leases and locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        if state.kv.expire(self.now()) {
            self.notify();
        }
        state
    }

    /// Wakes all tasks that wait for a change of the store or of the fault.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Subscribes to the notifications sent from now on.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Counts a call and returns the fault that applies to it.
    pub fn begin_call(&self, kind: &str) -> Fault {
        let second = self.now() / 1000;
        let mut state = self.lock();
        state.calls.add(kind, second);
        state.fault.take(kind)
    }
}

impl Default for SharedState {
    fn default() -> SharedState {
        SharedState::new()
    }
}
