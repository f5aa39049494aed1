//! Typed views of the settings for the parts that act on them.

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

/// What becomes of running jobs when their failure domain is taken out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnOut {
    /// They finish there.
    Finish,
    /// Those that can be stopped move.
    Move,
}

/// Whether tasks start while the platform is down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartsOffline {
    /// While every live daemon is heard.
    AllHeard,
    /// Not at all.
    Never,
}

/// A weight, 1 to 1000.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Weight(pub u32);

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A share of a whole, 0 to 100.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Percent(pub u8);

impl Percent {
    /// This share of a whole, rounded down.
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
    /// The organisations by name.
    pub fn orgs(&self) -> impl Iterator<Item = &OrgId> {
        self.orgs.iter()
    }

    /// Whether an organisation exists.
    pub fn has_org(&self, org: &OrgId) -> bool {
        self.orgs.contains(org)
    }

    /// Failure domains that operators have taken out, by name.
    pub fn domains_out(&self) -> Vec<DomainId> {
        let at = self.values.keys();
        let domains = at
            .filter(|p| p.org_id().is_none())
            .filter_map(|p| p.domain_id());
        domains.filter(|d| self.is_out(d)).cloned().collect()
    }

    /// Whether operators have taken a failure domain out.
    pub fn is_out(&self, domain: &DomainId) -> bool {
        self.flag(Key::Out, &Place::domain(domain))
    }

    /// The guarantees in a failure domain by organisation: shape and copies.
    pub fn guarantees(&self, domain: &DomainId) -> Vec<(OrgId, Shape, u32)> {
        let all = self.all_guarantees().into_iter();
        let here = all.filter(|(_, d, _, _)| d == domain);
        here.map(|(org, _, shape, count)| (org, shape, count))
            .collect()
    }

    /// All guarantees by organisation and failure domain: shape and copies.
    pub fn all_guarantees(&self) -> Vec<(OrgId, DomainId, Shape, u32)> {
        let mut all = Vec::new();
        for (place, values) in &self.values {
            let (Some(org), Some(domain)) = (place.org_id(), place.domain_id()) else {
                continue;
            };
            if let Some(Value::Shapes(list)) = values.get(&Key::Guarantees) {
                let held = list.iter();
                all.extend(held.map(|h| (org.clone(), domain.clone(), h.shape, h.count)));
            }
        }
        all
    }

    /// Weight of an organisation's jobs in a failure domain.
    pub fn weight(&self, org: &OrgId, domain: &DomainId) -> Weight {
        Weight(self.number(Key::Weight, &Place::org_domain(org, domain)) as u32)
    }

    /// Weight of an organisation's requests in a failure domain.
    pub fn fair_share(&self, org: &OrgId, domain: &DomainId) -> Weight {
        Weight(self.number(Key::FairShare, &Place::org_domain(org, domain)) as u32)
    }

    /// Most accelerators that an organisation may hold at once in a failure domain.
    pub fn quota(&self, org: &OrgId, domain: &DomainId) -> Accels {
        Accels(self.number(Key::QuotaAccels, &Place::org_domain(org, domain)) as u32)
    }

    /// Most jobs of an organisation that have not ended.
    pub fn jobs_max(&self, org: &OrgId) -> usize {
        self.number(Key::JobsMax, &Place::org(org)) as usize
    }

    /// What becomes of jobs that run in a failure domain when it is taken out.
    pub fn on_out(&self, domain: &DomainId) -> OnOut {
        self.on_out_at(&Place::domain(domain))
    }

    /// What becomes of a running job when its failure domain is taken out.
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

    /// Whether jobs of a kind may be urgent.
    pub fn urgent_allowed(&self, org: &OrgId, domain: &DomainId, kind: &JobKind) -> bool {
        self.flag(Key::UrgentAllowed, &Place::job(org, domain, kind))
    }

    /// Time between checkpoints of a job.
    pub fn checkpoint_every(&self, org: &OrgId, domain: &DomainId, kind: &JobKind) -> Millis {
        self.span(Key::CheckpointEvery, &Place::job(org, domain, kind))
    }

    /// Longest wait for a checkpoint before a job is stopped.
    pub fn checkpoint_wait(&self, org: &OrgId, domain: &DomainId, kind: &JobKind) -> Millis {
        self.span(Key::CheckpointWait, &Place::job(org, domain, kind))
    }

    /// Longest time for which smaller jobs may pass a waiting larger one.
    pub fn bypass_bound(&self, domain: &DomainId) -> Millis {
        self.span(Key::BypassBound, &Place::domain(domain))
    }

    /// Most workers of a failure domain that may be isolated at once.
    pub fn isolate_share(&self, domain: &DomainId) -> Percent {
        self.percent(Key::IsolateShare, &Place::domain(domain))
    }

    /// Most starts a second in a failure domain that has just come back.
    pub fn return_pace(&self, domain: &DomainId) -> u32 {
        self.number(Key::ReturnPace, &Place::domain(domain)) as u32
    }

    /// Whether tasks start in a failure domain while the platform is down.
    pub fn starts_offline(&self, domain: &DomainId) -> StartsOffline {
        if self.is_word(Key::StartsOffline, &Place::domain(domain), "all-heard") {
            StartsOffline::AllHeard
        } else {
            StartsOffline::Never
        }
    }

    /// Longest deadline that a request of an organisation may ask for.
    pub fn deadline_max(&self, org: &OrgId) -> Millis {
        self.span(Key::RequestDeadlineMax, &Place::org(org))
    }

    /// Largest body of a request of an organisation.
    pub fn max_body(&self, org: &OrgId) -> Bytes {
        Bytes(self.number(Key::MaxBody, &Place::org(org)))
    }

    /// Retries of an organisation's requests in a failure domain, as a share of the first
    /// attempts.
    pub fn retry_budget(&self, org: &OrgId, domain: &DomainId) -> Percent {
        self.percent(Key::RetryBudget, &Place::org_domain(org, domain))
    }

    fn flag(&self, key: Key, at: &Place) -> bool {
        self.resolve(key, at) == Value::Flag(true)
    }

    fn is_word(&self, key: Key, at: &Place, word: &str) -> bool {
        matches!(self.resolve(key, at), Value::Word(w) if w == word)
    }

    fn span(&self, key: Key, at: &Place) -> Millis {
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
