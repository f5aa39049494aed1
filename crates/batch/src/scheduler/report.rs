//! Processing of workers' reports on their runs.

use base::JobId;
use base::Map;
use base::Millis;
use base::WorkerId;

use super::Scheduler;
use super::SeenEnd;
use crate::account::Loss;
use crate::account::LossCause;
use crate::duration::FIRST_DEVIATION;
use crate::job::JobPhase;
use crate::job::RunPhase;
use crate::job::StepState;
use crate::spec::RunNumber;
use crate::spec::TaskId;
use crate::speed::Speed;
use crate::worker::ActiveRun;
use crate::worker::EndKind;
use crate::worker::EndedRun;
use crate::worker::Report;

/// Most ended runs in one report. A report with this many may be incomplete.
const MAX_REPORTED_ENDS: usize = 500;

/// Progress in percent of a task that lasts and is at work.
const AT_WORK: u32 = 100;

impl Scheduler {
    /// Processes a worker's report. `sent` is when the poll was sent.
    pub fn report(&mut self, id: &WorkerId, report: Report, sent: Millis, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let born = report.born.or(worker.entry.born).unwrap_or_default();
        if worker.has_answered && worker.born > born {
            return;
        }
        if worker.born != born || worker.clock.is_none() {
            self.start_incarnation(id, born, &report, sent, now);
        }
        self.settle_contact(id, sent, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_silent = std::mem::replace(&mut worker.unresponsive, false);
        let is_first = !std::mem::replace(&mut worker.has_answered, true);
        worker.last_answer = worker.last_answer.max(sent);
        // It would not answer if the upkeep had begun with that answer.
        worker.upkeep_at = worker.upkeep_at.filter(|at| sent <= *at);
        let answered = worker.clock.map_or(now, |(_, at)| at);
        let silence = now.since(answered).since(self.times.poll_wait);
        if worker.clock.is_none_or(|(clock, _)| clock <= report.clock) {
            worker.clock = Some((report.clock, now));
        }
        let truncated = report.ended.len() + report.odd.ended.len() >= MAX_REPORTED_ENDS;
        for end in &report.ended {
            self.apply_end(id, end, now);
        }
        self.acknowledge(id, &report, truncated);
        if was_silent || is_first {
            self.settle_losses(id, now);
        }
        self.discount_silence(id, silence, now);
        for run in &report.running {
            self.apply_running(id, run, report.clock, now);
            self.measure(id, run, report.clock, now);
        }
        if !truncated {
            self.close_missing(id, &report, sent, now);
            self.close_adrift(id, sent, now);
        }
        self.count_strays(id, &report);
        self.stop_odd_strays(id, &report);
        self.pause_if_unknown(id, &report, now);
        self.apply_latencies(id, &report, now);
    }

    /// Leaves the time in which a worker did not answer out of the time without progress of its runs:
    /// its machine may have stood still.
    fn discount_silence(&mut self, id: &WorkerId, silence: Millis, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        for task in worker.open.keys() {
            let job = self.jobs.get_mut(&task.job);
            let state = job.and_then(|j| j.task_mut(task));
            if let Some(open) = state.and_then(|t| t.open.as_mut()) {
                open.progress_at = now.min(open.progress_at + silence);
            }
        }
    }

    fn apply_end(&mut self, id: &WorkerId, end: &EndedRun, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.reported_end || !worker.read_ends.insert(end.number) {
            return;
        }
        self.unstored.push(SeenEnd {
            worker: id.clone(),
            end: end.clone(),
        });
        if end.kind == EndKind::Done {
            self.measure_end(id, &end.task, end.run, now);
        }
        if matches!(end.kind, EndKind::Done | EndKind::Failed) {
            self.hold_end(id, end, now);
        }
        self.apply_effect(id, end, now);
    }

    /// Keeps a worker listing an end whose run a later incarnation may start again, by a request that is
    /// still on its way. An end that was acknowledged stays counted, also when its worker has crashed.
    fn hold_end(&mut self, id: &WorkerId, end: &EndedRun, now: Millis) {
        let job = self.jobs.get(&end.task.job);
        let open = self.open_run(&end.task);
        let open = open.filter(|o| o.run == end.run && o.worker == *id);
        let until = match open {
            Some(open) => open.adrift.until(),
            None => job.and_then(|j| j.adrift_until(&end.task, end.run)),
        };
        let worker = self.workers.get_mut(id);
        if let (Some(until), Some(worker)) = (until.filter(|until| now <= *until), worker) {
            worker.held_ends.retain(|_, until| now <= *until);
            worker.held_ends.insert(end.number, until);
        }
    }

    /// Applies ends that an earlier coordinator has seen and could not record.
    pub fn apply_seen(&mut self, seen: &[SeenEnd], now: Millis) {
        for SeenEnd { worker, end } in seen {
            self.apply_effect(worker, end, now);
        }
    }

    fn apply_effect(&mut self, id: &WorkerId, end: &EndedRun, now: Millis) {
        let open = self.open_run(&end.task).filter(|o| o.run == end.run);
        let planned_at = open.map(|o| o.planned_at);
        if let Some(worker) = self.workers.get_mut(id) {
            if end.kind == EndKind::Done {
                worker
                    .failures
                    .refute_before(planned_at.unwrap_or_default());
            }
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let gang = job.spec(&end.task).is_some_and(|s| s.gang);
        let lasting = job.spec(&end.task).is_some_and(|s| s.lasting);
        let estimate = job.spec(&end.task).map(|s| s.estimate).unwrap_or_default();
        // Tasks that last may fail without a limit, and their failures are part of the job's record.
        let kept = match lasting {
            true => job.submitted.attempts as usize,
            false => usize::MAX,
        };
        let queue = job.submitted.queue.clone();
        let speed = self
            .jobs
            .get(&end.task.job)
            .and_then(|job| self.run_speed(job, &end.task, end.run));
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let Some(step) = job.step_mut(&end.task) else {
            return;
        };
        // A run is recorded before it is requested.
        if step.tasks.iter().all(|task| task.run < end.run) {
            return self.log_unknown(id, end);
        }
        // A run that ended had started, whether or not that was read.
        step.unstarted_since = None;
        if !end.saved.is_empty() {
            note_saved(step, &end.task, end.run, now);
            match gang {
                true => step
                    .tasks
                    .iter_mut()
                    .for_each(|t| t.saved = end.saved.clone()),
                false => {
                    if let Some(task) = step.tasks.get_mut(usize::from(end.task.index)) {
                        task.saved = end.saved.clone();
                    }
                }
            }
        }
        if end.kind == EndKind::Failed && gang {
            note_failure(&mut step.failed, end.run, kept);
        }
        if end.kind == EndKind::Done && gang && !lasting {
            step.tasks.iter_mut().for_each(|t| t.done = true);
        }
        let Some(task) = step.tasks.get_mut(usize::from(end.task.index)) else {
            return;
        };
        let started = task
            .open
            .as_ref()
            .filter(|o| o.run == end.run)
            .and_then(|o| o.seen_at);
        let restored = task.open.as_ref().is_some_and(|o| o.restored);
        let percent = task.open.as_ref().map(|o| o.percent);
        if end.kind == EndKind::Done && !lasting {
            task.done = true;
            if let Some(started) = started.filter(|_| estimate > Millis::ZERO) {
                let usual = speed.unwrap_or(Speed::USUAL).usual_time(now.since(started));
                if !restored {
                    let ratio = self.ratios.get(&queue).copied().unwrap_or(100);
                    update_deviation(&mut self.deviations, &queue, usual, estimate, ratio);
                }
                update_ratio(&mut self.ratios, queue, usual, estimate);
            }
        }
        if end.kind == EndKind::Failed {
            if !gang {
                note_failure(&mut task.failed, end.run, kept);
            }
            if !task.avoid.contains(id) {
                task.avoid.push(id.clone());
            }
            let age = started.map_or(Millis::MAX, |at| now.since(at));
            // The worker did what it can do for a task that lasts once that was at work.
            if !(lasting && percent.is_some_and(|p| p >= AT_WORK)) {
                self.attribute_failure(id, &end.task.job, age, now);
            }
        }
        self.dirty.insert(end.task.job.clone());
        self.after_end(id, end, now);
    }

    /// Attributes a failure to the worker, or to the job itself if it has failed on several
    /// workers. Otherwise a few jobs that can never succeed would get every worker paused.
    fn attribute_failure(&mut self, id: &WorkerId, job_id: &JobId, age: Millis, now: Millis) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if !job.failed_on.contains(id) {
            job.failed_on.push(id.clone());
        }
        if job.is_suspect() {
            let is_alarm = self.early_failures.alarm(now).is_some();
            for other in job.failed_on.clone() {
                if let Some(worker) = self.workers.get_mut(&other) {
                    worker.failures.exonerate(job_id, is_alarm);
                }
            }
            return;
        }
        let alarming = self.early_failures.record(id, job_id, age, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.failures.record(job_id, alarming, now);
    }

    /// Closes the ended run, and ends its job if this decides it.
    fn after_end(&mut self, id: &WorkerId, end: &EndedRun, now: Millis) {
        let job_id = &end.task.job;
        let cause = match end.kind {
            EndKind::Alone | EndKind::Broken => LossCause::Gang,
            EndKind::Done => LossCause::Superseded,
            EndKind::Failed => LossCause::Failed,
            EndKind::Lapsed => LossCause::Lapsed,
            EndKind::Stopped => LossCause::Predecessor,
        };
        if self.is_open(&end.task, end.run, id) {
            self.close_lost(&end.task, cause, now);
        } else if end.kind == EndKind::Done {
            self.stop_run(&end.task, Loss::new(cause));
        }
        if matches!(end.kind, EndKind::Failed | EndKind::Alone | EndKind::Lapsed) {
            self.break_gang(&end.task, end.run, &Loss::new(cause));
        }
        self.fail_if_exhausted(job_id, &end.task, now);
        self.end_if_done(job_id, now);
    }

    fn fail_if_exhausted(&mut self, id: &JobId, task: &TaskId, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let attempts = job.submitted.attempts;
        let lasting = job.spec(task).is_some_and(|s| s.lasting);
        let Some(step) = job.step_mut(task) else {
            return;
        };
        let spent = step.failures() >= attempts as usize;
        if spent && !lasting && !step.is_done() && !job.phase.is_final() {
            self.end_job(id, JobPhase::Failed, now);
        }
    }

    fn apply_running(&mut self, id: &WorkerId, active: &ActiveRun, clock: u64, now: Millis) {
        if !self.is_open(&active.task, active.run, id) {
            self.queue_stray_stop(id, &active.task, active.run);
            return;
        }
        let born = self.workers.get(id).map(|w| w.born);
        let Some(job) = self.jobs.get_mut(&active.task.job) else {
            return;
        };
        let final_phase = job.phase.is_final();
        let lasts = job.spec(&active.task).is_some_and(|s| s.lasting);
        let Some(task) = job.task_mut(&active.task) else {
            return;
        };
        let done = task.done;
        let mut is_saved = false;
        if !active.saved.is_empty() && task.saved != active.saved {
            task.saved = active.saved.clone();
            is_saved = true;
        }
        let Some(open) = task.open.as_mut() else {
            return;
        };
        if is_saved {
            open.saved_at = Some(now);
        }
        open.born = born.unwrap_or(open.born);
        open.seen_at.get_or_insert(now);
        if open.percent != active.percent {
            open.percent = active.percent;
            open.progress_at = now;
        }
        let is_adrift = open.phase == RunPhase::Adrift;
        if matches!(
            open.phase,
            RunPhase::Inherited | RunPhase::Sent | RunPhase::Unanswered
        ) {
            open.phase = RunPhase::Running;
        }
        if open.phase == RunPhase::Running {
            open.absent_after.get_or_insert(clock);
        }
        if lasts && open.percent >= AT_WORK {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.failures.refute_before(open.planned_at);
            }
        }
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            self.dirty.insert(active.task.job.clone());
        }
        if is_adrift {
            self.stop_adrift(&active.task);
        }
        if final_phase || done {
            self.stop_run(&active.task, Loss::new(LossCause::Superseded));
        }
    }

