//! Metrics in the Prometheus text format.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;

use base::Millis;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram as PromHistogram;
use prometheus_client::registry::Registry;

use crate::output::DROPPED_LINES;

/// Labels of a series: pairs of name and value.
type Labels = Vec<(String, String)>;

/// A counter with labels. Clones share the same values.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    family: Family<Labels, prometheus_client::metrics::counter::Counter>,
}

impl Counter {
    /// Adds `num` to the series with these labels.
    pub fn add(&self, labels: &[(&str, &str)], num: u64) {
        self.family.get_or_create(&owned_labels(labels)).inc_by(num);
    }

    /// The series with these labels. Callers that count often keep it to save the look-up.
    pub fn series(&self, labels: &[(&str, &str)]) -> CounterSeries {
        let series = self.family.get_or_create(&owned_labels(labels)).clone();
        CounterSeries { series }
    }

    /// The value of the series with these labels.
    pub fn get(&self, labels: &[(&str, &str)]) -> u64 {
        self.family.get_or_create(&owned_labels(labels)).get()
    }
}

/// One series of a counter. Clones share the same value.
#[derive(Clone, Debug)]
pub struct CounterSeries {
    series: prometheus_client::metrics::counter::Counter,
}

impl CounterSeries {
    /// Adds `num`.
    pub fn add(&self, num: u64) {
        self.series.inc_by(num);
    }
}

/// Buckets of a histogram as the first upper bound in milliseconds, the growth factor and the
/// number of buckets: 1 ms, 2 ms and so on up to 16384 ms.
const BUCKETS_MS: (f64, f64, u16) = (1.0, 2.0, 15);

type MsFamily = Family<Labels, PromHistogram, fn() -> PromHistogram>;

/// A histogram of durations in milliseconds with labels. Clones share the same values.
#[derive(Clone, Debug)]
pub struct Histogram {
    family: MsFamily,
}

impl Histogram {
    /// Adds the duration `took` to the series with these labels.
    pub fn observe(&self, labels: &[(&str, &str)], took: Millis) {
        let series = self.family.get_or_create(&owned_labels(labels));
        series.observe(took.0 as f64);
    }
}

fn histogram() -> PromHistogram {
    let (start, factor, count) = BUCKETS_MS;
    PromHistogram::new(exponential_buckets(start, factor, count))
}

/// A gauge with labels. Clones share the same values.
#[derive(Clone, Debug, Default)]
pub struct Gauge {
    family: Family<Labels, prometheus_client::metrics::gauge::Gauge>,
}

impl Gauge {
    /// The series with these labels. Callers that set it often keep it to save the look-up.
    pub fn series(&self, labels: &[(&str, &str)]) -> GaugeSeries {
        let series = self.family.get_or_create(&owned_labels(labels)).clone();
        GaugeSeries { series }
    }

    /// Sets the series with these labels.
    pub fn set(&self, labels: &[(&str, &str)], num: i64) {
        self.family.get_or_create(&owned_labels(labels)).set(num);
    }

    /// The value of the series with these labels.
    pub fn get(&self, labels: &[(&str, &str)]) -> i64 {
        self.family.get_or_create(&owned_labels(labels)).get()
    }
}

/// One series of a gauge. Clones share the same value.
#[derive(Clone, Debug)]
pub struct GaugeSeries {
    series: prometheus_client::metrics::gauge::Gauge,
}

impl GaugeSeries {
    /// Sets the value.
    pub fn set(&self, num: i64) {
        self.series.set(num);
    }
}

/// The metrics registry of a daemon. Clones share the same registry.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// A registry with the metrics of the process's log. It prefixes the names of its metrics with
    /// `bronzetack_`.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("bronzetack");
        registry.register(
            "log_lines_dropped",
            "Log lines that could not be written",
            DROPPED_LINES.family.clone(),
        );
        Metrics {
            registry: Arc::new(Mutex::new(registry)),
        }
    }

    /// Registers a counter. The exposed name has the suffix `_total`.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.lock().register(name, help, counter.family.clone());
        counter
    }

    /// Registers a histogram of durations in milliseconds.
    pub fn histogram(&self, name: &str, help: &str) -> Histogram {
        let family: MsFamily = Family::new_with_constructor(histogram);
        self.lock().register(name, help, family.clone());
        Histogram { family }
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.lock().register(name, help, gauge.family.clone());
        gauge
    }

    /// All metrics in the text format that a Prometheus server scrapes.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.lock())?;
        Ok(text)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

fn owned_labels(labels: &[(&str, &str)]) -> Labels {
    let pair = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
    labels.iter().map(pair).collect()
}
