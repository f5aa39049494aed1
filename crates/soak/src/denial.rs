//! Checks that no task starts of a job after an answer that it does not exist or was not accepted.
//!
//! Such an answer to a cancellation, or to the last submission, promises that no earlier submission takes
//! effect, whatever faults there are. Callers do not submit a job again after they have cancelled it.

use std::collections::BTreeMap;

use base::JobId;
use base::Millis;
use platform_fakes::EventKind;
use platform_fakes::Outcome;

use crate::history::History;
use crate::history::Operation;

/// Reports each start after such an answer.
pub fn check(history: &History, report: &mut dyn FnMut(&'static str, String)) {
    let denied = denied_at(history);
    for event in &history.events {
        let EventKind::Started { task, .. } = &event.kind else {
            continue;
        };
        let Some(at) = denied.get(&task.job).filter(|at| event.at > **at) else {
            continue;
        };
        let (start, worker) = (event.at, &event.worker);
        let text = format!("{task} started on {worker} at {start}, denied at {at}");
        report("unasked", text);
    }
}

/// Time of the first answer, by job, that says that the job does not exist or was not accepted.
fn denied_at(history: &History) -> BTreeMap<&JobId, Millis> {
    let mut jobs = BTreeMap::new();
    for call in history.calls_of(Operation::Submit) {
        // A later submission may have been accepted.
        match call.outcome {
            Outcome::Refused(_) => jobs.insert(&call.job, call.at),
            _ => jobs.remove(&call.job),
        };
    }
    let denied = history
        .calls_of(Operation::Cancel)
        .filter(|c| c.outcome == Outcome::NoJob);
    for call in denied {
        jobs.entry(&call.job).or_insert(call.at);
    }
    jobs
}
