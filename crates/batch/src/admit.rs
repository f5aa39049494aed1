//! Whether a job is accepted, and when a refused one may come back.
//!
//! Load pattern: for seconds more work is submitted than the workers can do. Accepted as it
//! comes, all of it ends too late. A job that could only end after its result is of use is
//! refused at once, with the time at which it could be served. Callers who are all told the same
//! time come back as the same burst, so each refusal moves the next one's time on.

use base::Map;
use base::Millis;
use base::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::order::LATE_FACTOR;
use crate::record::Submitted;
use crate::spec::Resources;
use crate::spec::StepSpec;

/// Shortest and longest time after which a refused caller is asked to come back.
const AFTER: (Millis, Millis) = (Millis(1_000), Millis(30_000));

/// Time after which a job that no present worker could run may come back: workers are replaced
/// within some seconds.
const NO_WORKER: Millis = Millis(5_000);

/// Age from which what is known of the load decides nothing.
const OLD: Millis = Millis(5_000);

/// Work, in thousandths of a core and accelerators, each times milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Processor time.
    pub cpu: u64,
    /// Accelerator time.
    pub accels: u64,
}

impl Work {
    /// Adds `count` tasks of a step that take `span` each.
    pub fn add(&mut self, step: &StepSpec, count: u64, span: Millis) {
        let need = step.occupies();
        self.cpu = self.cpu.saturating_add(need.cpu * count * span.0);
        self.accels = self.accels.saturating_add(need.accels * count * span.0);
    }

    /// Time in which `room` does this work.
    fn time_in(&self, room: &Resources) -> Millis {
        let time = |work: u64, room: u64| work.checked_div(room).unwrap_or(0);
        Millis(time(self.cpu, room.cpu).max(time(self.accels, room.accels)))
    }
}

/// What the coordinator publishes of a pool.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolLoad {
    /// All that its usable workers offer.
    pub capacity: Resources,
    /// What single workers offer, each kind once.
    pub kinds: Vec<Resources>,
    /// Accepted work that has not ended, by priority.
    pub backlog: Map<u32, Work>,
}

/// What the coordinator publishes of the load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Jobs of each queue of which no task has started.
    pub waiting: Map<String, u64>,
    /// The pools.
    pub pools: Map<ServiceId, PoolLoad>,
    /// Seen duration of each queue's tasks against their estimates, in percent.
    pub ratios: Map<String, u32>,
}

/// What becomes of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is accepted.
    Accept,
    /// It would end too late to be of use; when it may come back.
    Late(Millis),
    /// No worker could ever run one of its tasks; when it may come back.
    NoWorker(Millis),
}

/// Callers that have been asked to come back, as time that their work takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Promises {
    until: Millis,
}

/// Decides on a submission by the load known at `now`, which is `age` old. `share` is the number
/// of daemons that decide side by side.
pub fn admit(
    load: &Load,
    age: Millis,
    given: &Submitted,
    promises: &mut Promises,
    share: u64,
    now: Millis,
) -> Verdict {
    let Some(pool) = load.pools.get(&given.pool).filter(|_| age < OLD) else {
        return Verdict::Accept;
    };
    if pool.kinds.is_empty() {
        return Verdict::Accept;
    }
    let steps = &given.work.steps;
    let runnable = |s: &StepSpec| pool.kinds.iter().any(|kind| kind.fits(&s.occupies()));
    if !steps.iter().all(runnable) {
        return Verdict::NoWorker(NO_WORKER);
    }
    if given.work.schedule.is_some() || steps.iter().any(|s| s.lasting) {
        return Verdict::Accept;
    }
    let ratio = u64::from(load.ratios.get(&given.queue).copied().unwrap_or(100));
    let expected = |span: Millis| Millis(span.0 * ratio / 100);
    let mut ahead = Work::default();
    for (_, work) in pool.backlog.iter().filter(|(p, _)| **p <= given.priority) {
        ahead.cpu = ahead.cpu.saturating_add(work.cpu);
        ahead.accels = ahead.accels.saturating_add(work.accels);
    }
    let end = ahead.time_in(&pool.capacity) + expected(given.work.chain());
    let limit = Millis(given.objective.0 * LATE_FACTOR);
    if end <= limit {
        return Verdict::Accept;
    }
    let mut own = Work::default();
    for step in steps {
        own.add(step, u64::from(step.count), expected(step.estimate));
    }
    let turn = promises.until.max(now + end.since(limit));
    promises.until = turn + Millis(own.time_in(&pool.capacity).0 * share.max(1));
    Verdict::Late(turn.since(now).clamp(AFTER.0, AFTER.1))
}
