//! Starts without an answer: when they are requested again, and when their tasks may start elsewhere.
//!
//! Load pattern: a start has no answer, so it may be carried out seconds later. A stop, a higher fencing
//! token or a report without the run binds the incarnation that answered; the worker crashes, and its next
//! incarnation takes the request that is on its way. A task that runs elsewhere by then runs twice.
//!
//! So a task stays with the worker that such a request was sent to. It is requested again there under the
//! same run number, which a worker carries out once, and starts elsewhere only when no request can be
//! carried out any more.

use base::Millis;
use base::WorkerId;

use super::stall::STALL_PAUSE;
use super::stops::lost_run;
use super::Scheduler;
use super::StartRequest;
use crate::account::Loss;
use crate::account::LossCause;
use crate::bounds::CALL_LIFE;
use crate::crash::is_suspect;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::plan::ISOLATION_WAIT;
use crate::spec::RunNumber;
use crate::spec::StepSpec;
use crate::spec::TaskId;
use crate::worker::Contact;
use crate::worker::Worker;

/// Pauses before a start without an answer is requested again. Most answers are lost singly; a worker that
/// leaves two requests unanswered is not pressed.
const REPEAT_PAUSES: [Millis; 2] = [Millis(100), Millis(4_000)];

/// Most crashes of workers under a task whose start is requested again of the next incarnation: more may be
/// its fault.
const MAX_CRASHES: usize = 3;

