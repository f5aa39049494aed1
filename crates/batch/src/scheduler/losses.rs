//! Recent losses of workers: which of them were those of a failure domain or rack, and which machines
//! have crashed.
//!
//! A worker counts as lost with its group or as a survivor only if that is known of it. The first that is
//! back after an outage shows that it has crashed before the others have missed a poll, so each crash is
//! judged again a little later, and no job is given up for it before.

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
use crate::spec::RunNumber;
use crate::spec::TaskId;
use crate::worker::Worker;

/// Time for which crashes of a machine and losses of workers are remembered.
const MEMORY: Millis = Millis(60_000);

/// Number of workers that must be lost together, if they are also most of a failure domain or of a
/// rack, for the loss to be that of the domain or rack.
const MIN_GROUP: usize = 3;

/// Time that a poll may take beside its wait.
const POLL_SLACK: Millis = Millis(250);

/// Polls after which it is known who else was lost.
const SETTLING_POLLS: u64 = 2;

/// A worker that was lost.
#[derive(Clone)]
pub(super) struct Loss {
    worker: WorkerId,
    /// The incarnation that was lost.
    born: u64,
    address: SocketAddr,
    domain: DomainId,
    rack: Option<String>,
    /// When it last reported to this coordinator, if it did.
    heard: Option<Millis>,
    /// Whether a task suspected before ran there, which may be the cause.
    pub(super) had_suspect: bool,
    noted: Millis,
    /// The incarnation in its place: its start as Unix time, and its first answer.
    back: Option<(u64, Millis)>,
    /// Since when it is known to have crashed and not judged again; none before and after.
    pub(super) judged_from: Option<Millis>,
    /// Jobs that had runs there.
    pub(super) jobs: BTreeSet<JobId>,
    /// Runs for whose tasks it was noted, each with its incarnation.
    pub(super) runs: Vec<(TaskId, RunNumber, u64)>,
}

