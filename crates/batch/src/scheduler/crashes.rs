//! Recognition of workers that have crashed, and the runs that were on them.
//!
//! A worker that does not answer may be cut off, and its runs may go on. Only another incarnation in its
//! place shows that it has ended: one under the same id, or another worker at the same address.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::DomainId;
use base::JobId;
use base::Map;
use base::Millis;
use base::Set;
use base::WorkerId;

use super::LogKind;
use super::Scheduler;
use crate::crash::cleared_after;
use crate::crash::is_cause;
use crate::crash::is_suspect;
use crate::crash::Crash;
use crate::crash::MAX_AGE;
use crate::job::JobPhase;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::spec::TaskId;
use crate::worker::Worker;
use crate::worker::WorkerEntry;

/// Time for which crashes of a machine and losses of workers are remembered.
const MEMORY: Millis = Millis(60_000);

/// Number of workers that must be lost together, if they are also most of a failure domain or of a
/// rack, for the loss to be that of the domain or rack.
const MIN_GROUP: usize = 3;

/// A worker that was lost.
struct Loss {
    worker: WorkerId,
    address: SocketAddr,
    domain: DomainId,
    rack: Option<String>,
    /// When it last reported to this coordinator, if it did.
    heard: Option<Millis>,
    noted: Millis,
}

/// What is known of recent crashes, apart from the tasks that ran there.
#[derive(Default)]
pub(crate) struct CrashedMachines {
    /// Time of the last crash at each address, and the jobs that were running there.
    crashes: Map<SocketAddr, (Millis, BTreeSet<JobId>)>,
    losses: Vec<Loss>,
}

impl CrashedMachines {
    fn forget(&mut self, now: Millis) {
        self.crashes.retain(|_, (at, _)| now.since(*at) <= MEMORY);
        self.losses.retain(|l| now.since(l.noted) <= MEMORY);
    }

    /// Adds the loss of a worker, once.
    fn add_loss(&mut self, worker: &Worker, now: Millis) {
        self.forget(now);
        if !self.is_noted(&worker.entry.id, worker.last_report()) {
            self.losses.push(Loss {
                worker: worker.entry.id.clone(),
                address: worker.entry.address,
                domain: worker.entry.domain.clone(),
                rack: worker.entry.rack().map(str::to_string),
                heard: worker.last_report(),
                noted: now,
            });
        }
    }

    fn is_noted(&self, id: &WorkerId, heard: Option<Millis>) -> bool {
        let mut losses = self.losses.iter();
        losses.any(|l| l.worker == *id && l.heard == heard)
    }

    /// Whether a machine has crashed lately.
    pub(crate) fn has_crashed(&self, address: &SocketAddr) -> bool {
        self.crashes.contains_key(address)
    }

    /// Whether a machine has crashed lately while this job was not running there.
    fn has_crashed_without(&self, address: &SocketAddr, job: &JobId) -> bool {
        let crash = self.crashes.get(address);
        crash.is_some_and(|(_, jobs)| !jobs.contains(job))
    }

    /// Forgets the crashes that a job has caused.
    fn forget_caused_by(&mut self, job: &JobId) {
        self.crashes.retain(|_, (_, jobs)| !jobs.contains(job));
    }
}

impl Scheduler {
    /// Notes at which address a worker is.
    pub(super) fn add_host(&mut self, entry: &WorkerEntry) {
        let before = self.workers.get(&entry.id).map(|w| w.entry.address);
        if before == Some(entry.address) {
            return;
        }
        if let Some(before) = before {
            self.remove_host(before, &entry.id);
        }
        let ids = self.hosts.entry(entry.address).or_default();
        ids.push(entry.id.clone());
    }

