//! Tasks under which workers were lost: what is noted of each, when it is cleared, and when its job ends.

use std::collections::BTreeSet;

use base::JobId;
use base::Millis;
use base::WorkerId;

use super::crashes::run_age;
use super::losses::Loss;
use super::LogKind;
use super::Scheduler;
use crate::crash;
use crate::crash::cleared_after;
use crate::crash::is_cause;
use crate::crash::is_start;
use crate::crash::is_suspect;
use crate::crash::Crash;
use crate::crash::MAX_AGE;
use crate::job::JobPhase;
use crate::job::RunPhase;
use crate::spec::TaskId;

/// What the loss of a worker says of a run on it; see [`Crash`].
#[derive(Clone, Copy)]
struct Evidence {
    sole: bool,
    in_group: bool,
    proven: bool,
}

impl Scheduler {
    /// Notes the loss of a worker for the tasks that ran on it.
    pub(super) fn note_loss(&mut self, id: &WorkerId, runs: &[TaskId], proven: bool, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut loss = Loss::new(worker, now);
        let is_group = self.is_group_loss(&loss);
        loss.had_suspect = self.has_suspect(worker);
        loss.judged_from = proven.then_some(now);
        let address = worker.entry.address;
        let heard = worker.last_report();
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        let mut starting: BTreeSet<JobId> = BTreeSet::new();
        for task in worker.open.keys() {
            let open = self.open_run(task);
            let Some(open) = open.filter(|o| o.phase != RunPhase::Planned) else {
                continue;
            };
            jobs.insert(task.job.clone());
            if is_start(run_age(open, heard)) {
                starting.insert(task.job.clone());
            }
        }
        let open = runs
            .iter()
            .filter_map(|task| Some((task, self.open_run(task)?)));
        loss.runs = open.map(|(t, o)| (t.clone(), o.run, o.born)).collect();
        loss.jobs = jobs.clone();
        self.losses.add(loss, now);
        for task in runs {
            let is_only_start = starting.len() == 1 && starting.contains(&task.job);
            let evidence = Evidence {
                sole: jobs.len() == 1 || is_only_start,
                in_group: is_group,
                proven,
            };
            self.note_crash_under(task, id, evidence);
        }
        if proven && !is_group {
            self.losses.add_crash(address, jobs, now);
        }
        for task in runs {
            self.end_if_cause(task, now);
        }
    }

    /// Notes the loss of a worker for the task of one of its runs.
    fn note_crash_under(&mut self, task: &TaskId, id: &WorkerId, evidence: Evidence) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(open) = self.open_run(task) else {
            return;
        };
        let age = run_age(open, worker.last_report());
        if open.phase == RunPhase::Planned || age.is_some_and(|age| age > MAX_AGE) {
            return;
        }
        let address = worker.entry.address;
        let unsound = self.losses.has_crashed_without(&address, &task.job);
        let crash = Crash {
            run: open.run,
            worker: id.clone(),
            born: open.born,
            address,
            age,
            sole: evidence.sole,
            unsound,
            in_group: evidence.in_group,
            proven: evidence.proven,
        };
        let run = open.run;
        let Some(state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else {
            return;
        };
        let was_suspect = is_suspect(&state.crashes);
        crash::add(&mut state.crashes, crash);
        if is_suspect(&state.crashes) && !was_suspect {
            let text = format!(
                "{id} was lost under run {run} of {task}; its next run is kept apart from other jobs"
            );
            self.log(Some(&task.job), text);
        }
        self.suspects.insert(task.clone());
        self.dirty.insert(task.job.clone());
    }

    /// Processes the first answer after a silence: whether the losses that were noted meanwhile, of this
    /// worker and at its address, were crashes.
    pub(super) fn settle_losses(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let (born, address) = (worker.born, worker.entry.address);
        self.losses.drop_found(id, born);
        let is_open = |c: &Crash| !c.proven && (c.worker == *id || c.address == address);
        let concerned = self.suspects.iter().filter(|task| {
            let state = self.jobs.get(&task.job).and_then(|j| j.task(task));
            state.is_some_and(|t| t.crashes.iter().any(is_open))
        });
        for task in concerned.cloned().collect::<Vec<_>>() {
            let Some(state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(&task)) else {
                continue;
            };
            // The same incarnation answers again: it was only out of reach.
            let crashes = &mut state.crashes;
            crashes.retain(|c| c.proven || c.worker != *id || c.born != born);
            for crash in crashes {
                crash.proven |= crash.worker == *id || crash.address == address;
            }
            self.dirty.insert(task.job.clone());
            self.end_if_cause(&task, now);
        }
    }

    /// Clears the tasks that have run well since, and ends the jobs of those that are the cause.
    pub(super) fn review_suspects(&mut self, now: Millis) {
        let poll_wait = self.times.poll_wait;
        self.judge_losses(now);
        self.accused.clear();
        for task in self.suspects.clone() {
            let job = self.jobs.get(&task.job);
            let ended = job.is_none_or(|j| j.phase.is_final());
            let open = self.open_run(&task);
            let worker = open.and_then(|o| self.workers.get(&o.worker));
            let seen = open.filter(|o| o.seen_at.is_some());
            let age = seen.and_then(|o| run_age(o, worker?.last_report()));
            let run = open.map(|o| (o.run, o.born));
            let job = self.jobs.get_mut(&task.job).filter(|_| !ended);
            let Some(state) = job.and_then(|j| j.task_mut(&task)) else {
                self.suspects.remove(&task);
                continue;
            };
            let after = cleared_after(&state.crashes, poll_wait);
            let is_new = state.crashes.iter().all(|c| Some((c.run, c.born)) != run);
            let is_cleared = is_new && age.is_some_and(|age| age >= after);
            if state.done || is_cleared || state.crashes.is_empty() {
                if !std::mem::take(&mut state.crashes).is_empty() {
                    self.dirty.insert(task.job.clone());
                }
                self.suspects.remove(&task);
                if is_cleared {
                    let text = format!("{task} has run for {after}; it is not suspected any more");
                    self.log(Some(&task.job), text);
                }
                continue;
            }
            self.end_if_cause(&task, now);
        }
    }

    /// Ends the job of a task that is the cause of the crashes under it.
    fn end_if_cause(&mut self, task: &TaskId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_final = job.phase.is_final();
        let Some(state) = job.task_mut(task) else {
            return;
        };
        if is_final || !is_cause(&state.crashes) {
            return;
        }
        if self.losses.is_open(task) {
            self.accused.insert(task.job.clone());
            return;
        }
        let crashes = state.crashes.iter().filter(|c| c.proven);
        let list: Vec<String> = crashes
            .map(|c| format!("run {} on {} at {}", c.run, c.worker, c.address))
            .collect();
        let text = format!("workers crashed under {task}: {}", list.join(", "));
        self.log_kind(LogKind::JobGivenUp, Some(&task.job), text);
        self.losses.forget_caused_by(&task.job);
        self.end_job(&task.job, JobPhase::Failed, now);
        self.end_if_done(&task.job, now);
    }
}
