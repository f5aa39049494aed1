//! State of all upstreams on one entry VM, and the choice of one for a request.

use std::collections::BTreeMap;

use base::DomainId;
use base::Millis;
use base::ServiceId;
use base::WorkerId;
use rand::Rng;
use rand::RngExt;

use crate::config::Config;
use crate::health::Health;
use crate::health::IsolationRule;
use crate::health::Probe;
use crate::limit::Limit;

/// Weight of the newest sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Latency assumed of an upstream that has not served a request yet.
const INITIAL_LATENCY_MS: f64 = 5.0;

/// Factor by which each consecutive failure raises the cost of an upstream.
const FAILURE_COST_FACTOR: f64 = 2.0;

/// Pause after a refusal because no slot was free.
const PAUSE_WHEN_FULL: Millis = Millis(5);

/// Number of random picks before all upstreams are examined.
const MAX_RANDOM_PICKS: usize = 4;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It is leaving and accepts no new requests.
    Leaving,
    /// It accepts new requests.
    Live,
}

/// An upstream as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Id of the worker.
    pub id: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Service that it offers.
    pub service: ServiceId,
    /// Number of requests that it serves concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub availability: Availability,
}

/// Status of an upstream for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStatus {
    /// Id of the worker.
    pub id: WorkerId,
    /// Requests in progress from this entry VM.
    pub busy: u32,
    /// Concurrency limit of this entry VM for the upstream.
    pub limit: u32,
    /// Moving average of the latency in milliseconds.
    pub latency: f64,
    /// Whether it is isolated.
    pub isolated: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An upstream with its state on this entry VM.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub upstream: Upstream,
    pub busy: u32,
    pub limit: Limit,
    pub health: Health,
    latency: f64,
    /// End of the pause after a refusal because no slot was free.
    paused_until: Millis,
}

impl Member {
    fn new(upstream: Upstream) -> Member {
        Member {
            limit: Limit::new(upstream.slots),
            upstream,
            busy: 0,
            health: Health::Healthy { failures: 0 },
            latency: INITIAL_LATENCY_MS,
            paused_until: Millis::ZERO,
        }
    }

    /// Records that the upstream refused a request because no slot was free.
    pub fn record_full(&mut self, now: Millis) {
        self.limit.shrink(now);
        self.paused_until = now + PAUSE_WHEN_FULL;
    }

    /// Whether the upstream can get a request now, and whether that request is a probe.
    fn admits(&self, now: Millis) -> Option<Probe> {
        let live = self.upstream.availability == Availability::Live && self.paused_until <= now;
        let probe = self.health.admits(now)?;
        let free = match probe {
            Probe::No => self.busy < self.limit.value(),
            Probe::Yes => self.busy == 0,
        };
        (live && free).then_some(probe)
    }

    /// Estimated latency of one more request; the cheapest upstream is chosen.
    fn cost(&self) -> f64 {
        let failures = match self.health {
            Health::Healthy { failures } => failures.min(8),
            _ => 8,
        };
        let load = f64::from(self.busy + 1) / f64::from(self.limit.value());
        load * self.latency * FAILURE_COST_FACTOR.powi(failures as i32)
    }

    pub fn record_latency(&mut self, elapsed: Millis) {
        let elapsed = elapsed.0 as f64 + 1.0;
        self.latency += LATENCY_WEIGHT * (elapsed - self.latency);
    }

    pub fn status(&self) -> UpstreamStatus {
        UpstreamStatus {
            id: self.upstream.id.clone(),
            busy: self.busy,
            limit: self.limit.value(),
            latency: self.latency,
            isolated: self.health.is_isolated(),
            leaving: self.upstream.availability == Availability::Leaving,
        }
    }
}

/// Upstreams of one service as indices: those in the own failure domain, and all others.
#[derive(Clone, Debug, Default)]
struct Group {
    local: Vec<usize>,
    remote: Vec<usize>,
}

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    members: Vec<Member>,
    index: BTreeMap<WorkerId, usize>,
    groups: BTreeMap<ServiceId, Group>,
}