impl Scheduler {
    /// Records that a start was not carried out or has no answer while earlier requests for it may still be
    /// carried out. It is requested again.
    pub(super) fn await_repeat(&mut self, task: &TaskId, now: Millis) {
        let state = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task));
        let open = state.and_then(|t| t.open.as_mut());
        let Some(open) = open.filter(|o| o.phase == RunPhase::Sent) else {
            return;
        };
        let pause = REPEAT_PAUSES.get(open.unanswered).copied();
        open.phase = RunPhase::Unanswered;
        open.unanswered += 1;
        open.repeat_at = pause.map(|pause| now + pause);
        self.unanswered.insert(task.clone());
    }

    /// Processes that a worker's incarnation does not have an open run, and refuses all requests to start it
    /// that were sent before.
    pub(super) fn close_absent(&mut self, id: &WorkerId, task: &TaskId, born: u64, now: Millis) {
        let Some(open) = self.open_run(task) else {
            return;
        };
        let (run, was_born) = (open.run, open.born);
        let has_begun = open.phase != RunPhase::Unanswered;
        if self.may_repeat(task, born, now) {
            return self.repeat_on(id, task, born, now);
        }
        let cause = match was_born != born {
            true => LossCause::Worker,
            false => LossCause::Unreported,
        };
        self.log(
            Some(&task.job),
            format!("run {run} of {task} closed: {id} does not report it"),
        );
        if let Some(worker) = self.workers.get_mut(id).filter(|_| !has_begun) {
            worker.failures.record_stall(&task.job, STALL_PAUSE, now);
        }
        self.close_lost(task, cause, now);
        self.break_gang(task, run, &Loss::new(cause));
    }

    /// Whether a run that is absent from its worker is to be requested again there, as it may not start
    /// elsewhere yet.
    fn may_repeat(&self, task: &TaskId, born: u64, now: Millis) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(state) = job.task(task) else {
            return false;
        };
        let Some(open) = state.open.as_deref() else {
            return false;
        };
        let may_begin = match open.phase {
            RunPhase::Inherited | RunPhase::Sent => true,
            RunPhase::Unanswered => open.born != born || open.unanswered <= REPEAT_PAUSES.len(),
            // The other members of its gang have ended with it.
            RunPhase::Running => !self.is_gang(task),
            // The incarnation that it was to be stopped at has ended.
            RunPhase::Stopping => open.born != born && !self.is_gang(task) && self.has_room(task),
            RunPhase::Adrift | RunPhase::Planned => false,
        };
        let has_failed = state.failed.contains(&open.run);
        let is_wanted = !state.done && !job.phase.is_final() && !has_failed;
        may_begin && is_wanted && state.crashes.len() <= MAX_CRASHES && open.adrift.is_any(now)
    }

    /// Whether the runs of its worker leave room for an open run.
    fn has_room(&self, task: &TaskId) -> bool {
        let need = self.jobs.get(&task.job).and_then(|j| j.spec(task));
        let worker = self.open_run(task).map(|o| &o.worker);
        let worker = worker.and_then(|id| self.workers.get(id));
        let need = need.map(StepSpec::occupies);
        worker.is_some_and(|w| need.is_some_and(|need| !w.excess().overlaps(&need)))
    }

    /// Queues the start of a run again for its worker, which may be another incarnation.
    fn repeat_on(&mut self, id: &WorkerId, task: &TaskId, born: u64, now: Millis) {
        let state = self.jobs.get_mut(&task.job).and_then(|j| {
            let spec = j.spec(task).cloned()?;
            Some((j.task_mut(task)?, spec))
        });
        let Some((state, spec)) = state else { return };
        let restored = !state.saved.is_empty();
        let Some(open) = state.open.as_mut() else {
            return;
        };
        let is_queued = open.phase == RunPhase::Unanswered && open.born == born;
        if is_queued || open.phase == RunPhase::Sent {
            return;
        }
        let run = open.run;
        let was_stopping = open.phase == RunPhase::Stopping;
        let lost = lost_run(task, &spec, open, now);
        **open = OpenRun {
            adrift: open.adrift,
            phase: RunPhase::Unanswered,
            repeat_at: Some(now),
            restored,
            ..OpenRun::planned(run, id.clone(), born, now)
        };
        self.unanswered.insert(task.clone());
        if let Some(worker) = self.workers.get_mut(id).filter(|_| was_stopping) {
            worker.remove_run(task, &spec, true);
            worker.add_run(task.clone(), run, &spec);
        }
        self.stopping.remove(task);
        if let Some(lost) = lost {
            self.log_lost(lost, now);
        }
        let text = format!(
            "{id} does not report run {run} of {task}, and an earlier request may still start it \
             there; requesting it again"
        );
        self.log(Some(&task.job), text);
    }

    /// Queues the requests that are due for starts without an answer.
    pub(crate) fn repeat_starts(&mut self, now: Millis) {
        let due: Vec<TaskId> = self.unanswered.iter().cloned().collect();
        for task in due {
            let open = self.open_run(&task);
            let open = open.filter(|o| o.phase == RunPhase::Unanswered);
            let Some((id, run, at)) = open.map(|o| (o.worker.clone(), o.run, o.repeat_at)) else {
                self.unanswered.remove(&task);
                continue;
            };
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let is_heard = !worker.is_lost() && worker.contact == Contact::Settled;
            let overdue = at.filter(|at| now >= *at).map(|at| now.since(at));
            let Some(overdue) = overdue.filter(|_| is_heard) else {
                continue;
            };
            if overdue < ISOLATION_WAIT && self.is_kept_apart(&task, worker) {
                continue;
            }
            let is_rejected = self.advice.is_rejected(&task.step_id(), &id);
            if !self.is_closed(worker, now) && !is_rejected {
                self.repeat_start(&task, &id, now);
            } else {
                let text = format!("{id} takes no starts any more; stopping run {run} of {task}");
                self.log(Some(&task.job), text);
                let loss = Loss::new(LossCause::Unanswered);
                self.stop_run(&task, loss.clone());
                self.break_gang(&task, run, &loss);
            }
        }
    }

    /// Whether a task that is suspected of crashing workers would start beside runs of other jobs.
    fn is_kept_apart(&self, task: &TaskId, worker: &Worker) -> bool {
        let state = self.jobs.get(&task.job).and_then(|j| j.task(task));
        let is_active = |other: &TaskId| {
            let open = self.open_run(other);
            open.is_some_and(|o| o.phase != RunPhase::Unanswered)
        };
        let mut others = worker.open.keys().filter(|other| other.job != task.job);
        state.is_some_and(|s| is_suspect(&s.crashes)) && others.any(is_active)
    }

    /// Requests a start again. If that needs a ticket and there is no valid one, the adviser is asked first.
    fn repeat_start(&mut self, task: &TaskId, id: &WorkerId, now: Millis) {
        let step = task.step_id();
        let rule = self.jobs.get(&task.job).and_then(|j| self.advice_rule(j));
        let born = self.workers.get(id).map_or(0, |w| w.born);
        if let Some(rule) = rule.filter(|_| !self.advice.has_ticket(&step, id, now, born)) {
            return self.advice.enqueue_repeat(&step, rule, id);
        }
        let Some(start) = self.start_again(task, id, now) else {
            return;
        };
        let is_held = self.obstacle(&start, now).is_some();
        let state = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task));
        let Some(open) = state.and_then(|t| t.open.as_mut()) else {
            return;
        };
        if is_held {
            open.repeat_at = Some(now + REPEAT_PAUSES[0]);
            return;
        }
        open.repeat_at = None;
        open.born = start.born;
        open.planned_at = now;
        open.restored = !start.saved.is_empty();
        self.planned.push(start);
        self.dirty.insert(task.job.clone());
    }

    /// The request that starts an open run of a task again.
    fn start_again(&self, task: &TaskId, id: &WorkerId, now: Millis) -> Option<StartRequest> {
        let worker = self.workers.get(id)?;
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task)?;
        Some(StartRequest {
            task: task.clone(),
            run: state.open.as_ref()?.run,
            worker: id.clone(),
            born: worker.born,
            address: worker.entry.address,
            spec: job.submitted.work.spec.clone(),
            saved: state.saved.clone(),
            ticket: self.advice.ticket(&task.step_id(), id),
            deadline: 0,
            fence: worker.fence,
            planned_at: now,
        })
    }

    /// Takes back the request of a start that has not been sent.
    pub(super) fn cancel_start(&mut self, start: &StartRequest, now: Millis) {
        if !self.is_open(&start.task, start.run, &start.worker) {
            return;
        }
        let job = self.jobs.get_mut(&start.task.job);
        let state = job.and_then(|j| j.task_mut(&start.task));
        let Some(open) = state.and_then(|t| t.open.as_mut()) else {
            return;
        };
        if open.phase == RunPhase::Sent {
            // It was withdrawn once it could have been sent.
            open.adrift.answer();
            open.phase = match open.adrift.is_any(now) {
                true => RunPhase::Unanswered,
                false => RunPhase::Planned,
            };
        }
        match open.phase {
            RunPhase::Planned => self.close_run(&start.task, now),
            RunPhase::Unanswered => {
                open.repeat_at = Some(now + REPEAT_PAUSES[0]);
                self.unanswered.insert(start.task.clone());
            }
            _ => {}
        }
    }

    /// Records that a run has ended or is refused while requests to start it may still be carried out by a
    /// later incarnation. It occupies nothing there, counts toward its organisation's limit, and its task does
    /// not start again before they cannot be.
    pub(super) fn set_adrift(&mut self, task: &TaskId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(spec) = job.spec(task).cloned() else {
            return;
        };
        let Some(open) = job.task_mut(task).and_then(|t| t.open.as_mut()) else {
            return;
        };
        let was_stopping = open.phase == RunPhase::Stopping;
        let lost = lost_run(task, &spec, open, now);
        let (run, id) = (open.run, open.worker.clone());
        let left = open.adrift.until().unwrap_or(now).since(now);
        open.phase = RunPhase::Adrift;
        open.seen_at = None;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.remove_run(task, &spec, was_stopping);
            worker.adrift.insert(task.clone());
        }
        self.stopping.remove(task);
        if let Some(lost) = lost {
            self.log_lost(lost, now);
        }
        self.dirty.insert(task.job.clone());
        let text = format!(
            "run {run} of {task} on {id} is over, and a request to start it may be carried out for \
             {left}: it starts nowhere else before"
        );
        self.log(Some(&task.job), text);
    }

    /// Records that a run that was adrift is active, as a later incarnation has carried out a request. It
    /// is stopped.
    pub(super) fn stop_adrift(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(spec) = job.spec(task).cloned() else {
            return;
        };
        let open = job.task_mut(task).and_then(|t| t.open.as_mut());
        let Some(open) = open.filter(|o| o.phase == RunPhase::Adrift) else {
            return;
        };
        open.phase = RunPhase::Stopping;
        open.absent_after = None;
        open.stop_sent = None;
        let run: RunNumber = open.run;
        if let Some(worker) = self.workers.get_mut(&open.worker) {
            worker.adrift.remove(task);
            worker.add_run(task.clone(), run, &spec);
            worker.release_run(task, &spec);
        }
        self.stopping.insert(task.clone());
    }

    /// Closes the runs of a worker that were adrift and cannot be started any more, by a report to a poll
    /// sent at `sent`.
    pub(super) fn close_adrift(&mut self, id: &WorkerId, sent: Millis, now: Millis) {
        let adrift = self.workers.get(id).into_iter().flat_map(|w| &w.adrift);
        let is_over = |t: &&TaskId| self.open_run(t).is_none_or(|o| !o.adrift.is_any(sent));
        let over: Vec<TaskId> = adrift.filter(is_over).cloned().collect();
        for task in over {
            self.finish_run(&task, now);
        }
    }

    /// Notes that a request to start a run has no answer.
    pub(super) fn note_unanswered(&mut self, task: &TaskId, now: Millis) {
        let state = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task));
        if let Some(open) = state.and_then(|t| t.open.as_mut()) {
            open.adrift.lose(now + CALL_LIFE);
        }
    }
}