    fn remove_host(&mut self, address: SocketAddr, id: &WorkerId) {
        if let Some(ids) = self.hosts.get_mut(&address) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.hosts.remove(&address);
            }
        }
    }

    /// Drops a worker that is gone.
    pub(super) fn remove_worker(&mut self, id: &WorkerId, now: Millis) {
        if let Some(worker) = self.workers.remove(id) {
            self.remove_host(worker.entry.address, id);
            if !worker.is_leaving {
                self.machines.add_loss(&worker, now);
            }
        }
    }

    /// Open runs on a worker that were started before the incarnation `born`.
    pub(super) fn runs_before(&self, id: &WorkerId, born: u64) -> Vec<TaskId> {
        let open = self.workers.get(id).into_iter().flat_map(|w| w.open.keys());
        let before = |task: &&TaskId| self.open_run(task).is_some_and(|o| o.born != born);
        open.filter(before).cloned().collect()
    }

    /// Notes the workers in whose place another one answers, which did not before they fell silent.
    pub(super) fn note_replaced(&mut self, now: Millis) {
        let mut replaced: Vec<(WorkerId, WorkerId)> = Vec::new();
        for ids in self.hosts.values().filter(|ids| ids.len() > 1) {
            let heard = |id: &WorkerId| self.workers.get(id).and_then(Worker::last_report);
            let is_lost = |id: &WorkerId| self.workers.get(id).is_some_and(Worker::is_lost);
            let Some(present) = ids.iter().find(|id| !is_lost(id)) else {
                continue;
            };
            let since = self.workers.get(present).map(|w| w.first_answer);
            let before = ids.iter().filter(|id| is_lost(id) && heard(id) < since);
            replaced.extend(before.map(|id| (id.clone(), present.clone())));
        }
        for (id, present) in replaced {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let runs: Vec<TaskId> = worker.open.keys().cloned().collect();
            let address = worker.entry.address;
            let how = format!("has ended: {present} answers at {address}");
            self.note_crash(&id, runs.clone(), &how, now);
            for task in runs {
                self.close_ended(&task, now);
            }
        }
    }

    /// Closes a run whose worker has ended. Requests name their worker, so none that is still under way
    /// starts it on the next one.
    fn close_ended(&mut self, task: &TaskId, now: Millis) {
        let open = self.open_run(task);
        let Some(run) = open.filter(|o| o.phase != RunPhase::Planned).map(|o| o.run) else {
            return;
        };
        self.close_run(task, now);
        self.break_gang(task, run);
    }

    /// Notes that a worker has crashed while these runs of it were open.
    pub(super) fn note_crash(&mut self, id: &WorkerId, runs: Vec<TaskId>, how: &str, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.is_leaving || std::mem::replace(&mut worker.has_crashed, true) {
            return;
        }
        let heard = worker.last_report();
        let list: Vec<String> = runs
            .iter()
            .filter_map(|task| {
                let open = self.open_run(task)?;
                let age = match run_age(open, heard) {
                    Some(age) => format!("active for {age}"),
                    None => "since an earlier coordinator".to_string(),
                };
                Some(format!("{task} run {} {age}", open.run))
            })
            .collect();
        let heard = heard.map_or("not heard".to_string(), |at| {
            format!("last heard {} ago", now.since(at))
        });
        let (num, list) = (list.len(), list.join(", "));
        let group = match self.is_group_loss(id) {
            true => " (most of its failure domain or rack was lost with it)",
            false => "",
        };
        let text = format!("{id} {how}{group}; {heard}; {num} runs were open: {list}");
        self.log_kind(LogKind::WorkerCrashed, None, text);
        self.note_loss(id, &runs, true, now);
    }

    /// Notes that the lease of a worker has expired while it could not be reached.
    pub(super) fn note_lapse(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_noted = self.machines.is_noted(id, worker.last_report());
        if !is_noted && !worker.is_leaving && !worker.has_crashed {
            let runs: Vec<TaskId> = worker.open.keys().cloned().collect();
            self.note_loss(id, &runs, false, now);
        }
    }

    /// Notes the loss of a worker for the tasks that ran on it, unless its failure domain or rack was
    /// lost, which no task has caused.
    fn note_loss(&mut self, id: &WorkerId, runs: &[TaskId], proven: bool, now: Millis) {
        let is_group = self.is_group_loss(id);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        self.machines.add_loss(worker, now);
        if is_group {
            return;
        }
        let address = worker.entry.address;
        let sent = worker.open.keys().filter(|task| {
            let open = self.open_run(task);
            open.is_some_and(|o| o.phase != RunPhase::Planned)
        });
        let jobs: BTreeSet<JobId> = sent.map(|t| t.job.clone()).collect();
        for task in runs {
            self.note_crash_under(task, id, jobs.len() == 1, proven);
        }
        if proven {
            self.machines.crashes.insert(address, (now, jobs));
        }
        for task in runs {
            self.end_if_cause(task, now);
        }
    }

    /// Notes the loss of a worker for the task of one of its runs.
    fn note_crash_under(&mut self, task: &TaskId, id: &WorkerId, only_job: bool, proven: bool) {
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
        let sick = self.machines.has_crashed_without(&address, &task.job);
        let crash = Crash {
            run: open.run,
            worker: id.clone(),
            born: open.born,
            address,
            age,
            alone: only_job && !sick,
            proven,
        };
        let run = open.run;
        let Some(state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else {
            return;
        };
        let was_suspect = is_suspect(&state.crashes);
        match state.crashes.iter_mut().find(|c| c.run == crash.run) {
            Some(known) => known.proven |= proven,
            None => state.crashes.push(crash),
        }
        if is_suspect(&state.crashes) && !was_suspect {
            let text = format!(
                "{id} was lost under run {run} of {task}; its next run is kept apart from other jobs"
            );
            self.log(Some(&task.job), text);
        }
        self.suspects.insert(task.clone());
        self.dirty.insert(task.job.clone());
    }

    /// Whether most workers of a worker's failure domain or rack were lost together with it.
    fn is_group_loss(&self, id: &WorkerId) -> bool {
        let Some(lost) = self.workers.get(id) else {
            return false;
        };
        let heard = lost.last_report();
        // A worker is heard at least once in this time.
        let window = self.times.poll_wait + self.times.poll_wait;
        let together = |other: Option<Millis>| match (heard, other) {
            (Some(a), Some(b)) => a.since(b).max(b.since(a)) <= window,
            (a, b) => a == b,
        };
        // By address, as a worker and the one in its place count once.
        let most = |in_group: &dyn Fn(&DomainId, Option<&str>) -> bool| {
            let mut all: Set<SocketAddr> = Set::default();
            let mut gone: Set<SocketAddr> = Set::default();
            for worker in self.workers.values() {
                let entry = &worker.entry;
                if in_group(&entry.domain, entry.rack()) {
                    all.insert(entry.address);
                    if worker.is_lost() && together(worker.last_report()) {
                        gone.insert(entry.address);
                    }
                }
            }
            for loss in &self.machines.losses {
                if in_group(&loss.domain, loss.rack.as_deref()) {
                    all.insert(loss.address);
                    if together(loss.heard) {
                        gone.insert(loss.address);
                    }
                }
            }
            gone.len() >= MIN_GROUP && gone.len() * 2 > all.len()
        };
        let rack = lost.entry.rack();
        most(&|domain, _| *domain == lost.entry.domain)
            || rack.is_some() && most(&|_, other| other == rack)
    }

    /// Processes the first answer after a silence: whether the losses that were noted meanwhile, of this
    /// worker and at its address, were crashes.
    pub(super) fn settle_losses(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let (born, address) = (worker.born, worker.entry.address);
        for task in self.suspects.clone() {
            let Some(state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(&task)) else {
                continue;
            };
            let before = state.crashes.clone();
            state
                .crashes
                .retain(|c| c.proven || c.worker != *id || c.born != born);
            for crash in &mut state.crashes {
                crash.proven |= crash.worker == *id || crash.address == address;
            }
            if state.crashes != before {
                self.dirty.insert(task.job.clone());
                self.end_if_cause(&task, now);
            }
        }
    }

    /// Clears the tasks that have run well since, and ends the jobs of those that are the cause.
    pub(super) fn review_suspects(&mut self, now: Millis) {
        let poll_wait = self.times.poll_wait;
        for task in self.suspects.clone() {
            let job = self.jobs.get(&task.job);
            let ended = job.is_none_or(|j| j.phase.is_final());
            let open = self.open_run(&task);
            let worker = open.and_then(|o| self.workers.get(&o.worker));
            let age = open.and_then(|o| run_age(o, worker?.last_report()));
            let run = open.map(|o| o.run);
            let job = self.jobs.get_mut(&task.job).filter(|_| !ended);
            let Some(state) = job.and_then(|j| j.task_mut(&task)) else {
                self.suspects.remove(&task);
                continue;
            };
            let after = cleared_after(&state.crashes, poll_wait);
            let is_new = state.crashes.iter().all(|c| Some(c.run) != run);
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
        let crashes = state.crashes.iter().filter(|c| c.proven);
        let list: Vec<String> = crashes
            .map(|c| format!("run {} on {} at {}", c.run, c.worker, c.address))
            .collect();
        let text = format!("workers crashed under {task}: {}", list.join(", "));
        self.log_kind(LogKind::JobGivenUp, Some(&task.job), text);
        self.machines.forget_caused_by(&task.job);
        self.end_job(&task.job, JobPhase::Failed, now);
        self.end_if_done(&task.job, now);
    }
}

/// Time for which a run is known to have been active when its worker was last heard; `None` if an
/// earlier coordinator has started it.
fn run_age(open: &OpenRun, heard: Option<Millis>) -> Option<Millis> {
    if open.phase == RunPhase::Inherited {
        return None;
    }
    Some(heard?.since(open.seen_at.unwrap_or(open.planned_at)))
}
