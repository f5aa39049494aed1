//! A limit on the memory of one use, which those that use it share.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// A limit in bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget {
            used: Arc::default(),
            limit,
        }
    }

    /// Takes bytes until the value is dropped; `None` if there are too few left. More than the whole
    /// budget can be taken while nothing else is, so that a single request is always served.
    pub fn take(&self, bytes: usize) -> Option<TakenMemory> {
        let fits = |used: usize| {
            let after = used.saturating_add(bytes);
            (used == 0 || after <= self.limit).then_some(after)
        };
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        taken.ok().map(|_| TakenMemory {
            used: self.used.clone(),
            bytes,
        })
    }

    /// Bytes that are taken now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Bytes taken from a budget, which it gets back when this is dropped.
#[derive(Debug)]
pub struct TakenMemory {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for TakenMemory {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
