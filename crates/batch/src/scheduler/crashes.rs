//! Recognition of workers that have crashed, and the runs that were on them.
//!
//! A worker that does not answer may be cut off, and its runs may go on. Only another incarnation in its
//! place shows that it has ended: one under the same id, or another worker at the same address.

use std::net::SocketAddr;

use base::Millis;
use base::WorkerId;

use super::losses;
use super::LogKind;
use super::Scheduler;
use crate::account::Loss;
use crate::account::LossCause;
use crate::adrift::AdriftStarts;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::spec::TaskId;
use crate::worker::Worker;
use crate::worker::WorkerEntry;

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
            self.dropped_fence = self.dropped_fence.max(worker.fence);
            self.remove_host(worker.entry.address, id);
            if !worker.is_leaving() {
                self.losses.add(losses::Loss::new(&worker, now), now);
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
            let adrift: Vec<TaskId> = worker.adrift.iter().cloned().collect();
            let address = worker.entry.address;
            let how = format!("has ended: {present} answers at {address}");
            let clock = self.workers.get(&present).and_then(|w| w.clock);
            let began = clock.map(|(clock, at)| at.since(Millis(clock)));
            let before = runs.iter().filter(|t| !self.was_sent_after(t, began));
            self.note_crash(&id, before.cloned().collect(), &how, now);
            for task in runs.into_iter().chain(adrift) {
                self.close_ended(&task, now);
            }
        }
    }

    /// Closes a run whose worker has ended. Requests name their worker, so none that is still under way
    /// starts it on the next one.
    fn close_ended(&mut self, task: &TaskId, now: Millis) {
        let state = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task));
        let open = state.and_then(|t| t.open.as_mut());
        let Some(open) = open.filter(|o| o.phase != RunPhase::Planned) else {
            return;
        };
        open.adrift = AdriftStarts::default();
        let run = open.run;
        self.close_lost(task, LossCause::Worker, now);
        self.break_gang(task, run, &Loss::new(LossCause::Worker));
    }

    /// Notes that a worker has crashed while these runs of it were open.
    pub(super) fn note_crash(&mut self, id: &WorkerId, runs: Vec<TaskId>, how: &str, now: Millis) {
        let Some(worker) = self.workers.get(id).filter(|w| !w.has_crashed) else {
            return;
        };
        let runs: Vec<TaskId> = match worker.upkeep_at {
            // Upkeep ends what runs when it begins; later runs show that it had begun and ended before.
            Some(at) => runs
                .into_iter()
                .filter(|t| self.began_after(t, at))
                .collect(),
            None => runs,
        };
        if worker.is_draining || worker.upkeep_at.is_some() && runs.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.has_crashed = true;
        let heard = worker.last_report();
        let loss = losses::Loss::new(worker, now);
        let is_group = self.is_group_loss(&loss);
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
        let group = match is_group {
            true => " (most of its failure domain or rack was lost with it)",
            false => "",
        };
        let text = format!("{id} {how}{group}; {heard}; {num} runs were open: {list}");
        self.log_kind(LogKind::WorkerCrashed, None, text);
        self.note_loss(id, &runs, true, now);
    }

    /// Whether an open run was requested only after this incarnation of its worker had begun, so that it is no
    /// cause of the end of the one before.
    pub(super) fn was_sent_after(&self, task: &TaskId, began: Option<Millis>) -> bool {
        let sent = self.open_run(task).map(|o| o.adrift);
        sent.is_some_and(|sent| began.is_some_and(|at| sent.is_after(at)))
    }

    /// Whether a run was planned after `at` and is known to have begun.
    fn began_after(&self, task: &TaskId, at: Millis) -> bool {
        let open = self.open_run(task);
        open.is_some_and(|o| o.planned_at > at && o.seen_at.is_some())
    }

    /// Notes that the lease of a worker has expired while it could not be reached.
    pub(super) fn note_lapse(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_noted = self.losses.contains(id, worker.last_report());
        if !is_noted && !worker.is_leaving() && !worker.has_crashed {
            let runs: Vec<TaskId> = worker.open.keys().cloned().collect();
            self.note_loss(id, &runs, false, now);
        }
    }
}

/// Time for which a run is known to have been active at the last report of its worker; `None` if an
/// earlier coordinator has started it.
pub(super) fn run_age(open: &OpenRun, heard: Option<Millis>) -> Option<Millis> {
    if open.phase == RunPhase::Inherited {
        return None;
    }
    Some(heard?.since(open.seen_at.unwrap_or(open.planned_at)))
}
