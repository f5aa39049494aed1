//! What may be running of each organisation.

use base::Map;
use base::OrgId;
use base::WorkerId;

use super::OrgLimit;
use super::Weight;
use crate::spec::Resources;

/// Sums of what may be running of each organisation: each open run, from its planning until it is
/// known to have ended, and each run that a worker reports but that is not wanted there. Best-effort
/// tasks count with all that they need.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    used: Map<OrgId, Resources>,
    /// Unwanted runs by worker, each with its organisation and need.
    strays: Map<WorkerId, Vec<(OrgId, Resources)>>,
}

impl Ledger {
    /// What may be running of an organisation.
    pub fn used(&self, org: &OrgId) -> Resources {
        self.used.get(org).copied().unwrap_or_default()
    }

    /// Adds a run of a task with this need.
    pub fn add(&mut self, org: &OrgId, need: &Resources) {
        match self.used.get_mut(org) {
            Some(used) => *used += *need,
            None => drop(self.used.insert(org.clone(), *need)),
        }
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, org: &OrgId, need: &Resources) {
        if let Some(used) = self.used.get_mut(org) {
            *used -= *need;
        }
    }

    /// Replaces the unwanted runs on a worker by those of its latest report.
    pub fn set_strays(&mut self, worker: &WorkerId, strays: Vec<(OrgId, Resources)>) {
        for (org, need) in self.strays.remove(worker).unwrap_or_default() {
            self.remove(&org, &need);
        }
        if strays.is_empty() {
            return;
        }
        for (org, need) in &strays {
            self.add(org, need);
        }
        self.strays.insert(worker.clone(), strays);
    }

    /// The workers with unwanted runs.
    pub fn stray_workers(&self) -> Vec<WorkerId> {
        self.strays.keys().cloned().collect()
    }
}

/// An organisation as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct OrgState {
    /// The organisation.
    pub org: OrgId,
    /// What it may have running; zero is no limit.
    pub limit: OrgLimit,
    /// What may be running of it.
    pub used: Resources,
    /// Number of its steps that wait because of its limit.
    pub held: usize,
    /// Number of its steps that wait because it has used its share up.
    pub deferred: usize,
    /// Number of its steps that wait for room on the workers.
    pub crowded: usize,
    /// Its weight; `None` if it has none configured.
    pub weight: Option<Weight>,
    /// The part of the capacity that it may use before the others; `None` while there is enough for
    /// all.
    pub share: Option<f64>,
}
