//! State of a worker, and what it reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use base::DomainId;
use base::Fence;
use base::Map;
use base::Millis;
use base::ServiceId;
use base::Set;
use base::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use crate::bounds::with_clock_drift;
use crate::bounds::REQUEST_TIMEOUT;
use crate::health::WorkerFailures;
use crate::odd::OddRows;
use crate::spec::Resources;
use crate::spec::RunNumber;
use crate::spec::StepSpec;
use crate::spec::TaskId;
use crate::speed::Evidence;
use crate::throttle::Throttle;

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerState {
    /// It accepts none, because it is about to leave.
    Draining,
    /// It accepts new tasks.
    Ready,
}

/// A worker's own entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Id of the worker.
    pub id: WorkerId,
    /// Incarnation (start of the worker as Unix time); `None` if the entry does not give it.
    pub born: Option<u64>,
    /// Address for requests to the worker.
    pub address: SocketAddr,
    /// The failure domain that it is in.
    pub domain: DomainId,
    /// The pool that it is in.
    pub pool: ServiceId,
    /// Whether it accepts new tasks.
    pub state: WorkerState,
    /// Total resources that it offers.
    pub capacity: Resources,
    /// Kind and rack of the worker, in this order, then further labels.
    pub labels: Vec<String>,
    /// Time for which the worker is still slow after its start.
    pub cold: Millis,
}

impl WorkerEntry {
    /// The entry with a capacity within the range that the scheduler counts with.
    pub fn bounded(self) -> WorkerEntry {
        WorkerEntry {
            capacity: self.capacity.bounded(),
            ..self
        }
    }

    /// The rack that it is in, if the entry gives it.
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(String::as_str)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// The other members of its gang did not start in time.
    Alone,
    /// Another member of its gang ended.
    Broken,
    /// It succeeded.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// The worker's lease expired.
    Lapsed,
    /// It was stopped on request.
    Stopped,
}

/// A run that is active on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// The task that is run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest saved progress; empty if there is none.
    pub saved: String,
    /// Progress in percent.
    pub percent: u32,
    /// The worker's last measurement: response time in milliseconds for a serving task, processor
    /// use in thousandths of a core for any other.
    pub load: Option<u64>,
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedRun {
    /// Sequence number of the end within the worker's incarnation.
    pub number: u64,
    /// The task that was run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Latest saved progress; empty if there is none.
    pub saved: String,
}

/// A worker's response to a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Incarnation (start of the worker as Unix time), if the response gives it.
    pub born: Option<u64>,
    /// Reading of the worker's clock, in milliseconds since the start of this incarnation.
    pub clock: u64,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Ended runs that have not been acknowledged.
    pub ended: Vec<EndedRun>,
    /// Rows of both lists that cannot be read.
    pub odd: OddRows,
}

impl Report {
    /// Whether a run of this incarnation is listed, active or ended.
    pub fn mentions(&self, task: &TaskId, run: RunNumber) -> bool {
        let running = self.running.iter().map(|r| (&r.task, r.run));
        let ended = self.ended.iter().map(|e| (&e.task, e.run));
        let is_read = running.chain(ended).any(|known| known == (task, run));
        is_read || self.odd.names(task)
    }
}

/// What is known of the calls that a worker may still carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// Calls with its present fencing token may be on their way to it or to its next incarnation.
    Lost,
    /// It has a higher token than all of these calls since this time, and has not reported to it.
    Raised(Millis),
    /// It has reported to its present token, so it refuses all calls with a lower one.
    Settled,
}

