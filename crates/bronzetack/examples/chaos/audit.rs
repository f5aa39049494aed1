//! Compares what callers were told with what the workers recorded.

use base::Map;
use serde::Serialize;

use crate::faults::Counts;
use crate::load::Heard;
use crate::load::Sent;
use crate::load::Told;

/// The last line.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Requests, each with up to four sends.
    pub requests: u64,
    /// Sends, resends included.
    pub sends: u64,
    /// Requests that may run once.
    pub once: u64,
    /// Requests whose caller was told that it ran.
    pub ran: u64,
    /// Requests whose last answer was a refusal.
    pub not_run: u64,
    /// Requests whose last answer was unknown.
    pub unknown: u64,
    /// Requests without an answer to the last send.
    pub no_answer: u64,
    /// Of both, those that may run more than once.
    pub open_idempotent: u64,
    /// Time of the load in seconds.
    pub seconds: f64,
    /// Faults of daemons.
    pub faults: Counts,
    /// Told as run, and no worker ran it.
    pub lost: u64,
    /// May run once, and ran more often.
    pub doubled: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Answers told as whole that are not.
    pub truncated: u64,
    /// Told as not run by every answer, each send answered, and a worker ran it.
    pub false_not_run: u64,
}

impl Summary {
    /// Whether nothing disagrees.
    pub fn is_clean(&self) -> bool {
        let wrong = self.lost + self.doubled + self.foreign + self.truncated + self.false_not_run;
        wrong == 0
    }
}

/// Audits a load. `runs` counts the runs of each request over all workers.
pub fn audit(told: &Told, runs: &Map<String, u64>, faults: Counts, seconds: f64) -> Summary {
    let count = |request: &Sent| runs.get(&request.id).copied().unwrap_or(0);
    let number = |test: &dyn Fn(&Sent) -> bool| {
        let found = told.requests.iter().filter(|r| test(r));
        found.count() as u64
    };
    let ended = |heard: Heard| move |r: &Sent| r.heard.last() == Some(&heard);
    Summary {
        requests: told.requests.len() as u64,
        sends: told.requests.iter().map(|r| r.heard.len() as u64).sum(),
        once: number(&|r| !r.idempotent),
        ran: number(&ended(Heard::Ran)),
        not_run: number(&ended(Heard::NotRun)),
        unknown: number(&ended(Heard::Unknown)),
        no_answer: number(&ended(Heard::Nothing)),
        open_idempotent: number(&|r| r.idempotent && is_open(r)),
        seconds,
        faults,
        lost: number(&|r| ended(Heard::Ran)(r) && count(r) == 0),
        doubled: number(&|r| !r.idempotent && count(r) > 1),
        foreign: told.foreign,
        truncated: told.truncated,
        false_not_run: number(&|r| is_refused(r) && count(r) > 0),
    }
}

/// Whether every send was answered with a refusal.
fn is_refused(request: &Sent) -> bool {
    request.heard.iter().all(|heard| *heard == Heard::NotRun)
}

/// Whether the caller does not know how it ended.
fn is_open(request: &Sent) -> bool {
    let last = request.heard.last();
    matches!(last, Some(Heard::Unknown | Heard::Nothing))
}