    /// Queues a stop for a run that the coordinator does not want on this worker.
    pub(super) fn queue_stray_stop(&mut self, id: &WorkerId, task: &TaskId, run: RunNumber) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.stray_runs.push((task.clone(), run));
        }
        self.log(
            Some(&task.job),
            format!("{id} reports run {run} of {task}, which is not wanted there; stopping it"),
        );
    }

    /// Closes the runs that, by this report, are not active and can no longer start.
    fn close_missing(&mut self, id: &WorkerId, report: &Report, sent: Millis, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let born = worker.born;
        let tasks: Vec<TaskId> = worker.open.keys().cloned().collect();
        for task in tasks {
            let Some(open) = self.open_run(&task) else {
                continue;
            };
            let run = open.run;
            if report
                .running
                .iter()
                .any(|r| r.task == task && r.run == run)
            {
                continue;
            }
            let (phase, is_refused) = (open.phase, self.is_refused(open, id));
            let absent_after = open.absent_after;
            let is_adrift = open.adrift.is_any(sent);
            if self.is_hidden(id, &task, report, now) {
                continue;
            }
            let ended = match phase {
                RunPhase::Adrift | RunPhase::Planned => false,
                // Its answer is still to come.
                RunPhase::Sent if is_adrift => false,
                _ if is_refused => true,
                RunPhase::Unanswered => !is_adrift,
                RunPhase::Inherited | RunPhase::Sent => false,
                RunPhase::Running | RunPhase::Stopping => {
                    absent_after.is_some_and(|clock| report.clock > clock)
                }
            };
            if ended {
                self.close_absent(id, &task, born, now);
            }
        }
    }
}

