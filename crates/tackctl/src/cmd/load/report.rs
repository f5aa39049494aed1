//! Counts and latencies of a load run.

use base::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest latency that the histogram can hold; longer ones are recorded as this.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
/// Decimal precision of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestResult {
    /// The response carried the id of another request.
    Foreign,
    /// The outcome from the response, or derived from the transport error.
    Ended(Outcome),
}

/// Counts and latencies collected during a run.
pub struct Stats {
    sent: u64,
    ok: u64,
    not_run: u64,
    unknown: u64,
    foreign: u64,
    /// Latencies in microseconds of the requests that ran.
    latencies: Option<Histogram<u64>>,
}

/// Summary of a load run. Latencies are in milliseconds and cover only requests that ran.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests sent.
    pub requests_sent: u64,
    /// Requests that ran and whose response arrived complete.
    pub requests_ok: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Responses that carried the id of another request.
    pub foreign: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Successful requests per second.
    pub ok_rate: f64,
    /// Median latency.
    pub p50: f64,
    /// 99th percentile of the latencies.
    pub p99: f64,
    /// Maximum latency.
    pub max: f64,
}

impl Stats {
    /// No requests counted yet.
    pub fn new() -> Stats {
        Stats {
            sent: 0,
            ok: 0,
            not_run: 0,
            unknown: 0,
            foreign: 0,
            latencies: Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS).ok(),
        }
    }

    /// Counts one request, and records its latency if it ran.
    pub fn add(&mut self, result: RequestResult, micros: u64) {
        self.sent += 1;
        match result {
            RequestResult::Foreign => self.foreign += 1,
            RequestResult::Ended(Outcome::NotRun) => self.not_run += 1,
            RequestResult::Ended(Outcome::Unknown) => self.unknown += 1,
            RequestResult::Ended(Outcome::Ran) => {
                self.ok += 1;
                if let Some(histogram) = &mut self.latencies {
                    histogram.saturating_record(micros);
                }
            }
        }
    }

    /// Summarises a run of this many seconds.
    pub fn report(&self, seconds: f64) -> Report {
        let quantile_ms = |q: f64| {
            let histogram = self.latencies.as_ref();
            histogram.map_or(0.0, |h| h.value_at_quantile(q) as f64 / 1000.0)
        };
        Report {
            requests_sent: self.sent,
            requests_ok: self.ok,
            not_run: self.not_run,
            unknown: self.unknown,
            foreign: self.foreign,
            seconds,
            ok_rate: self.ok as f64 / seconds.max(0.001),
            p50: quantile_ms(0.5),
            p99: quantile_ms(0.99),
            max: quantile_ms(1.0),
        }
    }
}

impl Report {
    /// Renders the report as a table.
    pub fn text(&self) -> String {
        let row = |name: &str, value: String| vec![name.to_string(), value];
        let rows = [
            row("requests sent", self.requests_sent.to_string()),
            row("requests ok", self.requests_ok.to_string()),
            row("not run", self.not_run.to_string()),
            row("unknown", self.unknown.to_string()),
            row("foreign answers", self.foreign.to_string()),
            row("seconds", format!("{:.1}", self.seconds)),
            row("ok a second", format!("{:.1}", self.ok_rate)),
            row("p50 ms", format!("{:.2}", self.p50)),
            row("p99 ms", format!("{:.2}", self.p99)),
            row("max ms", format!("{:.2}", self.max)),
        ];
        crate::render::table(&["RESULT", ""], &rows)
    }
}
