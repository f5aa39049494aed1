//! All that was seen in a run, in plain data that the checks read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::JobId;
use base::Millis;
use batch::Submission;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::Outcome;

use crate::daemon::Exit;

/// What a caller asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asked {
    /// To cancel the job.
    Cancel,
    /// For its state.
    Look,
    /// To take the job.
    Submit,
}

/// A call and its answer.
#[derive(Clone, Debug)]
pub struct Call {
    /// The job.
    pub job: JobId,
    /// What was asked for.
    pub asked: Asked,
    /// Number of the daemon.
    pub daemon: usize,
    /// When it was sent.
    pub sent: Millis,
    /// When the answer was there.
    pub at: Millis,
    /// The answer.
    pub told: Outcome,
}

/// A fault, for as long as it lasted.
#[derive(Clone, Debug)]
pub struct Window {
    /// Its begin.
    pub from: Millis,
    /// Its end; the same as its begin for those that last no time.
    pub until: Millis,
    /// Whether it was planned work, which excuses less.
    pub planned: bool,
    /// What it was.
    pub what: String,
}

/// A wave of upkeep, as the service of machines saw it.
#[derive(Clone, Debug)]
pub struct Upkeep {
    /// Its number.
    pub number: u64,
    /// Most machines that were to be down at a time.
    pub cap: usize,
    /// Most that were.
    pub most: usize,
    /// Whether operators were told that it is over.
    pub is_over: bool,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Jobs that callers sent.
    pub jobs: BTreeMap<JobId, Submission>,
    /// Attempts that each task has.
    pub attempts: u32,
    /// Calls and answers in the order of the answers.
    pub calls: Vec<Call>,
    /// What workers did.
    pub facts: Vec<Event>,
    /// Faults.
    pub windows: Vec<Window>,
    /// Processes that have been started: number of the daemon, and when.
    pub boots: Vec<(usize, Millis)>,
    /// Processes that have ended.
    pub exits: Vec<Exit>,
    /// Waves of upkeep.
    pub waves: Vec<Upkeep>,
    /// Jobs whose callers still wanted an end when the run was over.
    pub unsettled: BTreeSet<JobId>,
}

impl Log {
    /// Jobs that were accepted, with the time.
    pub fn accepted(&self) -> BTreeMap<JobId, Millis> {
        let mut found = BTreeMap::new();
        let told = self.of(Asked::Submit).filter(|c| c.told == Outcome::Done);
        for call in told {
            found.entry(call.job.clone()).or_insert(call.at);
        }
        found
    }

    /// Calls of one kind.
    pub fn of(&self, asked: Asked) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(move |c| c.asked == asked)
    }

    /// Runs that workers began.
    pub fn starts(&self) -> usize {
        let begun = |f: &&Event| matches!(f.kind, EventKind::Started { .. });
        self.facts.iter().filter(begun).count()
    }

    /// Whether a disruption that was not planned overlaps a span of time.
    pub fn is_disrupted(&self, from: Millis, until: Millis) -> bool {
        let mut disruptions = self.windows.iter().filter(|w| !w.planned);
        disruptions.any(|w| w.from <= until && w.until >= from)
    }
}
