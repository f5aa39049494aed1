//! Readiness as the balancer sees it, shared between threads.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Whether the daemon wants new connections. Clones share the same answer.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    ready: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
}

impl Ready {
    /// Changes the answer, unless it was closed.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// The answer is no from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// The answer.
    pub fn get(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.closed.load(Ordering::Acquire)
    }
}
