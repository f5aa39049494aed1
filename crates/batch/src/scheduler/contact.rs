//! What may be believed of a worker that was out of contact or is back under its id.
//!
//! Load pattern: workers start again under their ids and addresses while calls to them are on their way, and
//! are cut off soon after. A call names the worker, not its incarnation, so the next one takes what was meant
//! for the former: it starts runs that are not wanted any more, and takes deadlines by the former clock,
//! which give it the longest lease, as its own clock starts anew. Only the fencing token turns these calls
//! away, and a new incarnation has seen none.
//!
//! So the token of a worker's calls rises whenever contact with it is lost, and nothing is concluded from
//! what it does not report until it has answered to the new one.

use base::Fence;
use base::Millis;
use base::WorkerId;

use super::Scheduler;
use crate::account::Loss;
use crate::account::LossCause;
use crate::bounds::with_clock_drift;
use crate::bounds::CALL_LIFE;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::spec::TaskId;
use crate::speed::Evidence;
use crate::speed::Meter;
use crate::throttle::Throttle;
use crate::worker::Contact;
use crate::worker::Report;

impl Scheduler {
    /// Records a higher token: the revision of a write that was conditional on the coordinator's lock.
    pub fn raise_fence(&mut self, to: Fence) {
        self.fence = self.fence.max(to);
    }

    /// Whether contact with a worker was lost and there is no higher token for it.
    pub fn lacks_fence(&self) -> bool {
        let mut workers = self.workers.values();
        workers.any(|w| w.contact == Contact::Lost && w.fence >= self.fence)
    }

    /// Gives the calls to a worker a higher token if contact with it was lost and there is one.
    pub(super) fn renew_contact(&mut self, id: &WorkerId, now: Millis) {
        let fence = self.fence;
        let worker = self.workers.get_mut(id);
        let worker = worker.filter(|w| w.contact == Contact::Lost && w.fence < fence);
        let Some(worker) = worker else { return };
        worker.fence = fence;
        worker.contact = Contact::Raised(now);
        let text =
            format!("contact with {id} was lost; calls to it have the fencing token {fence} now");
        self.log(None, text);
    }

    /// Processes what a report in response to a poll sent at `sent` tells of the calls before it.
    pub(super) fn settle_contact(&mut self, id: &WorkerId, sent: Millis, now: Millis) {
        let longest = self.longest_lease();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_settled = match worker.contact {
            Contact::Lost => false,
            Contact::Raised(at) => sent >= at,
            Contact::Settled => true,
        };
        if is_settled {
            worker.contact = Contact::Settled;
        }
        if !worker.lease_unknown {
            return;
        }
        worker.lease_unknown = !is_settled;
        // Whether the incarnation is old enough to have had calls of its own only cannot be told.
        worker.lease_end = now
            + match is_settled {
                true => with_clock_drift(self.bounds.max_hold),
                false => longest,
            };
    }

    /// Records that another incarnation has carried out a request, before its first report.
    pub(super) fn note_restart(&mut self, id: &WorkerId, now: Millis) {
        let longest = self.longest_lease();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.has_answered = false;
        worker.lease_unknown = true;
        worker.lose_contact();
        worker.lease_end = worker.lease_end.max(now + longest);
    }

    /// Longest time for which runs of an incarnation go on that has not answered to a higher token: it may
    /// still carry out calls that were meant for the former one.
    fn longest_lease(&self) -> Millis {
        CALL_LIFE + with_clock_drift(self.bounds.max_hold)
    }

    /// Processes the first report of a worker's incarnation. Runs that the former one has carried out have
    /// ended with it, if no request to start them is without an answer.
    pub(super) fn start_incarnation(
        &mut self,
        id: &WorkerId,
        born: u64,
        report: &Report,
        sent: Millis,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let restarted = worker.clock.is_some();
        let mut ended: Vec<TaskId> = self.runs_before(id, born);
        // A start request names no incarnation: this one has carried out what it reports.
        let began = Some(now.since(Millis(report.clock)));
        ended.retain(|task| {
            let run = self.open_run(task).map(|o| o.run);
            let is_here = run.is_some_and(|run| report.mentions(task, run));
            !is_here && !self.was_sent_after(task, began)
        });
        if restarted || !ended.is_empty() {
            self.note_crash(id, ended, "has restarted", now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.first_answer = now;
        worker.has_crashed = false;
        worker.born = born;
        worker.is_draining = worker.shows_draining();
        worker.upkeep_at = None;
        worker.clock = None;
        worker.reported_end = 0;
        worker.read_ends.clear();
        worker.stored_end = 0;
        worker.held_ends.clear();
        worker.lease_unknown = true;
        worker.lose_contact();
        worker.failures.clear();
        worker.throttle = Throttle::default();
        if restarted || worker.evidence.born != born {
            worker.evidence = Evidence::default();
            worker.evidence.born = born;
        }
        self.recall_worker(id, now);
        for task in self.runs_before(id, born) {
            let state = self.jobs.get_mut(&task.job);
            let open = state.and_then(|j| j.task_mut(&task)?.open.as_mut());
            let Some(open) = open else { continue };
            // Readings of the former clock prove nothing about this one.
            open.absent_after = None;
            open.meter = Meter::default();
            let run = open.run;
            let has_begun = matches!(open.phase, RunPhase::Running | RunPhase::Stopping);
            // A later answer may be of this incarnation, which began the run after its report.
            let is_earlier = open.seen_at.is_some_and(|at| at < sent);
            let is_over = has_begun && is_earlier && !open.adrift.is_any(now);
            if is_over && !report.mentions(&task, run) {
                self.close_lost(&task, LossCause::Worker, now);
                self.break_gang(&task, run, &Loss::new(LossCause::Worker));
            }
        }
    }

    /// Whether a worker's incarnation refuses the requests to start an open run that were sent before it
    /// last reported. A later incarnation may not.
    pub(super) fn is_refused(&self, open: &OpenRun, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|w| w.contact == Contact::Settled && open.fence < w.fence)
    }

    /// Latest time at which a run can end whose worker does not answer. A start without an answer may still
    /// be carried out by an incarnation that has neither reported nor registered, which takes its deadline for
    /// the longest lease.
    pub(super) fn lapse_end(&self, open: &OpenRun) -> Millis {
        let worker = self.workers.get(&open.worker);
        let lease_end = worker.map_or(self.inherited_end, |w| w.lease_end);
        let adrift = open.adrift.until();
        let adrift_end = adrift.map(|until| until + with_clock_drift(self.bounds.max_hold));
        lease_end.max(adrift_end.unwrap_or_default())
    }
}
