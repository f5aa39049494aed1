//! The operators' configuration: queues, pools of workers, organisations and their keys.

use base::Map;
use base::Millis;
use base::OrgId;
use base::ServiceId;

use crate::advice::AdviceRule;
use crate::org::OrgLimit;
use crate::org::Weight;
use crate::record::Submitted;

/// A queue that callers submit jobs to. It is selected by the host and the path of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: String,
    /// Host name of its requests.
    pub host: String,
    /// Prefix of the paths of its requests.
    pub prefix: String,
    /// The pool of workers that runs its tasks.
    pub pool: ServiceId,
    /// Priority of its jobs; 0 is the highest and may preempt the others.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub attempts: u32,
    /// Factor on a job's estimated duration in its objective.
    pub stretch: f64,
    /// Time added to the scaled duration in a job's objective.
    pub latency: Millis,
    /// Whether requests without an API key are accepted.
    pub public: bool,
    /// Response times of the adviser, if an adviser decides which workers may run the steps.
    pub advice: Option<AdviceRule>,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: ServiceId,
    /// Whether its workers themselves refuse tasks that exceed their capacity.
    pub checks_capacity: bool,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Org {
    /// Unique id of the organisation.
    pub name: OrgId,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Accelerators that its jobs of priority 0 can always get.
    pub guarantee: u64,
    /// What it may have running.
    pub limit: OrgLimit,
    /// Its share when all is full; `None` if it has none configured.
    pub weight: Option<Weight>,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogLimits {
    /// Largest request body in bytes.
    pub body: u64,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version number; a higher one replaces a lower one.
    pub version: u64,
    /// All queues; the host and the longest prefix select one.
    pub queues: Vec<Queue>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All organisations.
    pub orgs: Vec<Org>,
    /// Limits on requests.
    pub limits: CatalogLimits,
    by_key: Map<String, usize>,
    by_name: Map<OrgId, usize>,
}

/// A queue that was found for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueMatch<'a> {
    /// The queue with the longest matching prefix.
    pub queue: &'a Queue,
    /// The part of the path after the queue's prefix.
    pub rest: &'a str,
}

impl Catalog {
    /// Builds the configuration with an index of the API keys.
    pub fn new(
        version: u64,
        queues: Vec<Queue>,
        pools: Vec<Pool>,
        orgs: Vec<Org>,
        limits: CatalogLimits,
    ) -> Catalog {
        let mut by_key = Map::default();
        let mut by_name = Map::default();
        for (num, org) in orgs.iter().enumerate() {
            by_name.insert(org.name.clone(), num);
            for key in &org.keys {
                by_key.insert(key.clone(), num);
            }
        }
        Catalog {
            version,
            queues,
            pools,
            orgs,
            limits,
            by_key,
            by_name,
        }
    }

    /// The queue for a host and path; the longest matching prefix wins.
    pub fn find_queue<'a>(&'a self, host: &str, path: &'a str) -> Option<QueueMatch<'a>> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self
            .queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(q.prefix.as_str()));
        let queue = matching.max_by_key(|q| q.prefix.len())?;
        Some(QueueMatch {
            queue,
            rest: &path[queue.prefix.len()..],
        })
    }

    /// Whether the workers of a pool themselves refuse tasks that exceed their capacity.
    pub fn checks_capacity(&self, pool: &ServiceId) -> bool {
        let pool = self.pools.iter().find(|p| p.name == *pool);
        pool.is_some_and(|p| p.checks_capacity)
    }

    /// The queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// The organisation that an API key belongs to.
    pub fn org_of_key(&self, key: &str) -> Option<&Org> {
        self.by_key.get(key).map(|&num| &self.orgs[num])
    }

    /// The organisation with this name.
    pub fn org(&self, name: &OrgId) -> Option<&Org> {
        self.by_name.get(name).map(|&num| &self.orgs[num])
    }

    /// Accelerators guaranteed to an organisation; zero if it is not configured.
    pub fn guarantee(&self, org: &OrgId) -> u64 {
        self.org(org).map_or(0, |o| o.guarantee)
    }

    /// What an organisation may have running; without a limit if it is not configured.
    pub fn limit(&self, org: &OrgId) -> OrgLimit {
        self.org(org).map(|o| o.limit).unwrap_or_default()
    }

    /// Whether organisations have limits or weights. Where they have either, the next version may set
    /// a limit.
    pub fn may_limit(&self) -> bool {
        let named = |o: &Org| o.limit != OrgLimit::default() || o.weight.is_some();
        self.orgs.iter().any(named)
    }

    /// Whether any organisation has a weight.
    pub fn has_weights(&self) -> bool {
        self.orgs.iter().any(|o| o.weight.is_some())
    }

    /// The rate in jobs a second within which the jobs of an organisation go before those beyond;
    /// `None` if it has none.
    pub fn rate(&self, org: &OrgId) -> Option<Weight> {
        let weight = self.org(org).and_then(|o| o.weight);
        weight.filter(|w| w.get() > 0.0)
    }

    /// Why the limit of the organisation never lets a job run, if it does not.
    pub fn over_limit(&self, submitted: &Submitted) -> Option<String> {
        let org = submitted.org.as_ref()?;
        let limit = self.limit(org);
        let steps = submitted.work.steps.iter().enumerate();
        let mut wide = steps.filter(|(_, step)| !limit.allows(&step.at_once()));
        wide.next().map(|(num, step)| {
            let needs = step.at_once();
            let what = if step.gang { "the gang" } else { "one task" };
            format!("step {num}: {what} needs {needs}, the limit of {org} is {limit}")
        })
    }
}
