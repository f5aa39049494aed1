//! Assignment of workers to delegates.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::rank;
use base::DomainId;
use base::Map;
use base::Millis;
use base::VmId;
use base::WorkerId;

/// Fewest delegates of a domain, so that others carry on when one is lost.
const MIN_PER_DOMAIN: usize = 2;

/// Time for which a delegate is not used after its link ended or it did not answer in time.
const SUSPENSION: Millis = Millis(3_000);

/// Time for which the coordinator calls a worker itself after a delegate could not reach it.
const DIRECT_TIME: Millis = Millis(5_000);

/// When and how many delegates are used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sizing {
    /// Number of workers from which delegates are used. A coordinator calls fewer itself, which
    /// saves a hop and a process that can fail.
    pub min_workers: usize,
    /// Number of workers for each delegate.
    pub workers_each: usize,
}

/// A daemon that can carry calls out.
#[derive(Clone, Debug, PartialEq)]
pub struct Delegate {
    /// Id of its VM.
    pub vm: VmId,
    /// Failure domain of its VM.
    pub domain: DomainId,
    /// Address at which it accepts links.
    pub address: SocketAddr,
    /// Relative capacity of its VM.
    pub strength: f64,
}

/// How a call reaches a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// The coordinator calls the worker itself.
    Direct,
    /// The delegate on this VM calls the worker.
    Via(VmId),
}

/// Choice of the delegates, and of the delegate for each worker.
///
/// A worker is assigned by rendezvous hashing among the usable delegates of its own domain, so that
/// only the workers of a delegate that drops out move. If the domain has none, those of all domains
/// are used.
#[derive(Clone, Debug)]
pub struct Assignment {
    sizing: Sizing,
    chosen: BTreeMap<VmId, Delegate>,
    linked: BTreeSet<VmId>,
    suspended: BTreeMap<VmId, Millis>,
    /// Workers that their delegate could not reach, and until when they are called directly.
    direct: Map<WorkerId, Millis>,
}

impl Assignment {
    /// Creates an assignment without delegates.
    pub fn new(sizing: Sizing) -> Assignment {
        Assignment {
            sizing,
            chosen: BTreeMap::new(),
            linked: BTreeSet::new(),
            suspended: BTreeMap::new(),
            direct: Map::default(),
        }
    }

    /// Chooses the delegates for a number of workers in each domain from the known daemons.
    /// Stronger VMs come first; among equal ones those already chosen, to avoid moves.
    pub fn choose(&mut self, workers: &BTreeMap<DomainId, usize>, known: &[Delegate], now: Millis) {
        let total: usize = workers.values().sum();
        if total < self.sizing.min_workers {
            self.chosen.clear();
            return;
        }
        let mut chosen = BTreeMap::new();
        for (domain, &count) in workers {
            let mut local: Vec<&Delegate> = known.iter().filter(|d| d.domain == *domain).collect();
            local.sort_by(|a, b| {
                let kept = |d: &Delegate| self.chosen.contains_key(&d.vm);
                b.strength
                    .total_cmp(&a.strength)
                    .then_with(|| kept(b).cmp(&kept(a)))
                    .then_with(|| a.vm.cmp(&b.vm))
            });
            let most = count.div_ceil(self.sizing.workers_each).max(MIN_PER_DOMAIN);
            let picked = local.into_iter().take(most);
            chosen.extend(picked.map(|d| (d.vm.clone(), d.clone())));
        }
        self.chosen = chosen;
        self.direct.retain(|_, until| now < *until);
    }

    /// The delegates to keep links to, with their addresses.
    pub fn wanted(&self) -> Vec<(VmId, SocketAddr)> {
        let chosen = self.chosen.values();
        chosen.map(|d| (d.vm.clone(), d.address)).collect()
    }

    /// Records that the link to a delegate was established.
    pub fn link_up(&mut self, vm: &VmId) {
        self.linked.insert(vm.clone());
    }

    /// Records that the link to a delegate ended.
    pub fn link_down(&mut self, vm: &VmId, now: Millis) {
        self.linked.remove(vm);
        self.suspend(vm, now);
    }

    /// Stops the use of a delegate for a while, because it is slow or about to stop.
    pub fn suspend(&mut self, vm: &VmId, now: Millis) {
        self.suspended.insert(vm.clone(), now + SUSPENSION);
    }

    /// Number of chosen delegates without a link.
    pub fn missing(&self) -> usize {
        let chosen = self.chosen.keys();
        chosen.filter(|vm| !self.linked.contains(*vm)).count()
    }

    /// Delegates that may be used now.
    pub fn usable(&self, now: Millis) -> impl Iterator<Item = &Delegate> {
        self.chosen.values().filter(move |d| {
            let suspended = self.suspended.get(&d.vm).is_some_and(|until| now < *until);
            self.linked.contains(&d.vm) && !suspended
        })
    }

    /// Records that a call to a worker failed on this route. If the delegate could not reach the
    /// worker, the coordinator tries it itself for a while, and after a further failure the
    /// delegate is used again.
    pub fn call_failed(&mut self, worker: &WorkerId, route: &Route, now: Millis) {
        match route {
            Route::Direct => self.direct.remove(worker),
            Route::Via(_) => self.direct.insert(worker.clone(), now + DIRECT_TIME),
        };
    }

    /// The route of calls to a worker in this domain.
    pub fn route(&self, worker: &WorkerId, domain: &DomainId, now: Millis) -> Route {
        if self.direct.get(worker).is_some_and(|until| now < *until) {
            return Route::Direct;
        }
        let weight = |d: &&Delegate| rank(worker.as_str(), d.vm.as_str());
        let local = self.usable(now).filter(|d| d.domain == *domain);
        let best = local.max_by_key(weight);
        let best = best.or_else(|| self.usable(now).max_by_key(weight));
        best.map_or(Route::Direct, |d| Route::Via(d.vm.clone()))
    }
}
