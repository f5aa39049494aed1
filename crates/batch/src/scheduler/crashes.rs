//! Recognition of workers that have crashed, and the runs that were on them.
//!
//! A worker that does not answer may be cut off, and its runs may go on. Only another incarnation in its
//! place shows that it has ended: one under the same id, or another worker at the same address.

use std::net::SocketAddr;

use base::Millis;
use base::WorkerId;

use super::LogKind;
use super::Scheduler;
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
    pub(super) fn remove_worker(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.remove(id) {
            self.remove_host(worker.entry.address, id);
        }
    }

    /// Open runs on a worker that were started before the incarnation `born`.
    pub(super) fn runs_before(&self, id: &WorkerId, born: u64) -> Vec<TaskId> {
        let open = self.workers.get(id).into_iter().flat_map(|w| w.open.keys());
        let before = |task: &&TaskId| self.open_run(task).is_some_and(|o| o.born != born);
        open.filter(before).cloned().collect()
    }

    /// Processes the first answer of a worker: those that were at its address have ended.
    pub(super) fn note_predecessors(&mut self, id: &WorkerId, now: Millis) {
        let Some(address) = self.workers.get(id).map(|w| w.entry.address) else {
            return;
        };
        let others = self.hosts.get(&address).into_iter().flatten();
        let is_lost = |other: &&WorkerId| {
            *other != id && self.workers.get(*other).is_some_and(Worker::is_lost)
        };
        let others: Vec<WorkerId> = others.filter(is_lost).cloned().collect();
        for other in others {
            let runs = self.workers.get(&other);
            let runs = runs.map(|w| w.open.keys().cloned().collect());
            let how = format!("has ended: {id} answers at {address}");
            self.note_crash(&other, runs.unwrap_or_default(), &how, now);
        }
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
        let text = format!("{id} {how}; {heard}; {num} runs were open: {list}");
        self.log_kind(LogKind::WorkerCrashed, None, text);
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
