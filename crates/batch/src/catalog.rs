//! The operators' configuration: queues, pools of workers, organisations and their keys.

use base::Map;
use base::Millis;
use base::OrgId;
use base::ServiceId;

use crate::advice::AdviceRule;

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host that its callers name.
    pub host: String,
    /// Start of the paths that belong to it.
    pub prefix: String,
    /// The pool of workers that run its tasks.
    pub pool: ServiceId,
    /// 0 comes first and may preempt others.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Times its own work that a job may take.
    pub stretch: f64,
    /// Time that a job may take beyond that.
    pub latency: Millis,
    /// Whether callers need no key.
    pub public: bool,
    /// The adviser's times, if one decides which workers run the steps.
    pub advice: Option<AdviceRule>,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: ServiceId,
    /// Whether its workers reject what does not fit.
    pub guards: bool,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the organisation.
    pub name: OrgId,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Accelerators that its jobs of priority 0 can always have.
    pub guarantee: u64,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogLimits {
    /// Largest body in bytes.
    pub body: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The organisations.
    pub tenants: Vec<Tenant>,
    /// Limits on callers.
    pub limits: CatalogLimits,
    by_key: Map<String, usize>,
}

/// A queue and the rest of the path behind its prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Found<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// What follows the prefix.
    pub rest: &'a str,
}

impl Catalog {
    /// A configuration from its parts.
    pub fn new(
        version: u64,
        queues: Vec<Queue>,
        pools: Vec<Pool>,
        tenants: Vec<Tenant>,
        limits: CatalogLimits,
    ) -> Catalog {
        let mut by_key = Map::default();
        for (num, tenant) in tenants.iter().enumerate() {
            for key in &tenant.keys {
                by_key.insert(key.clone(), num);
            }
        }
        Catalog {
            version,
            queues,
            pools,
            tenants,
            limits,
            by_key,
        }
    }

    /// The queue of a host and path: the longest prefix wins.
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<Found<'a>> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self
            .queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(q.prefix.as_str()));
        let queue = matching.max_by_key(|q| q.prefix.len())?;
        Some(Found {
            queue,
            rest: &path[queue.prefix.len()..],
        })
    }

    /// The queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// The organisation that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.by_key.get(key).map(|&num| &self.tenants[num])
    }

    /// Accelerators that an organisation can always have.
    pub fn guarantee(&self, org: &OrgId) -> u64 {
        let tenant = self.tenants.iter().find(|t| t.name == *org);
        tenant.map_or(0, |t| t.guarantee)
    }
}
