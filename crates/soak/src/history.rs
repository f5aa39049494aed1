//! History of a soak: what callers, workers and processes did, as the input of the checks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::JobId;
use base::Millis;
use batch::Resources;
use batch::Submission;
use batch::TaskId;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::Outcome;

use crate::daemon::Exit;
use crate::growth::Probe;

/// Precision of the times at which a port was seen closed.
const REFUSAL_PRECISION: Millis = Millis(2);

/// Operation that a caller requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Cancel the job.
    Cancel,
    /// Query the job's state.
    Query,
    /// Submit the job.
    Submit,
}

/// A call of a caller and its outcome.
#[derive(Clone, Debug)]
pub struct Call {
    /// Job that the call is about.
    pub job: JobId,
    /// Requested operation.
    pub operation: Operation,
    /// Number of the daemon that was called.
    pub daemon: usize,
    /// When the call was sent.
    pub sent: Millis,
    /// When the answer arrived or the call failed.
    pub at: Millis,
    /// Answer, or how the call failed.
    pub outcome: Outcome,
}

/// A fault and the time in which it was in effect.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// Start of the fault.
    pub start: Millis,
    /// End of the fault; equal to the start for an instantaneous one.
    pub end: Millis,
    /// Whether it is a planned operation. Unlike other faults, it excuses no missed time bound.
    pub planned: bool,
    /// Description of the fault.
    pub description: String,
}

/// Outcome of a wave of machine upkeep.
#[derive(Clone, Debug)]
pub struct WaveResult {
    /// Number of the wave.
    pub number: u64,
    /// Limit on the machines that may be down at the same time.
    pub cap: usize,
    /// Highest number of machines down at the same time, as the machine service recorded it.
    pub max_down: usize,
    /// Whether the daemons published the wave as completed.
    pub completed: bool,
}

/// What callers know of a job of a traffic.
#[derive(Clone, Debug)]
pub struct Owned {
    /// Queue.
    pub queue: String,
    /// Organisation.
    pub org: String,
    /// Attempts of each task.
    pub attempts: u32,
}

/// Everything recorded in a soak.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Jobs that callers submitted, whether accepted or not.
    pub jobs: BTreeMap<JobId, Submission>,
    /// Number of attempts that each task has.
    pub max_attempts: u32,
    /// Period in which workers renew their registrations.
    pub heartbeat: Millis,
    /// Calls in the order in which they ended.
    pub calls: Vec<Call>,
    /// Events of the workers, in order.
    pub events: Vec<Event>,
    /// Injected faults, in order of their start.
    pub faults: Vec<FaultWindow>,
    /// Starts of processes: number of the daemon, and time.
    pub process_starts: Vec<(usize, Millis)>,
    /// Times at which a daemon's port for callers accepted no connection, with the daemon's number.
    /// The relay in front of it has then accepted a caller's connection and closed it at once.
    pub refusals: Vec<(usize, Millis)>,
    /// Ends of processes.
    pub exits: Vec<Exit>,
    /// Caps of the organisation of all jobs, with the times at which the store acknowledged them.
    pub caps: Vec<(Millis, Resources)>,
    /// Requested waves of upkeep.
    pub waves: Vec<WaveResult>,
    /// Calls for queues that the configuration had just got.
    pub probes: Vec<Probe>,
    /// Accepted jobs that had not ended when their callers gave up.
    pub unfinished: BTreeSet<JobId>,
    /// What is known of the jobs of a traffic; empty without one.
    pub owned: BTreeMap<JobId, Owned>,
    /// Capacity of the workers of a traffic when they start; `None` without one.
    pub capacity: Option<Resources>,
    /// Accepted jobs that no daemon could be asked for after the traffic.
    pub unanswered: BTreeSet<JobId>,
    /// Daemons with the most memory that they used and what they may use, in megabytes.
    pub memory: Vec<(usize, u64, u64)>,
}

impl History {
    /// Accepted jobs, with the time of the first acceptance.
    pub fn accepted(&self) -> BTreeMap<JobId, Millis> {
        let mut accepted_at = BTreeMap::new();
        let accepted_calls = self
            .calls_of(Operation::Submit)
            .filter(|c| c.outcome == Outcome::Done);
        for call in accepted_calls {
            accepted_at.entry(call.job.clone()).or_insert(call.at);
        }
        accepted_at
    }

    /// Calls with this operation.
    pub fn calls_of(&self, operation: Operation) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(move |c| c.operation == operation)
    }

    /// What a task needs while it runs.
    pub fn need_of(&self, task: &TaskId) -> Resources {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|j| j.steps.get(usize::from(task.step)));
        step.map_or(Resources::default(), |s| s.need)
    }

    /// Attempts that each task of a job has.
    pub fn attempts(&self, job: &JobId) -> u32 {
        let owned = self.owned.get(job);
        owned.map_or(self.max_attempts, |owned| owned.attempts)
    }

    /// Number of runs that workers started.
    pub fn starts(&self) -> usize {
        let started = |f: &&Event| matches!(f.kind, EventKind::Started { .. });
        self.events.iter().filter(started).count()
    }

    /// Whether the daemon that a call went to accepted no connection during the call.
    pub fn was_closed(&self, call: &Call) -> bool {
        let during = call.sent..=call.at + REFUSAL_PRECISION;
        let mut refusals = self.refusals.iter();
        refusals.any(|(daemon, at)| *daemon == call.daemon && during.contains(at))
    }

    /// Whether a fault that is not planned overlaps this period.
    pub fn is_disrupted(&self, start: Millis, end: Millis) -> bool {
        let mut unplanned = self.faults.iter().filter(|f| !f.planned);
        unplanned.any(|f| f.start <= end && f.end >= start)
    }
}
