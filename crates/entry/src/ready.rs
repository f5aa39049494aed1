//! Readiness as the balancer sees it, shared between threads.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Whether the daemon wants new connections. Clones share the same answer.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    flag: Arc<AtomicBool>,
}

impl Ready {
    /// Changes the answer.
    pub fn set(&self, ready: bool) {
        self.flag.store(ready, Ordering::Release);
    }

    /// The answer.
    pub fn get(&self) -> bool {
        self.flag.load(Ordering::Acquire)
    }
}