impl Loss {
    /// The loss of a worker at which nothing was running.
    pub(super) fn new(worker: &Worker, now: Millis) -> Loss {
        Loss {
            worker: worker.entry.id.clone(),
            born: worker.born,
            address: worker.entry.address,
            domain: worker.entry.domain.clone(),
            rack: worker.entry.rack().map(str::to_string),
            heard: worker.last_report(),
            had_suspect: false,
            noted: now,
            back: None,
            judged_from: None,
            jobs: BTreeSet::new(),
            runs: Vec::new(),
        }
    }
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
        let is_recent = |l: &Loss| l.judged_from.is_some() || now.since(l.noted) <= MEMORY;
        self.all.retain(is_recent);
    }

    /// Adds the loss of a worker, or what is new of one that is known.
    pub(super) fn add(&mut self, loss: Loss, now: Millis) {
        self.forget(now);
        let mut all = self.all.iter_mut();
        match all.find(|l| l.worker == loss.worker && l.heard == loss.heard) {
            Some(known) => {
                known.judged_from = known.judged_from.or(loss.judged_from);
                known.jobs.extend(loss.jobs);
                known.runs.extend(loss.runs);
            }
            None => self.all.push(loss),
        }
    }

    /// Whether the loss of a worker with its last report at this time is known.
    pub(super) fn contains(&self, id: &WorkerId, heard: Option<Millis>) -> bool {
        let mut losses = self.all.iter();
        losses.any(|l| l.worker == *id && l.heard == heard)
    }

    /// Drops the losses of an incarnation that answers again: it was only out of reach.
    pub(super) fn drop_found(&mut self, id: &WorkerId, born: u64) {
        let is_found = |l: &Loss| l.worker == *id && l.born == born && l.judged_from.is_none();
        self.all.retain(|l| !is_found(l));
    }

    /// Whether a crash under a task is still to be judged.
    pub(super) fn is_open(&self, task: &TaskId) -> bool {
        let mut open = self.all.iter().filter(|l| l.judged_from.is_some());
        open.any(|l| l.runs.iter().any(|(other, ..)| other == task))
    }

    /// Notes that a crash was judged again.
    fn close(&mut self, loss: &Loss, in_group: bool) {
        let mut all = self.all.iter_mut();
        let same = all.find(|l| l.worker == loss.worker && l.heard == loss.heard);
        let Some(at) = same.and_then(|l| l.judged_from.take()) else {
            return;
        };
        if !in_group {
            let crash = (at, loss.jobs.clone());
            self.crashes.entry(loss.address).or_insert(crash);
        } else if self.crashes.get(&loss.address).is_some_and(|c| c.0 == at) {
            self.crashes.remove(&loss.address);
        }
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

    /// Time between two reports of a worker that is up, at most.
    fn report_span(&self) -> Millis {
        self.times.poll_wait + POLL_SLACK
    }

    /// The incarnation that answers in the place of a lost one.
    fn back_at(&self, lost: &Loss) -> Option<(u64, Millis)> {
        let ids = self.hosts.get(&lost.address)?.iter();
        let workers = ids.filter_map(|id| self.workers.get(id));
        let other = workers.filter(|w| w.entry.id != lost.worker || w.born != lost.born);
        let answered = other.filter(|w| w.clock.is_some() && w.born > 0);
        let later = answered.filter(|w| Some(w.first_answer) > lost.heard);
        later.map(|w| (w.born, w.first_answer)).max()
    }

    /// Whether most workers of a lost worker's failure domain or rack were lost together with it. Those that a
    /// suspect may have crashed show nothing, as suspects of one crash start again together; neither do
    /// those of which it is not known whether they outlived it.
    pub(super) fn is_group_loss(&self, lost: &Loss) -> bool {
        let window = self.report_span();
        let is_near = |a: u64, b: u64| a.abs_diff(b) <= window.0;
        let together = |heard: Option<Millis>, back: Option<(u64, Millis)>| {
            let returns = lost.back.zip(back);
            let same_return = returns.map(|(a, b)| is_near(a.0, b.0));
            let same_loss = match (lost.heard, heard) {
                (Some(a), Some(b)) => is_near(a.0, b.0),
                (None, None) => same_return.is_none(),
                _ => false,
            };
            same_loss || same_return == Some(true)
        };
        let is_older = |worker: &Worker| {
            let answered = lost.heard.is_some_and(|at| worker.first_answer <= at);
            answered || (lost.back).is_some_and(|(born, _)| worker.born + window.0 < born)
        };
        let outlived = |worker: &Worker| match (worker.last_report(), lost.back, lost.heard) {
            (Some(heard), Some((_, answer)), _) => heard > answer && is_older(worker),
            (Some(heard), None, Some(at)) => heard > at + window && is_older(worker),
            (Some(_), None, None) => true,
            (None, ..) => false,
        };
        let noted = self.losses.all.iter().map(|l| (&l.worker, l.heard));
        let noted: Set<(&WorkerId, Option<Millis>)> = noted.collect();
        // By address, as a worker and the one in its place count once.
        let most = |is_member: &dyn Fn(&DomainId, Option<&str>) -> bool| {
            let mut gone: Set<SocketAddr> = Set::default();
            let mut alive: Set<SocketAddr> = Set::default();
            for loss in &self.losses.all {
                let is_clean = is_member(&loss.domain, loss.rack.as_deref()) && !loss.had_suspect;
                if is_clean && together(loss.heard, loss.back) {
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
                if is_new && together(heard, None) && !self.has_suspect(worker) {
                    gone.insert(entry.address);
                } else if outlived(worker) {
                    alive.insert(entry.address);
                }
            }
            gone.len() >= MIN_GROUP && gone.len() > alive.difference(&gone).count()
        };
        let rack = lost.rack.as_deref();
        most(&|domain, _| *domain == lost.domain)
            || rack.is_some() && most(&|_, other| other == rack)
    }

    /// Notes which incarnations are the first to answer in the place of a lost one.
    fn note_returns(&mut self) {
        let mut losses = std::mem::take(&mut self.losses.all);
        for loss in losses.iter_mut().filter(|l| l.back.is_none()) {
            loss.back = self.back_at(loss);
        }
        self.losses.all = losses;
    }

    /// Judges crashes again of which it is known by now who else was lost.
    pub(super) fn judge_losses(&mut self, now: Millis) {
        self.note_returns();
        let settling = Millis(SETTLING_POLLS * self.report_span().0);
        let is_due = |l: &&Loss| l.judged_from.is_some_and(|at| now.since(at) >= settling);
        let due: Vec<Loss> = self.losses.all.iter().filter(is_due).cloned().collect();
        let judged = due.iter().map(|l| self.is_group_loss(l));
        for (in_group, loss) in judged.collect::<Vec<_>>().into_iter().zip(due) {
            self.losses.close(&loss, in_group);
            let changed = loss.runs.iter().filter(|run| {
                let job = self.jobs.get_mut(&run.0.job);
                let state = job.and_then(|j| j.task_mut(&run.0));
                let mut crashes = state.into_iter().flat_map(|t| t.crashes.iter_mut());
                let known = crashes.find(|c| c.worker == loss.worker && c.is_of(run.1, run.2));
                known.is_some_and(|c| std::mem::replace(&mut c.in_group, in_group) != in_group)
            });
            let changed: Vec<JobId> = changed.map(|run| run.0.job.clone()).collect();
            if !changed.is_empty() {
                let what = match in_group {
                    true => "most of its failure domain or rack was lost with it",
                    false => "its failure domain and rack were not lost with it",
                };
                self.log(
                    None,
                    format!("judged again: {} was lost, {what}", loss.worker),
                );
                self.dirty.extend(changed);
            }
        }
    }
}
