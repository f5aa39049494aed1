//! What the coordinator knows of a worker.

use std::net::SocketAddr;

use base::DomainId;
use base::JobId;
use base::Map;
use base::Millis;
use base::ServiceId;
use base::WorkerId;

use crate::bounds::stretched;
use crate::bounds::ORDER_TIMEOUT;
use crate::pace::Pace;
use crate::spec::Resources;
use crate::spec::RunNumber;
use crate::spec::TaskId;

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerState {
    /// It is about to leave.
    Draining,
    /// It takes work.
    Ready,
}

/// A worker as its own entry describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// Its id.
    pub id: WorkerId,
    /// Start of this life, Unix time; `None` if the entry does not say.
    pub born: Option<u64>,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// The pool that it is in.
    pub pool: ServiceId,
    /// Whether it takes work.
    pub state: WorkerState,
    /// What it offers.
    pub capacity: Resources,
    /// Its kind and its rack, in this order, and any others.
    pub labels: Vec<String>,
    /// How much longer it is slow after its start.
    pub cold: Millis,
}

impl WorkerView {
    /// The rack that it is in.
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(String::as_str)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The other members of the gang did not come.
    Alone,
    /// Another member of the gang ended.
    Broken,
    /// Done.
    Done,
    /// Failed, by its own fault or the worker's.
    Failed,
    /// The worker's lease ran out.
    Lapsed,
    /// Stopped on order.
    Stopped,
}

/// A run that is going on.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRow {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Latest saved progress, empty if there is none.
    pub saved: String,
    /// Work done in percent.
    pub percent: u32,
    /// What the worker last measured: response times in milliseconds for a task that serves,
    /// processor time in use, in thousandths of a core, for any other.
    pub load: Option<u64>,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndRow {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Saved progress, empty if there is none.
    pub saved: String,
}

/// A worker's answer to a look at it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Start of this life, Unix time, if the answer tells.
    pub born: Option<u64>,
    /// Reading of the worker's clock in this life, in milliseconds.
    pub clock: u64,
    /// Runs that go on.
    pub running: Vec<RunRow>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<EndRow>,
}

/// A worker and what is placed on it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What its entry says.
    pub view: WorkerView,
    /// Since when its entry has been missing.
    pub missing: Option<Millis>,
    /// Start of the life that last answered, Unix time.
    pub born: u64,
    /// Whether it has answered this coordinator in this life.
    pub known: bool,
    /// Whether the last look at it failed.
    pub silent: bool,
    /// When the request of its latest answer was sent.
    pub heard: Millis,
    /// Reading of its clock in this life, and when it arrived.
    pub clock: Option<(u64, Millis)>,
    /// Highest end number seen.
    pub seen_end: u64,
    /// Highest end number whose effect is stored.
    pub stored_end: u64,
    /// Latest time at which its lease can end.
    pub lease_end: Millis,
    /// What its open runs occupy.
    pub used: Resources,
    /// Its open runs.
    pub open: Map<TaskId, RunNumber>,
    /// Runs that it lists and that are not wanted.
    pub strays: Vec<(TaskId, RunNumber)>,
    /// Jobs of which a task has failed here since one was done, each once.
    pub failed: Vec<JobId>,
    /// Not used before this time.
    pub not_before: Millis,
    /// How much of their time tasks that fill may work on it.
    pub pace: Pace,
}

/// Jobs that have failed in a row and make a worker a second choice.
const DOUBTFUL: usize = 1;

impl Worker {
    /// A worker that has not answered yet.
    pub fn new(view: WorkerView) -> Worker {
        Worker {
            view,
            missing: None,
            born: 0,
            known: false,
            silent: false,
            heard: Millis::ZERO,
            clock: None,
            seen_end: 0,
            stored_end: 0,
            lease_end: Millis::ZERO,
            used: Resources::default(),
            open: Map::default(),
            strays: Vec::new(),
            failed: Vec::new(),
            not_before: Millis::ZERO,
            pace: Pace::default(),
        }
    }

    /// Its clock by now, at least; `None` before its first answer.
    pub fn clock_at(&self, now: Millis) -> Option<u64> {
        self.clock.map(|(clock, at)| clock + now.since(at).0)
    }

    /// Whether a reading of its clock that has just arrived shows that it has started again. An
    /// order carries no life, so the next one may carry out what was meant for this one.
    pub fn has_restarted(&self, clock: u64, now: Millis) -> bool {
        let reading = self.clock.map(|(clock, at)| (clock, now.since(at)));
        reading.is_some_and(|(before, span)| {
            let late = stretched(span).0 - span.0;
            clock + late + ORDER_TIMEOUT.0 < before + span.0
        })
    }

    /// How far other workers are preferred to it; 0 for not at all.
    pub fn slowness(&self) -> u32 {
        u32::from(self.failed.len() >= DOUBTFUL)
    }

    /// Counts a job of which a task has failed here; returns how many there are.
    pub fn note_failed(&mut self, job: &JobId) -> usize {
        if !self.failed.contains(job) {
            self.failed.push(job.clone());
        }
        self.failed.len()
    }

    /// Room for more tasks.
    pub fn free(&self) -> Resources {
        self.view.capacity.without(&self.used)
    }
}
