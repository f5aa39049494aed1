//! Metrics of the service that forwards requests.

use base::Outcome;
use obs::Counter;
use obs::CounterSeries;
use obs::GaugeSeries;
use obs::Metrics;
use work::ExchangeResult;

/// Counters and gauges of the service. Labels of frequent events are resolved once.
pub(super) struct Counters {
    not_run: CounterSeries,
    ran: CounterSeries,
    unknown: CounterSeries,
    sends: Counter,
    served: CounterSeries,
    /// Requests sent again.
    pub retries: CounterSeries,
    /// Requests not answered yet.
    pub open: GaugeSeries,
}

impl Counters {
    pub fn new(metrics: &Metrics) -> Counters {
        let outcomes = metrics.counter("requests", "Requests answered, by outcome");
        let of = |outcome: Outcome| outcomes.series(&[("outcome", &outcome.to_string())]);
        let sends = metrics.counter("sends", "Requests sent to upstreams, by how it ended");
        let retries = metrics.counter("retries", "Requests sent again");
        let open = metrics.gauge("requests_open", "Requests not answered yet");
        Counters {
            not_run: of(Outcome::NotRun),
            ran: of(Outcome::Ran),
            unknown: of(Outcome::Unknown),
            served: sends.series(&[("end", "ran")]),
            sends,
            retries: retries.series(&[]),
            open: open.series(&[]),
        }
    }

    /// Counts the answer to a request.
    pub fn count_answer(&self, outcome: Outcome) {
        match outcome {
            Outcome::NotRun => self.not_run.add(1),
            Outcome::Ran => self.ran.add(1),
            Outcome::Unknown => self.unknown.add(1),
        }
    }

    /// Counts the end of a send. `name` is the value of the `end` label.
    pub fn count_send(&self, ending: &ExchangeResult, name: &str) {
        match ending {
            ExchangeResult::Ran(_) => self.served.add(1),
            _ => self.sends.add(&[("end", name)], 1),
        }
    }
}
