//! Typed accessors of the settings.

use std::fmt;

use base::Accels;
use base::Bytes;
use base::DomainId;
use base::JobKind;
use base::Millis;
use base::OrgId;
use base::Shape;

use crate::tree::key::Key;
use crate::tree::place::Place;
use crate::tree::value::Value;
use crate::tree::Tree;

/// Treatment of running jobs when their failure domain is taken out of service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnOut {
    /// They run to completion in the failure domain.
    Finish,
    /// Those that can be stopped are moved to another failure domain.
    Move,
}

/// Whether tasks may start while the platform is down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartsOffline {
    /// As long as every live daemon is reachable and holds the same settings.
    AllHeard,
    /// Tasks never start.
    Never,
}

/// Relative weight of an organisation, 1 to 1000.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Weight(pub u32);

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Percentage, 0 to 100.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Percent(pub u8);

impl Percent {
    /// This percentage of `whole`, rounded down.
    pub fn of(self, whole: u64) -> u64 {
        whole * u64::from(self.0) / 100
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl Tree {
    /// Organisations, ordered by name.
    pub fn orgs(&self) -> impl Iterator<Item = &OrgId> {
        self.orgs.iter()
    }

    /// Whether an organisation exists.
    pub fn has_org(&self, org: &OrgId) -> bool {
        self.orgs.contains(org)
    }

    /// Failure domains that operators have taken out of service, ordered by name.
    pub fn domains_out(&self) -> Vec<DomainId> {
        let at = self.values.keys();
        let domains = at
            .filter(|p| p.org_id().is_none())
            .filter_map(|p| p.domain_id());
        domains.filter(|d| self.is_out(d)).cloned().collect()
    }

    /// Whether operators have taken a failure domain out of service.
    pub fn is_out(&self, domain: &DomainId) -> bool {
        self.flag(Key::Out, &Place::domain(domain))
    }

    /// Guarantees in a failure domain, ordered by organisation: shape and number of copies.
    pub fn guarantees(&self, domain: &DomainId) -> Vec<(OrgId, Shape, u32)> {
        let all = self.all_guarantees().into_iter();
        let here = all.filter(|(_, d, _, _)| d == domain);
        here.map(|(org, _, shape, count)| (org, shape, count))
            .collect()
    }

    /// All guarantees, ordered by organisation and failure domain: shape and number of copies.
    pub fn all_guarantees(&self) -> Vec<(OrgId, DomainId, Shape, u32)> {
        let mut all = Vec::new();
        for (place, values) in &self.values {
            let (Some(org), Some(domain)) = (place.org_id(), place.domain_id()) else {
                continue;
            };
            if let Some(Value::Shapes(list)) = values.get(&Key::Guarantees) {
                let listed = list.iter();
                all.extend(listed.map(|h| (org.clone(), domain.clone(), h.shape, h.count)));
            }
        }
        all
    }

    /// Weight of an organisation's jobs in a failure domain, for accelerators beyond the
    /// guarantees.
    pub fn weight(&self, org: &OrgId, domain: &DomainId) -> Weight {
        Weight(self.number(Key::Weight, &Place::org_domain(org, domain)) as u32)
    }

    /// Weight of an organisation's requests in a failure domain when upstreams are full.
    pub fn fair_share(&self, org: &OrgId, domain: &DomainId) -> Weight {
        Weight(self.number(Key::FairShare, &Place::org_domain(org, domain)) as u32)
    }

    /// Largest number of accelerators that an organisation may hold in a failure domain.
    pub fn quota(&self, org: &OrgId, domain: &DomainId) -> Accels {
        Accels(self.number(Key::QuotaAccels, &Place::org_domain(org, domain)) as u32)
    }

    /// Largest number of jobs of an organisation that have not ended.
    pub fn jobs_max(&self, org: &OrgId) -> usize {
        self.number(Key::JobsMax, &Place::org(org)) as usize
    }

    /// Treatment of running jobs in general when a failure domain is taken out of service.
    pub fn on_out(&self, domain: &DomainId) -> OnOut {
        self.on_out_at(&Place::domain(domain))
    }

    /// Treatment of a running job when its failure domain is taken out of service.
    pub fn job_on_out(&self, org: &OrgId, domain: &DomainId, kind: &JobKind) -> OnOut {
        self.on_out_at(&Place::job(org, domain, kind))
    }

    fn on_out_at(&self, at: &Place) -> OnOut {
        if self.is_word(Key::OnOut, at, "finish") {
            OnOut::Finish
        } else {
            OnOut::Move
        }
    }

    /// Whether jobs of a kind may be submitted as urgent.
    pub fn urgent_allowed(&self, org: &OrgId, domain: &DomainId, kind: &JobKind) -> bool {
        self.flag(Key::UrgentAllowed, &Place::job(org, domain, kind))
    }

    /// Interval between checkpoints of a job.
    pub fn checkpoint_every(&self, org: &OrgId, domain: &DomainId, kind: &JobKind) -> Millis {
        self.millis(Key::CheckpointEvery, &Place::job(org, domain, kind))
    }

    /// Longest wait for a checkpoint before a job is stopped.
    pub fn checkpoint_wait(&self, org: &OrgId, domain: &DomainId, kind: &JobKind) -> Millis {
        self.millis(Key::CheckpointWait, &Place::job(org, domain, kind))
    }

    /// Longest time for which smaller jobs may start before a waiting larger one.
    pub fn bypass_bound(&self, domain: &DomainId) -> Millis {
        self.millis(Key::BypassBound, &Place::domain(domain))
    }

    /// Largest share of a failure domain's workers that may be isolated at the same time.
    pub fn isolate_share(&self, domain: &DomainId) -> Percent {
        self.percent(Key::IsolateShare, &Place::domain(domain))
    }

    /// Maximum task starts per second in a failure domain that has just come back into service.
    pub fn return_pace(&self, domain: &DomainId) -> u32 {
        self.number(Key::ReturnPace, &Place::domain(domain)) as u32
    }

    /// Whether tasks may start in a failure domain while the platform is down.
    pub fn starts_offline(&self, domain: &DomainId) -> StartsOffline {
        if self.is_word(Key::StartsOffline, &Place::domain(domain), "all-heard") {
            StartsOffline::AllHeard
        } else {
            StartsOffline::Never
        }
    }

    /// Longest deadline that a request of an organisation may have.
    pub fn deadline_max(&self, org: &OrgId) -> Millis {
        self.millis(Key::RequestDeadlineMax, &Place::org(org))
    }

    /// Largest body of a request of an organisation.
    pub fn max_body(&self, org: &OrgId) -> Bytes {
        Bytes(self.number(Key::MaxBody, &Place::org(org)))
    }

    /// Allowed retries of an organisation's requests in a failure domain, as a percentage of
    /// first attempts.
    pub fn retry_budget(&self, org: &OrgId, domain: &DomainId) -> Percent {
        self.percent(Key::RetryBudget, &Place::org_domain(org, domain))
    }

    fn flag(&self, key: Key, at: &Place) -> bool {
        self.resolve(key, at) == Value::Flag(true)
    }

    fn is_word(&self, key: Key, at: &Place, word: &str) -> bool {
        matches!(self.resolve(key, at), Value::Word(w) if w == word)
    }

    fn millis(&self, key: Key, at: &Place) -> Millis {
        Millis(self.number(key, at))
    }

    fn percent(&self, key: Key, at: &Place) -> Percent {
        Percent(self.number(key, at).min(100) as u8)
    }

    fn number(&self, key: Key, at: &Place) -> u64 {
        match self.resolve(key, at) {
            Value::Number(num) => num,
            _ => 0,
        }
    }
}
