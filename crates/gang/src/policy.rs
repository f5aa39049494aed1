//! Settings of the planner: organisations, guarantees and bounds.

use std::collections::BTreeMap;

use base::Accels;
use base::DomainId;
use base::Findings;
use base::Millis;
use base::OrgId;
use base::Shape;
use serde::Deserialize;
use serde::Serialize;

use crate::blocks::MAX_ACCELS;

/// Most tasks of one gang.
pub const MAX_TASKS: u32 = 1024;

/// A number of gangs of one shape that an organisation can always claim in a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// The organisation.
    pub org: OrgId,
    /// The failure domain.
    pub domain: DomainId,
    /// The shape. Without cores or memory, each task has the share of its worker's that its
    /// accelerators make up.
    pub shape: Shape,
    /// The number of gangs.
    pub count: u32,
}

/// Share and quota of an organisation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrgPolicy {
    /// Weight in the shares of borrowed capacity, at least 1.
    pub weight: u32,
    /// Most accelerators in use at once.
    pub quota: Option<Accels>,
}

impl Default for OrgPolicy {
    fn default() -> OrgPolicy {
        OrgPolicy {
            weight: 1,
            quota: None,
        }
    }
}

/// What becomes of running jobs when their failure domain is taken out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Departure {
    /// They finish where they are.
    #[default]
    Finish,
    /// Stoppable jobs are checkpointed, stopped and queued again.
    Move,
}

/// Settings of the planner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Known organisations.
    pub orgs: BTreeMap<OrgId, OrgPolicy>,
    /// Guarantees; their order is the order in which capacity is given when it is short.
    pub guarantees: Vec<Guarantee>,
    /// What becomes of running jobs when their failure domain is taken out.
    pub departure: Departure,
    /// How long others may pass a waiting gang on the capacity reserved for it.
    pub bypass: Millis,
    /// Time for a checkpoint and stop; after it the stop is repeated without a checkpoint.
    pub reclaim: Millis,
    /// Most accelerators isolated at once, in percent of all.
    pub isolation: u32,
    /// Distinct jobs in a row that fail on a worker before it is isolated.
    pub strikes: u32,
    /// Distinct healthy workers on which a job fails before it is given up.
    pub failures: u32,
    /// Time from an isolation to the first probe; doubled after each failed one.
    pub probe: Millis,
    /// Time between two starts of borrowing jobs in a failure domain that has just returned.
    pub pace: Millis,
    /// How long starts are paced after a failure domain's return.
    pub ramp: Millis,
    /// Whether an urgent job may stop borrowing jobs that are not urgent.
    pub preempt: bool,
    /// Work lost by one checkpoint, stop and start, on top of the work since the checkpoint.
    pub restart: Millis,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            orgs: BTreeMap::new(),
            guarantees: Vec::new(),
            departure: Departure::Finish,
            bypass: Millis::from_secs(600),
            reclaim: Millis::from_secs(30),
            isolation: 10,
            strikes: 3,
            failures: 3,
            probe: Millis::from_secs(300),
            pace: Millis(100),
            ramp: Millis::from_secs(60),
            preempt: true,
            restart: Millis::from_secs(30),
        }
    }
}

impl Policy {
    /// Problems that need no knowledge of the workers. See also [`crate::find_witness`].
    pub fn check(&self) -> Result<(), Findings> {
        let mut found = Findings::new();
        self.check_bounds(&mut found);
        for (i, guarantee) in self.guarantees.iter().enumerate() {
            self.check_guarantee(i, guarantee, &mut found);
        }
        for (org, policy) in &self.orgs {
            self.check_org(org, policy, &mut found);
        }
        found.into_result(())
    }

    fn check_bounds(&self, found: &mut Findings) {
        if self.isolation > 100 {
            found.add("isolation", "is over 100 percent", "use 0 to 100");
        }
        if self.strikes == 0 {
            found.add("strikes", "is zero", "use at least 1");
        }
        if self.failures == 0 {
            found.add("failures", "is zero", "use at least 1");
        }
    }

    fn check_guarantee(&self, i: usize, guarantee: &Guarantee, found: &mut Findings) {
        let place = format!("guarantees[{i}]");
        if !self.orgs.contains_key(&guarantee.org) {
            let problem = format!("organisation {} is not known", guarantee.org);
            found.add(&place, problem, "add it to the organisations");
        }
        if let Err(problem) = check_shape(&guarantee.shape) {
            found.add(&place, problem, "change the shape");
        }
    }

    fn check_org(&self, org: &OrgId, policy: &OrgPolicy, found: &mut Findings) {
        let place = format!("orgs.{org}");
        if policy.weight == 0 {
            found.add(&place, "weight is zero", "use at least 1");
        }
        let Some(quota) = policy.quota else { return };
        let sum = self.guaranteed(org);
        if sum > quota {
            let problem = format!("guarantees of {sum} accelerators exceed the quota of {quota}");
            found.add(&place, problem, "raise the quota or lower the guarantees");
        }
    }

    /// Accelerators of all guarantees of an organisation.
    pub fn guaranteed(&self, org: &OrgId) -> Accels {
        let own = self.guarantees.iter().filter(|g| g.org == *org);
        own.map(|g| Accels(g.count.saturating_mul(g.shape.tasks * g.shape.accels.0)))
            .sum()
    }
}

/// Why a shape cannot be placed on any site.
pub fn check_shape(shape: &Shape) -> Result<(), &'static str> {
    if shape.tasks == 0 {
        return Err("the gang has no task");
    }
    if shape.tasks > MAX_TASKS {
        return Err("the gang has more than 1024 tasks");
    }
    if shape.accels.0 > MAX_ACCELS {
        return Err("a task has more than 64 accelerators");
    }
    Ok(())
}
