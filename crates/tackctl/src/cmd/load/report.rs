//! Counts and latencies of a load.

use base::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Highest latency kept, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// What one request came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// An answer that names another request.
    Foreign,
    /// Its own answer or a failure.
    Own(Outcome),
}

/// Counts and latencies as they come in.
pub struct Tally {
    sent: u64,
    ok: u64,
    not_run: u64,
    unknown: u64,
    foreign: u64,
    micros: Option<Histogram<u64>>,
}

/// The result of a load. Latencies are of requests that ran, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests sent.
    pub requests_sent: u64,
    /// Requests that ran and whose answer came whole.
    pub requests_ok: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Answers that named another request.
    pub foreign: u64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Requests that ran a second.
    pub ok_rate: f64,
    /// Half of the latencies are below.
    pub p50: f64,
    /// 99 of 100 latencies are below.
    pub p99: f64,
    /// The highest latency.
    pub max: f64,
}

impl Tally {
    /// Nothing yet.
    pub fn new() -> Tally {
        Tally {
            sent: 0,
            ok: 0,
            not_run: 0,
            unknown: 0,
            foreign: 0,
            micros: Histogram::new_with_max(MAX_MICROS, DIGITS).ok(),
        }
    }

    /// Counts one request.
    pub fn add(&mut self, seen: Seen, micros: u64) {
        self.sent += 1;
        match seen {
            Seen::Foreign => self.foreign += 1,
            Seen::Own(Outcome::NotRun) => self.not_run += 1,
            Seen::Own(Outcome::Unknown) => self.unknown += 1,
            Seen::Own(Outcome::Ran) => {
                self.ok += 1;
                if let Some(histogram) = &mut self.micros {
                    histogram.saturating_record(micros);
                }
            }
        }
    }

    /// The result of a run of this many seconds.
    pub fn report(&self, seconds: f64) -> Report {
        let at = |q: f64| {
            let histogram = self.micros.as_ref();
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
            p50: at(0.5),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}

impl Report {
    /// The result as a table.
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
        crate::show::table(&["RESULT", ""], &rows)
    }
}