impl Pool {
    /// Replaces the list of upstreams. The state of upstreams that are still listed is kept. One
    /// that is no longer listed is kept as leaving while requests to it are in progress.
    pub fn update(&mut self, list: Vec<Upstream>, own: &DomainId) {
        let mut members = Vec::with_capacity(list.len());
        for upstream in list {
            members.push(self.merge(upstream));
        }
        for mut old in std::mem::take(&mut self.members) {
            let listed = members
                .iter()
                .any(|m: &Member| m.upstream.id == old.upstream.id);
            if old.busy > 0 && !listed {
                old.upstream.availability = Availability::Leaving;
                members.push(old);
            }
        }
        self.members = members;
        self.reindex(own);
    }

    fn merge(&mut self, upstream: Upstream) -> Member {
        let known = self
            .index
            .get(&upstream.id)
            .map(|i| self.members[*i].clone());
        match known {
            Some(mut member) => {
                member.limit.set_slots(upstream.slots);
                member.upstream = upstream;
                member
            }
            None => Member::new(upstream),
        }
    }

    fn reindex(&mut self, own: &DomainId) {
        self.index.clear();
        self.groups.clear();
        for (i, member) in self.members.iter().enumerate() {
            self.index.insert(member.upstream.id.clone(), i);
            let group = self
                .groups
                .entry(member.upstream.service.clone())
                .or_default();
            if member.upstream.domain == *own {
                group.local.push(i);
            } else {
                group.remote.push(i);
            }
        }
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Member> {
        let i = *self.index.get(id)?;
        self.members.get_mut(i)
    }

    /// Whether any upstream offers the service.
    pub fn has_service(&self, service: &ServiceId) -> bool {
        self.groups.contains_key(service)
    }

    /// Chooses an upstream for a request: the cheaper of two random ones, from the own failure
    /// domain if one is available there. An isolated upstream that is due for a probe is
    /// preferred.
    pub fn pick(
        &self,
        now: Millis,
        service: &ServiceId,
        avoid: &[WorkerId],
        rng: &mut impl Rng,
    ) -> Option<WorkerId> {
        let group = self.groups.get(service)?;
        let local = self.pick_from(now, &group.local, avoid, rng);
        let found = local.or_else(|| self.pick_from(now, &group.remote, avoid, rng));
        found.map(|i| self.members[i].upstream.id.clone())
    }

    fn pick_from(
        &self,
        now: Millis,
        list: &[usize],
        avoid: &[WorkerId],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if list.is_empty() {
            return None;
        }
        let admits = |i: usize| {
            let member = &self.members[i];
            member
                .admits(now)
                .filter(|_| !avoid.contains(&member.upstream.id))
        };
        let mut found: Option<usize> = None;
        let mut sampled = 0;
        for _ in 0..MAX_RANDOM_PICKS {
            let i = list[rng.random_range(0..list.len())];
            match admits(i) {
                Some(Probe::Yes) => return Some(i),
                Some(Probe::No) => {
                    sampled += 1;
                    found = Some(self.cheaper(found, i));
                }
                None => {}
            }
            if sampled == 2 {
                return found;
            }
        }
        let all = list.iter().copied().filter(|i| admits(*i).is_some());
        all.fold(found, |best, i| Some(self.cheaper(best, i)))
    }

    fn cheaper(&self, best: Option<usize>, i: usize) -> usize {
        match best {
            Some(b) if self.members[b].cost() <= self.members[i].cost() => b,
            _ => i,
        }
    }

    /// Whether one more upstream of the service may be isolated.
    pub fn may_isolate(&self, service: &ServiceId, share: f64) -> bool {
        let Some(group) = self.groups.get(service) else {
            return false;
        };
        let all = group.local.iter().chain(&group.remote);
        let isolated = all
            .filter(|i| self.members[**i].health.is_isolated())
            .count();
        let total = group.local.len() + group.remote.len();
        (isolated + 1) as f64 <= share * total as f64
    }
}

impl Config {
    pub(crate) fn isolation_rule(&self) -> IsolationRule {
        IsolationRule {
            threshold: self.failure_threshold,
            first_period: self.isolation,
            max_period: self.isolation_max,
        }
    }
}
