//! Admission control: whether a job is accepted, and when the caller of a refused one may retry.
//!
//! Load pattern: for some seconds more work is submitted than the workers can do. If all of it were
//! accepted, all of it would end too late. A job that could only end after its result is of use is
//! refused at once, with a retry time. Callers that are given the same retry time return as one
//! burst, so each refusal moves the next caller's retry time further out.

use base::Epoch;
use base::Map;
use base::Millis;
use base::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::footprint::Footprint;
use crate::rank::USEFUL_FACTOR;
use crate::record::Submitted;
use crate::spec::Resources;
use crate::spec::StepSpec;

/// Shortest and longest retry time given to a refused caller.
const RETRY_AFTER: (Millis, Millis) = (Millis(1_000), Millis(30_000));

/// Retry time for a job with a task that no present worker could run. Workers are replaced within
/// some seconds.
const NO_WORKER_RETRY_AFTER: Millis = Millis(5_000);

/// Age from which the published load is too old to refuse a job on.
const MAX_LOAD_AGE: Millis = Millis(5_000);

/// Limit on an amount of work, with room to round up.
const MAX_WORK: u64 = u64::MAX / 2;

/// Amount of work: resources times milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Processor time, in thousandths of a core times milliseconds.
    pub cpu: u64,
    /// Accelerator time, in accelerators times milliseconds.
    pub accels: u64,
}

impl Work {
    /// Adds `count` tasks of a step that take `span` each.
    pub fn add(&mut self, step: &StepSpec, count: u64, span: Millis) {
        let need = step.occupies();
        let product = |amount: u64| amount.saturating_mul(count).saturating_mul(span.0);
        self.cpu = self.cpu.saturating_add(product(need.cpu)).min(MAX_WORK);
        let accels = self.accels.saturating_add(product(need.accels));
        self.accels = accels.min(MAX_WORK);
    }

    /// Time in which a pool of this capacity does the work.
    fn time_on(&self, capacity: &Resources) -> Millis {
        let time = |work: u64, capacity: u64| work.checked_div(capacity).unwrap_or(0);
        Millis(time(self.cpu, capacity.cpu).max(time(self.accels, capacity.accels)))
    }
}

/// Load of one pool, as the coordinator publishes it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolLoad {
    /// Sum of what its usable workers offer.
    pub capacity: Resources,
    /// The distinct capacities of its workers.
    pub kinds: Vec<Resources>,
    /// Accepted work that has not ended, by priority.
    pub backlog: Map<u32, Work>,
}

/// Load of the site, as the coordinator publishes it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Jobs of each queue of which no task has started.
    pub waiting: Map<String, u64>,
    /// Capacity and backlog of each pool.
    pub pools: Map<ServiceId, PoolLoad>,
    /// Measured duration of each queue's tasks relative to their estimates, in percent.
    pub ratios: Map<String, u32>,
    /// Epoch of the coordinator.
    #[serde(default)]
    pub epoch: Epoch,
    /// Memory of the coordinator that is left for further jobs; `None` if it does not say.
    #[serde(default)]
    pub room: Option<Footprint>,
}

/// Decision on a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The job is accepted.
    Accept,
    /// Refused: the job would end too late to be of use. Holds the retry time.
    Late(Millis),
    /// Refused: one of its tasks fits on no present worker. Holds the retry time.
    NoWorker(Millis),
}

/// Capacity that is already promised to refused callers: the time until which it is used up.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromisedCapacity {
    used_until: Millis,
}

/// Decides on a submission by the published `load`, which is `age` old. `share` is the number of
/// daemons that admit jobs at the same time; each of them spaces its retry times by that factor.
pub fn admit(
    load: &Load,
    age: Millis,
    submitted: &Submitted,
    promises: &mut PromisedCapacity,
    share: u64,
    now: Millis,
) -> Verdict {
    let Some(pool) = load
        .pools
        .get(&submitted.pool)
        .filter(|_| age < MAX_LOAD_AGE)
    else {
        return Verdict::Accept;
    };
    if pool.kinds.is_empty() {
        return Verdict::Accept;
    }
    let steps = &submitted.work.steps;
    let runnable = |s: &StepSpec| pool.kinds.iter().any(|kind| kind.fits(&s.occupies()));
    if !steps.iter().all(runnable) {
        return Verdict::NoWorker(NO_WORKER_RETRY_AFTER);
    }
    if submitted.work.schedule.is_some() || steps.iter().any(|s| s.lasting) {
        return Verdict::Accept;
    }
    let ratio = u64::from(load.ratios.get(&submitted.queue).copied().unwrap_or(100));
    let expected = |span: Millis| Millis(span.0 * ratio / 100);
    let mut ahead = Work::default();
    for (_, work) in pool
        .backlog
        .iter()
        .filter(|(p, _)| **p <= submitted.priority)
    {
        ahead.cpu = ahead.cpu.saturating_add(work.cpu);
        ahead.accels = ahead.accels.saturating_add(work.accels);
    }
    let end = ahead.time_on(&pool.capacity) + expected(submitted.work.critical_path());
    let limit = Millis(submitted.objective.0 * USEFUL_FACTOR);
    if end <= limit {
        return Verdict::Accept;
    }
    let mut own = Work::default();
    for step in steps {
        own.add(step, u64::from(step.count), expected(step.estimate));
    }
    let retry_at = promises.used_until.max(now + end.since(limit));
    promises.used_until = retry_at + Millis(own.time_on(&pool.capacity).0 * share.max(1));
    Verdict::Late(retry_at.since(now).clamp(RETRY_AFTER.0, RETRY_AFTER.1))
}
