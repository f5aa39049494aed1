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

/// Label set of every metric: names and values.
type Labels = Vec<(String, String)>;

/// A counter with labels. Clones share the same values.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    family: Family<Labels, prometheus_client::metrics::counter::Counter>,
}

impl Counter {
    /// Adds `num` to the series with these labels.
    pub fn add(&self, labels: &[(&str, &str)], num: u64) {
        self.family.get_or_create(&owned(labels)).inc_by(num);
    }

    /// The series with these labels, for counting often.
    pub fn series(&self, labels: &[(&str, &str)]) -> Series {
        let series = self.family.get_or_create(&owned(labels)).clone();
        Series { series }
    }

    /// The value of the series with these labels.
    pub fn get(&self, labels: &[(&str, &str)]) -> u64 {
        self.family.get_or_create(&owned(labels)).get()
    }
}

/// One series of a counter. Clones share the same value.
#[derive(Clone, Debug)]
pub struct Series {
    series: prometheus_client::metrics::counter::Counter,
}

impl Series {
    /// Adds `num`.
    pub fn add(&self, num: u64) {
        self.series.inc_by(num);
    }
}

/// Bounds of a histogram's buckets: 1 ms, doubling, to 16 s.
const BUCKETS: (f64, f64, u16) = (1.0, 2.0, 15);

type MsFamily = Family<Labels, PromHistogram, fn() -> PromHistogram>;

/// A histogram of times in milliseconds with labels. Clones share the same values.
#[derive(Clone, Debug)]
pub struct Histogram {
    family: MsFamily,
}

impl Histogram {
    /// Adds an observation to the series with these labels.
    pub fn observe(&self, labels: &[(&str, &str)], took: Millis) {
        let series = self.family.get_or_create(&owned(labels));
        series.observe(took.0 as f64);
    }
}

fn histogram() -> PromHistogram {
    let (start, factor, count) = BUCKETS;
    PromHistogram::new(exponential_buckets(start, factor, count))
}

/// A gauge with labels. Clones share the same values.
#[derive(Clone, Debug, Default)]
pub struct Gauge {
    family: Family<Labels, prometheus_client::metrics::gauge::Gauge>,
}

impl Gauge {
    /// The series with these labels, for setting often.
    pub fn series(&self, labels: &[(&str, &str)]) -> GaugeSeries {
        let series = self.family.get_or_create(&owned(labels)).clone();
        GaugeSeries { series }
    }

    /// Sets the series with these labels.
    pub fn set(&self, labels: &[(&str, &str)], num: i64) {
        self.family.get_or_create(&owned(labels)).set(num);
    }

    /// The value of the series with these labels.
    pub fn get(&self, labels: &[(&str, &str)]) -> i64 {
        self.family.get_or_create(&owned(labels)).get()
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

/// All metrics of a daemon. Clones share the same registry.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// A registry whose metrics are named `bronzetack_…`.
    pub fn new() -> Metrics {
        Metrics {
            registry: Arc::new(Mutex::new(Registry::with_prefix("bronzetack"))),
        }
    }

    /// Registers a counter; the exposed name gains the suffix `_total`.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.lock().register(name, help, counter.family.clone());
        counter
    }

    /// Registers a histogram of times in milliseconds.
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

    /// The text that a Prometheus server reads.
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

fn owned(labels: &[(&str, &str)]) -> Labels {
    let pair = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
    labels.iter().map(pair).collect()
}
