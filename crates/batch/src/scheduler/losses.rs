//! Recent losses of workers: which of them were those of a failure domain or rack, and which machines
//! have crashed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::DomainId;
use base::JobId;
use base::Map;
use base::Millis;
use base::Set;
use base::WorkerId;

use super::Scheduler;
use crate::crash::is_suspect;
use crate::worker::Worker;

/// Time for which crashes of a machine and losses of workers are remembered.
const MEMORY: Millis = Millis(60_000);

/// Number of workers that must be lost together, if they are also most of a failure domain or of a
/// rack, for the loss to be that of the domain or rack.
const MIN_GROUP: usize = 3;

/// Time that a poll may take beside its wait.
const POLL_SLACK: Millis = Millis(250);

/// A worker that was lost.
struct Loss {
    worker: WorkerId,
    address: SocketAddr,
    domain: DomainId,
    rack: Option<String>,
    /// When it last reported to this coordinator, if it did.
    heard: Option<Millis>,
    /// Whether a task suspected before ran there, which may be the cause.
    had_suspect: bool,
    noted: Millis,
}

/// Recent losses of workers.
#[derive(Default)]
pub(crate) struct Losses {
    /// Time of the last crash at each address, and the jobs that were running there.
    crashes: Map<SocketAddr, (Millis, BTreeSet<JobId>)>,
    all: Vec<Loss>,
}

impl Losses {
    fn forget(&mut self, now: Millis) {
        self.crashes.retain(|_, (at, _)| now.since(*at) <= MEMORY);
        self.all.retain(|l| now.since(l.noted) <= MEMORY);
    }

    /// Adds the loss of a worker, once.
    pub(super) fn add(&mut self, worker: &Worker, had_suspect: bool, now: Millis) {
        self.forget(now);
        if !self.contains(&worker.entry.id, worker.last_report()) {
            self.all.push(Loss {
                worker: worker.entry.id.clone(),
                address: worker.entry.address,
                domain: worker.entry.domain.clone(),
                rack: worker.entry.rack().map(str::to_string),
                heard: worker.last_report(),
                had_suspect,
                noted: now,
            });
        }
    }

    /// Whether the loss of a worker with its last report at this time is known.
    pub(super) fn contains(&self, id: &WorkerId, heard: Option<Millis>) -> bool {
        let mut losses = self.all.iter();
        losses.any(|l| l.worker == *id && l.heard == heard)
    }

    /// Adds a crash of a machine under these jobs.
    pub(super) fn add_crash(&mut self, address: SocketAddr, jobs: BTreeSet<JobId>, now: Millis) {
        self.crashes.insert(address, (now, jobs));
    }

    /// Whether a machine has crashed lately.
    pub(crate) fn has_crashed(&self, address: &SocketAddr) -> bool {
        self.crashes.contains_key(address)
    }

    /// Whether a machine has crashed lately while this job was not running there.
    pub(super) fn has_crashed_without(&self, address: &SocketAddr, job: &JobId) -> bool {
        let crash = self.crashes.get(address);
        crash.is_some_and(|(_, jobs)| !jobs.contains(job))
    }

    /// Forgets the crashes that a job has caused.
    pub(super) fn forget_caused_by(&mut self, job: &JobId) {
        self.crashes.retain(|_, (_, jobs)| !jobs.contains(job));
    }
}

impl Scheduler {
    /// Whether a task that was suspected before its present run is open on a worker.
    pub(super) fn has_suspect(&self, worker: &Worker) -> bool {
        let mut suspects = worker.open.keys().filter(|t| self.suspects.contains(*t));
        suspects.any(|task| {
            let run = self.open_run(task).map(|o| (o.run, o.born));
            let state = self.jobs.get(&task.job).and_then(|j| j.task(task));
            let crashes = state.into_iter().flat_map(|t| &t.crashes);
            let before = crashes.filter(|c| Some((c.run, c.born)) != run).cloned();
            is_suspect(&before.collect::<Vec<_>>())
        })
    }

    /// Whether most workers of a worker's failure domain or rack were lost together with it. Those that a
    /// suspect may have crashed show nothing, as suspects of one crash start again together; neither do
    /// those of which it is not known whether they outlived it.
    pub(super) fn is_group_loss(&self, id: &WorkerId) -> bool {
        let Some(lost) = self.workers.get(id) else {
            return false;
        };
        let lost_at = lost.last_report();
        // A worker that is up reports at least once in this time.
        let window = self.times.poll_wait + POLL_SLACK;
        let together = |other: Option<Millis>| match (lost_at, other) {
            (Some(a), Some(b)) => a.since(b).max(b.since(a)) <= window,
            (a, b) => a == b,
        };
        let outlived = |worker: &Worker| match (worker.last_report(), lost_at) {
            (Some(heard), Some(at)) => heard > at + window && worker.first_answer <= at,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let noted = self.losses.all.iter().map(|l| (&l.worker, l.heard));
        let noted: Set<(&WorkerId, Option<Millis>)> = noted.collect();
        // By address, as a worker and the one in its place count once.
        let most = |is_member: &dyn Fn(&DomainId, Option<&str>) -> bool| {
            let mut gone: Set<SocketAddr> = Set::default();
            let mut alive: Set<SocketAddr> = Set::default();
            for loss in &self.losses.all {
                let is_clean = is_member(&loss.domain, loss.rack.as_deref()) && !loss.had_suspect;
                if is_clean && together(loss.heard) {
                    gone.insert(loss.address);
                }
            }
            for worker in self.workers.values() {
                let entry = &worker.entry;
                if !is_member(&entry.domain, entry.rack()) {
                    continue;
                }
                let heard = worker.last_report();
                let is_new = worker.is_lost() && !noted.contains(&(&entry.id, heard));
                if is_new && together(heard) && !self.has_suspect(worker) {
                    gone.insert(entry.address);
                } else if outlived(worker) {
                    alive.insert(entry.address);
                }
            }
            gone.len() >= MIN_GROUP && gone.len() > alive.difference(&gone).count()
        };
        let rack = lost.entry.rack();
        most(&|domain, _| *domain == lost.entry.domain)
            || rack.is_some() && most(&|_, other| other == rack)
    }
}
