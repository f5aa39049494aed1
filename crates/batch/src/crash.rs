//! Attribution of crashed workers to the tasks that ran on them.
//!
//! Load pattern: a few tasks crash each worker that starts them, moments after the start, while eight
//! other tasks run on it. A retry that is safe for such a task costs the site one worker after the other,
//! and each of these takes sound tasks with it. All that ran on a crashed worker are suspects; those that
//! had run well for a while are not likely to be the cause. A suspect runs next where no other job does:
//! if that worker crashes as well, no other job can be the cause, and if it does not, the task is cleared.

use std::net::SocketAddr;

use base::Millis;
use base::Set;
use base::WorkerId;

use crate::spec::RunNumber;

/// Age up to which a run counts as just started when its worker crashed.
const START_AGE: Millis = Millis(1_000);

/// Age from which a run is not suspected: it has started well.
pub(crate) const MAX_AGE: Millis = Millis(10_000);

/// Number of crashes that only a task's job can have caused, just after its start, after which the task
/// is the cause.
const MAX_START_CRASHES: usize = 2;

/// The same for crashes at any age.
const MAX_SOLE_CRASHES: usize = 3;

/// The same for machines that had crashed under other jobs, counting each machine once.
const MAX_UNSOUND: usize = 3;

/// Number of crashes of any kind after which a task is the cause, if only its job can have caused one of them.
const MAX_CRASHES_WITH_SOLE: usize = 4;

/// The same if other jobs may have caused each of them.
const MAX_CRASHES: usize = 5;

/// Number of them that may be losses of a failure domain or rack. Such a loss may be a mistake until its task
/// is a suspect, which it is after two.
const MAX_IN_GROUP: usize = 2;

/// Most losses kept for a task.
const MAX_KEPT: usize = 8;

/// A run that was open on a worker when the worker was lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// Number of the run.
    pub run: RunNumber,
    /// Id of the worker.
    pub worker: WorkerId,
    /// Incarnation of the worker (its start as Unix time).
    pub born: u64,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Time for which the run is known to have been active before; `None` if an earlier coordinator
    /// started it.
    pub age: Option<Millis>,
    /// Whether only its job can be the cause: no other job ran there, or none that had just started as
    /// this one had.
    pub sole: bool,
    /// Whether the machine had crashed lately under other jobs.
    pub unsound: bool,
    /// Whether most of the worker's failure domain or rack was lost with it.
    pub in_group: bool,
    /// Whether the worker is known to have crashed. Otherwise it may only be out of reach.
    pub proven: bool,
}

impl Crash {
    /// Whether it is the loss of this run. One whose start was not answered may reach the next incarnation.
    pub fn is_of(&self, run: RunNumber, born: u64) -> bool {
        (self.run, self.born) == (run, born)
    }

    fn is_at_start(&self) -> bool {
        is_start(self.age)
    }
}

/// Whether a run of this age had just started.
pub(crate) fn is_start(age: Option<Millis>) -> bool {
    age.is_some_and(|age| age < START_AGE)
}

/// Adds a loss, or what is new of one that is known. Beyond the most that are kept, the earliest is dropped that
/// is not proven, else that of a failure domain or rack.
pub fn add(crashes: &mut Vec<Crash>, crash: Crash) {
    if let Some(known) = crashes.iter_mut().find(|c| c.is_of(crash.run, crash.born)) {
        known.proven |= crash.proven;
        return;
    }
    if crashes.len() >= MAX_KEPT {
        let unproven = crashes.iter().position(|c| !c.proven);
        let dropped = unproven.or_else(|| crashes.iter().position(|c| c.in_group));
        crashes.remove(dropped.unwrap_or(0));
    }
    crashes.push(crash);
}

/// Whether the next run of a task is to be kept apart from other jobs.
pub fn is_suspect(crashes: &[Crash]) -> bool {
    let mut single = crashes.iter().filter(|c| c.proven && !c.in_group);
    single.any(Crash::is_at_start) || crashes.len() > 1
}

/// Whether a task is the cause of the crashes under it, so that it must not start again.
pub fn is_cause(crashes: &[Crash]) -> bool {
    let proven = crashes.iter().filter(|c| c.proven);
    let sole = proven.clone().filter(|c| c.sole && !c.in_group);
    let sound = sole.clone().filter(|c| !c.unsound);
    let at_start = sole.clone().filter(|c| c.is_at_start());
    let machines: Set<SocketAddr> = at_start.map(|c| c.address).collect();
    let in_group = proven.clone().filter(|c| c.in_group).count();
    let most = match sole.count() {
        0 => MAX_CRASHES,
        _ => MAX_CRASHES_WITH_SOLE,
    };
    sound.clone().filter(|c| c.is_at_start()).count() >= MAX_START_CRASHES
        || sound.count() >= MAX_SOLE_CRASHES
        || machines.len() >= MAX_UNSOUND
        || proven.count() - in_group + in_group.min(MAX_IN_GROUP) >= most
}

/// Age at which a later run clears the task: it has survived its start for clearly longer than the runs
/// before. A run may have gone on for up to a poll after its last report.
pub fn cleared_after(crashes: &[Crash], poll_wait: Millis) -> Millis {
    let ages = crashes.iter().map(|c| c.age.unwrap_or(START_AGE));
    let longest = ages.max().unwrap_or_default();
    Millis(2 * (longest.0 + poll_wait.0))
}
