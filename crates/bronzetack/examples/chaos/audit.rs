//! Compares the outcomes reported to callers with the runs recorded by the workers.

use base::Map;
use serde::Serialize;

use crate::faults::Counts;
use crate::load::Outcome;
use crate::load::Results;
use crate::load::Sent;

/// Result of a chaos run, printed as one JSON object.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Requests, each sent up to four times.
    pub requests: u64,
    /// Sends, including resends.
    pub sends: u64,
    /// Non-idempotent requests.
    pub once: u64,
    /// Requests reported as run.
    pub ran: u64,
    /// Requests whose last send was reported as not run.
    pub not_run: u64,
    /// Requests whose last send was reported with an unknown outcome.
    pub unknown: u64,
    /// Requests whose last send got no complete answer.
    pub no_answer: u64,
    /// Idempotent requests among `unknown` and `no_answer`.
    pub open_idempotent: u64,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Faults injected into daemons.
    pub faults: Counts,
    /// Requests reported as run that no worker ran.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Answers with the id or the body of another request.
    pub foreign: u64,
    /// Answers reported as complete with a truncated body.
    pub truncated: u64,
    /// Requests that a worker ran although every send was answered with `not-run`.
    pub false_not_run: u64,
}

impl Summary {
    /// Whether no violation was found.
    pub fn is_clean(&self) -> bool {
        let violations =
            self.lost + self.doubled + self.foreign + self.truncated + self.false_not_run;
        violations == 0
    }
}

/// Audits the results of a load. `runs` has the number of runs of each request over all workers.
pub fn audit(results: &Results, runs: &Map<String, u64>, faults: Counts, seconds: f64) -> Summary {
    let count = |request: &Sent| runs.get(&request.id).copied().unwrap_or(0);
    let number = |matches: &dyn Fn(&Sent) -> bool| {
        let found = results.requests.iter().filter(|r| matches(r));
        found.count() as u64
    };
    let ended = |outcome: Outcome| move |r: &Sent| r.outcomes.last() == Some(&outcome);
    Summary {
        requests: results.requests.len() as u64,
        sends: results
            .requests
            .iter()
            .map(|r| r.outcomes.len() as u64)
            .sum(),
        once: number(&|r| !r.idempotent),
        ran: number(&ended(Outcome::Ran)),
        not_run: number(&ended(Outcome::NotRun)),
        unknown: number(&ended(Outcome::Unknown)),
        no_answer: number(&ended(Outcome::NoAnswer)),
        open_idempotent: number(&|r| r.idempotent && is_open(r)),
        seconds,
        faults,
        lost: number(&|r| ended(Outcome::Ran)(r) && count(r) == 0),
        doubled: number(&|r| !r.idempotent && count(r) > 1),
        foreign: results.foreign,
        truncated: results.truncated,
        false_not_run: number(&|r| is_refused(r) && count(r) > 0),
    }
}

/// Whether every send was answered with `not-run`.
fn is_refused(request: &Sent) -> bool {
    request
        .outcomes
        .iter()
        .all(|outcome| *outcome == Outcome::NotRun)
}

/// Whether the caller does not know if the request ran.
fn is_open(request: &Sent) -> bool {
    let last = request.outcomes.last();
    matches!(last, Some(Outcome::Unknown | Outcome::NoAnswer))
}