/// Weight of a new measurement in the moving average: one in this many.
const AVERAGE_WEIGHT: u32 = 16;

/// Most that the deviation of one duration counts, as a logarithm.
const MAX_DEVIATION: f64 = 1.0;

/// Upper limit on a measured ratio, in percent.
const MAX_RATIO_PERCENT: u64 = 500;

/// Adds the duration of one task to the ratio of its queue.
fn update_ratio(ratios: &mut Map<String, u32>, queue: String, took: Millis, estimate: Millis) {
    let measured = (took.0 * 100 / estimate.0).min(MAX_RATIO_PERCENT) as u32;
    let ratio = ratios.entry(queue).or_insert(100);
    *ratio = (*ratio * (AVERAGE_WEIGHT - 1) + measured) / AVERAGE_WEIGHT;
}

/// Adds how far the duration of one task is off what its queue's ratio lets expect, as a logarithm.
fn update_deviation(
    deviations: &mut Map<String, f64>,
    queue: &str,
    took: Millis,
    estimate: Millis,
    ratio: u32,
) {
    let expected = estimate.0 as f64 * f64::from(ratio) / 100.0;
    let off = (took.0.max(1) as f64 / expected.max(1.0)).ln().abs();
    let mean = deviations
        .entry(queue.to_string())
        .or_insert(FIRST_DEVIATION);
    *mean += (off.min(MAX_DEVIATION) - *mean) / f64::from(AVERAGE_WEIGHT);
}

/// Notes that the progress of a run has been saved until now.
fn note_saved(step: &mut StepState, task: &TaskId, run: RunNumber, now: Millis) {
    let state = step.tasks.get_mut(usize::from(task.index));
    if let Some(open) = state.and_then(|t| t.open.as_mut()).filter(|o| o.run == run) {
        open.saved_at = Some(now);
    }
}

/// Counts a failed run once, however often it is reported. Drops the oldest beyond `most`.
fn note_failure(failed: &mut Vec<RunNumber>, run: RunNumber, most: usize) {
    if !failed.contains(&run) {
        failed.push(run);
        failed.drain(..failed.len().saturating_sub(most));
    }
}
