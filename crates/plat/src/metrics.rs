//! Metrics of the store client.

use obs::Counter;
use obs::Gauge;
use obs::Metrics;

/// Counters and gauges of the store client.
pub(crate) struct StoreMetrics {
    pub(crate) calls: Counter,
    /// Calls that admission refused.
    pub(crate) held: Counter,
    pub(crate) watches: Gauge,
    /// Health as a number: 0 down, 1 slow, 2 up.
    pub(crate) state: Gauge,
    /// Watches that were opened again.
    pub(crate) resumed: Counter,
}

impl StoreMetrics {
    pub(crate) fn new(metrics: &Metrics) -> StoreMetrics {
        StoreMetrics {
            calls: metrics.counter("store_calls", "Calls to the platform store"),
            held: metrics.counter("store_held", "Store calls held back or refused unsent"),
            watches: metrics.gauge("store_watches", "Watches that wait at the store"),
            state: metrics.gauge("store_state", "Health of the store: 0 down, 1 slow, 2 up"),
            resumed: metrics.counter("store_watch_resumes", "Watches opened again"),
        }
    }
}
