//! Readiness as reported to load balancers, shared between threads.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Whether the daemon wants new connections from load balancers. Clones share the same state. Not
/// ready at first.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    ready: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
}

impl Ready {
    /// Sets the readiness. Has no effect after [`Ready::close`].
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Reports the daemon as not ready from now on, whatever is set later.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Whether the daemon is ready and `close` was not called.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.closed.load(Ordering::Acquire)
    }
}