/// A worker and its open runs, as the coordinator knows them.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's entry.
    pub entry: WorkerEntry,
    /// Earliest time at which the entry may have been written.
    pub written: Millis,
    /// Since when the entry has been missing.
    pub missing_since: Option<Millis>,
    /// Incarnation that last answered (its start as Unix time); zero if none has.
    pub born: u64,
    /// Whether the current incarnation has answered this coordinator.
    pub has_answered: bool,
    /// When the current incarnation first answered this coordinator.
    pub first_answer: Millis,
    /// Whether the last poll failed.
    pub unresponsive: bool,
    /// Fencing token of the calls to it.
    pub fence: Fence,
    /// What it may still carry out.
    pub contact: Contact,
    /// Whether this incarnation has announced its end.
    pub is_draining: bool,
    /// When the machine service answered that the upkeep of its machine has begun, now or earlier.
    pub upkeep_at: Option<Millis>,
    /// Whether this incarnation is known to have crashed.
    pub has_crashed: bool,
    /// When the last poll that was answered was sent.
    pub last_answer: Millis,
    /// Last reading of the worker's clock, and when it arrived.
    pub clock: Option<(u64, Millis)>,
    /// Highest sequence number of an ended run up to which all were reported and read.
    pub reported_end: u64,
    /// Sequence numbers of the ended runs beyond it that were read.
    pub read_ends: BTreeSet<u64>,
    /// Highest sequence number of an ended run whose effect is stored.
    pub stored_end: u64,
    /// Ends that are not acknowledged before these times, as their runs may be started again until then.
    pub held_ends: BTreeMap<u64, Millis>,
    /// Since when it has listed more unreadable active runs than there can be open ones among them.
    pub unknown_since: Option<Millis>,
    /// Latest time at which the worker's lease can expire.
    pub lease_end: Millis,
    /// Whether calls that were not meant for this incarnation may have extended its lease.
    pub lease_unknown: bool,
    /// Labels of the entry, shared with the planner's view of the worker.
    pub labels: Arc<[String]>,
    /// Rack of the entry, shared like the labels.
    pub rack: Option<Arc<str>>,
    /// Resources that the open runs occupy.
    pub used: Resources,
    /// Resources that runs occupy which it reports but which are not wanted there.
    pub strays: Resources,
    /// The part of `used` that is occupied by runs being stopped.
    pub releasing: Resources,
    /// Number of open runs of serving tasks.
    pub serving: usize,
    /// Open runs.
    pub open: Map<TaskId, RunNumber>,
    /// Tasks whose run here is over, and may be started by a request that is still on its way.
    pub adrift: Set<TaskId>,
    /// Runs that the worker reports but that are not wanted there; they are to be stopped.
    pub stray_runs: Vec<(TaskId, RunNumber)>,
    /// Failures since work last went well here.
    pub failures: WorkerFailures,
    /// Start of the latest run that is known to have survived its start.
    pub proved_at: Millis,
    /// No task is placed here before this time, as a start was refused or not answered.
    pub not_before: Millis,
    /// Processor share of the best-effort tasks on it.
    pub throttle: Throttle,
    /// Evidence of its speed.
    pub evidence: Evidence,
}

/// Penalty of a worker that has not proved itself since the alarm.
pub const UNPROVED_PENALTY: u32 = 1;

/// Penalty of a worker on which jobs have failed.
pub const FAILED_PENALTY: u32 = 2;

/// Number of jobs that must have failed in a row before other workers are preferred.
const MIN_PENALTY_JOBS: usize = 1;

impl Worker {
    /// A worker that has not answered yet.
    pub fn new(entry: WorkerEntry, fence: Fence, contact: Contact) -> Worker {
        Worker {
            labels: entry.labels.as_slice().into(),
            rack: entry.rack().map(Arc::from),
            is_draining: entry.state == WorkerState::Draining,
            upkeep_at: None,
            entry: entry.bounded(),
            written: Millis::ZERO,
            missing_since: None,
            born: 0,
            has_answered: false,
            first_answer: Millis::ZERO,
            unresponsive: false,
            fence,
            contact,
            has_crashed: false,
            last_answer: Millis::ZERO,
            clock: None,
            reported_end: 0,
            read_ends: BTreeSet::new(),
            unknown_since: None,
            stored_end: 0,
            held_ends: BTreeMap::new(),
            lease_end: Millis::ZERO,
            lease_unknown: true,
            used: Resources::default(),
            strays: Resources::default(),
            releasing: Resources::default(),
            serving: 0,
            open: Map::default(),
            adrift: Set::default(),
            stray_runs: Vec::new(),
            failures: WorkerFailures::default(),
            proved_at: Millis::ZERO,
            not_before: Millis::ZERO,
            throttle: Throttle::default(),
            evidence: Evidence::default(),
        }
    }

    /// Replaces the entry.
    pub fn set_entry(&mut self, entry: WorkerEntry) {
        if entry.labels != self.entry.labels {
            self.labels = entry.labels.as_slice().into();
            self.rack = entry.rack().map(Arc::from);
        }
        self.entry = entry.bounded();
        self.is_draining |= self.shows_draining();
    }

    /// Whether the entry shows that the current incarnation is draining. It may still be that of the one
    /// before, or already that of the next.
    pub fn shows_draining(&self) -> bool {
        let is_unknown = self.born == 0;
        (self.owns_entry() || is_unknown) && self.entry.state == WorkerState::Draining
    }

