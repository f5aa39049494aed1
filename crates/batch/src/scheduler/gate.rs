//! Conditions on which a start may be sent to a worker.

use base::Millis;

use super::time::MISSING_GRACE;
use super::Scheduler;
use super::StartRequest;
use crate::job::RunPhase;
use crate::spec::StepSpec;
use crate::worker::Contact;
use crate::worker::Worker;
use crate::worker::WorkerState;

/// Age from which a planned start is cancelled, because the state that it was based on is outdated.
const MAX_PLAN_AGE: Millis = Millis(1_500);

impl Scheduler {
    /// Which of the conditions on which a start was planned no longer holds, if any.
    pub(super) fn obstacle(&self, start: &StartRequest, now: Millis) -> Option<String> {
        let id = &start.worker;
        let job = self.jobs.get(&start.task.job);
        if job.is_none_or(|j| j.phase.is_final()) {
            return Some("the job has ended".to_string());
        }
        let Some(worker) = self.workers.get(id) else {
            return Some(format!("{id} is gone"));
        };
        let has_failed = worker.is_paused(now) && worker.failures.latest() > start.planned_at;
        let is_same = worker.born == start.born && worker.clock.is_some();
        let is_usable = match self.open_run(&start.task).map(|o| o.phase) {
            Some(RunPhase::Planned) => !has_failed && self.is_usable(worker, now),
            Some(RunPhase::Unanswered) => self.accepts(worker, now),
            _ => return Some("it is not wanted any more".to_string()),
        };
        if is_same && !worker.owns_entry() {
            return Some(format!("the entry of {id} is of another incarnation"));
        }
        if self.has_old_entry(worker, now) {
            let age = now.since(worker.written);
            let most = self.times.start_ages.entry;
            return Some(format!(
                "the entry of {id} may be {age} old, more than {most}"
            ));
        }
        if !is_same || !is_usable {
            return Some(format!("{id} is not usable any more"));
        }
        let age = now.since(start.planned_at);
        if age > MAX_PLAN_AGE {
            return Some(format!("planned {age} ago, more than {MAX_PLAN_AGE}"));
        }
        let spec = job.and_then(|j| j.spec(&start.task));
        let label = spec.and_then(|s| s.label.as_ref());
        if label.is_some_and(|label| !worker.labels.contains(label)) {
            return Some(format!("{id} is of another kind now"));
        }
        if job.is_some_and(|j| self.pool_of(j) != worker.entry.pool) {
            return Some(format!("{id} is not of the pool of the queue"));
        }
        let need = spec.map(StepSpec::occupies);
        if need.is_some_and(|need| worker.excess().overlaps(&need)) {
            let (used, capacity) = (worker.occupied(), worker.entry.capacity);
            return Some(format!("{id} has {capacity}, and its runs occupy {used}"));
        }
        if self.is_over_limit(start) {
            return Some("the limit of the organisation is exceeded".to_string());
        }
        None
    }

    /// Whether tasks may be placed on a worker, pauses after failures aside.
    pub(crate) fn is_usable(&self, worker: &Worker, now: Millis) -> bool {
        self.accepts(worker, now)
            && now >= worker.not_before
            && !self.cordoned.contains(&worker.entry.id)
    }

    /// Whether a worker may be sent a start.
    pub(super) fn accepts(&self, worker: &Worker, now: Millis) -> bool {
        let entry = &worker.entry;
        let fresh = now.since(worker.last_answer) <= Millis(self.times.poll_wait.0 * 2);
        worker.has_answered
            && !worker.unresponsive
            && worker.contact == Contact::Settled
            && fresh
            && worker.missing_since.is_none()
            && entry.state == WorkerState::Ready
            && !self.excluded.contains(&entry.domain)
            && worker.owns_entry()
            && !self.has_old_entry(worker, now)
    }

    /// Whether a worker's entry may be so old that its room has changed since, and that counts.
    pub(super) fn has_old_entry(&self, worker: &Worker, now: Millis) -> bool {
        now.since(worker.written) > self.times.start_ages.entry
    }

    /// Whether a worker takes no starts until its entry or the operators change. One that has no entry for a
    /// moment may be back.
    pub(super) fn is_closed(&self, worker: &Worker, now: Millis) -> bool {
        let entry = &worker.entry;
        let is_gone = worker
            .missing_since
            .is_some_and(|at| now.since(at) > MISSING_GRACE);
        is_gone
            || entry.state == WorkerState::Draining
            || self.excluded.contains(&entry.domain)
            || self.cordoned.contains(&entry.id)
    }
}
