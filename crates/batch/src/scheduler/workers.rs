//! The list of workers: entries that come, change and disappear.

use std::net::SocketAddr;

use base::DomainId;
use base::Fence;
use base::Millis;
use base::Set;
use base::WorkerId;

use super::LogKind;
use super::Scheduler;
use crate::job::RunPhase;
use crate::worker::Contact;
use crate::worker::Worker;
use crate::worker::WorkerEntry;

impl Scheduler {
    /// Applies a complete list of workers, written at `now`. One that is missing from it is kept until its
    /// runs have ended.
    pub fn set_workers(&mut self, listed: Vec<WorkerEntry>, now: Millis) {
        let mut seen: Set<WorkerId> = Set::default();
        for entry in listed {
            seen.insert(entry.id.clone());
            self.update_worker(entry, now);
        }
        self.mark_unlisted(&seen, now);
    }

    /// Records that the entries of all workers but these have disappeared.
    pub fn mark_unlisted(&mut self, listed: &Set<WorkerId>, now: Millis) {
        for (id, worker) in &mut self.workers {
            if !listed.contains(id) {
                worker.missing_since.get_or_insert(now);
            }
        }
    }

    /// Adds or updates one worker from its entry, which was not written before `written`.
    pub fn update_worker(&mut self, entry: WorkerEntry, written: Millis) {
        self.add_host(&entry);
        match self.workers.get_mut(&entry.id) {
            Some(worker) => {
                let before = worker.entry.capacity;
                let id = entry.id.clone();
                worker.missing_since = None;
                worker.written = worker.written.max(written);
                let restarted = entry.born.is_some_and(|born| born > worker.born);
                if worker.entry.address != entry.address || restarted {
                    worker.has_answered = false;
                    worker.lose_contact();
                }
                worker.set_entry(entry);
                let (after, used) = (worker.entry.capacity, worker.occupied());
                if before != after {
                    let text =
                        format!("capacity of {id} is {after}, was {before}; runs occupy {used}");
                    self.log_kind(LogKind::CapacityChanged, None, text);
                }
            }
            None => {
                let id = entry.id.clone();
                // A worker of this id that was dropped has been sent calls with its token.
                let (fence, contact) = match self.dropped_fence {
                    Fence(0) => (self.fence, Contact::Raised(Millis::ZERO)),
                    dropped => (dropped, Contact::Lost),
                };
                let mut worker = Worker::new(entry, fence, contact);
                worker.lease_end = self.inherited_end;
                worker.written = written;
                self.adopt_open(&id, &mut worker);
                self.workers.insert(id, worker);
            }
        }
    }

    /// Assigns the runs that are recorded on a newly listed worker to it.
    fn adopt_open(&mut self, id: &WorkerId, worker: &mut Worker) {
        for job_id in &self.live {
            let Some(job) = self.jobs.get_mut(job_id) else {
                continue;
            };
            for task in job.open_tasks() {
                let Some(spec) = job.spec(&task).cloned() else {
                    continue;
                };
                let open = job.task_mut(&task).and_then(|t| t.open.as_ref());
                if let Some(open) = open.filter(|o| o.worker == *id) {
                    let stopping = open.phase == RunPhase::Stopping;
                    if open.phase == RunPhase::Adrift {
                        worker.adrift.insert(task);
                        continue;
                    }
                    worker.add_run(task.clone(), open.run, &spec);
                    if stopping {
                        worker.release_run(&task, &spec);
                    }
                }
            }
        }
    }

    /// Records that a worker's entry has disappeared.
    pub fn mark_missing(&mut self, id: &WorkerId, now: Millis) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.missing_since.get_or_insert(now);
        }
    }

    /// Ids and addresses of the workers to poll.
    pub fn poll_targets(&self) -> Vec<(WorkerId, SocketAddr)> {
        let all = self.workers.iter();
        all.map(|(id, w)| (id.clone(), w.entry.address)).collect()
    }

    /// Failure domains of the workers to poll, one entry for each worker.
    pub fn worker_domains(&self) -> impl Iterator<Item = &DomainId> {
        self.workers.values().map(|w| &w.entry.domain)
    }

    /// Failure domain of a worker; `None` if it is not known.
    pub fn domain_of(&self, id: &WorkerId) -> Option<DomainId> {
        self.workers.get(id).map(|w| w.entry.domain.clone())
    }
}