    /// Whether the entry is that of the incarnation that answers. Nothing that another one has written holds
    /// for it.
    pub fn owns_entry(&self) -> bool {
        self.entry.born.is_none_or(|born| born == self.born)
    }

    /// Whether the incarnation that answers has said that it has warmed up.
    pub fn is_warm(&self) -> bool {
        self.owns_entry() && self.entry.cold == Millis::ZERO
    }

    /// Whether the end of this incarnation was announced or requested, so that it is no crash.
    pub fn is_leaving(&self) -> bool {
        self.is_draining || self.upkeep_at.is_some()
    }

    /// Records that calls to it may be carried out by another incarnation, or late.
    pub fn lose_contact(&mut self) {
        // Since its token was raised, it was sent nothing that could do harm late.
        if self.contact == Contact::Settled {
            self.contact = Contact::Lost;
        }
    }

    /// Whether the coordinator gets no answer from it.
    pub fn is_lost(&self) -> bool {
        self.unresponsive || !self.has_answered
    }

    /// When it last reported to this coordinator.
    pub fn last_report(&self) -> Option<Millis> {
        self.clock.map(|(_, at)| at)
    }

    /// Highest sequence number up to which its ended runs may be acknowledged.
    pub fn acknowledgeable(&self, now: Millis) -> u64 {
        let mut held = self.held_ends.iter().filter(|(_, until)| now <= **until);
        let first = held.next().map(|(number, _)| *number);
        first.map_or(self.stored_end, |first| self.stored_end.min(first - 1))
    }

    /// Records an open run of a task with this specification.
    pub fn add_run(&mut self, task: TaskId, run: RunNumber, spec: &StepSpec) {
        if self.open.insert(task, run).is_none() {
            self.used += spec.occupies();
            self.serving += usize::from(spec.serving_target().is_some());
        }
    }

    /// Removes an open run, which was being stopped or not.
    pub fn remove_run(&mut self, task: &TaskId, spec: &StepSpec, stopping: bool) {
        if self.open.remove(task).is_some() {
            self.used -= spec.occupies();
            self.serving -= usize::from(spec.serving_target().is_some());
            if stopping {
                self.releasing -= spec.occupies();
            }
        }
    }

    /// Records that an open run is being stopped.
    pub fn release_run(&mut self, task: &TaskId, spec: &StepSpec) {
        if self.open.contains_key(task) {
            self.releasing += spec.occupies();
        }
    }

    /// Estimated current reading of the worker's clock, at least; `None` before its first response.
    pub fn clock_at(&self, now: Millis) -> Option<u64> {
        self.clock
            .map(|(clock, at)| clock.saturating_add(now.since(at).0))
    }

    /// Whether a reading of the worker's clock that has just arrived shows that it has restarted:
    /// the new incarnation has carried out a request meant for the old one.
    pub fn has_restarted(&self, clock: u64, now: Millis) -> bool {
        let reading = self.clock.map(|(clock, at)| (clock, now.since(at)));
        reading.is_some_and(|(before, span)| {
            let late = with_clock_drift(span).0 - span.0;
            let latest = Millis(clock) + Millis(late) + REQUEST_TIMEOUT;
            latest < Millis(before) + span
        })
    }

    /// Penalty in the choice between workers; those with a lower one are preferred. `alarm` is the
    /// time from which a worker must have proved itself, if there is one.
    pub fn penalty(&self, alarm: Option<Millis>, now: Millis) -> u32 {
        let unproved = alarm.is_some_and(|since| self.proved_at < since);
        let failed = self.failures.jobs(now) >= MIN_PENALTY_JOBS;
        u32::from(unproved) * UNPROVED_PENALTY + u32::from(failed) * FAILED_PENALTY
    }

    /// Whether it is paused, as runs have failed here.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.failures.paused_until()
    }

    /// Resources that its runs occupy.
    pub fn occupied(&self) -> Resources {
        let mut sum = self.used;
        sum += self.strays;
        sum
    }

    /// Resources that no run occupies.
    pub fn free(&self) -> Resources {
        self.entry.capacity.saturating_sub(&self.occupied())
    }

    /// By how much its runs exceed the capacity, which may have shrunk under them.
    pub fn excess(&self) -> Resources {
        self.occupied().saturating_sub(&self.entry.capacity)
    }
}
