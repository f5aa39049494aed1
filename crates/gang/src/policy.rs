//! Settings of the planner: organisations, guarantees and limits.

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

/// A number of gangs of one shape that an organisation may run in a failure domain at any time,
/// by stopping jobs on borrowed capacity if necessary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Organisation that holds the guarantee.
    pub org: OrgId,
    /// Failure domain in which it holds.
    pub domain: DomainId,
    /// Shape of each gang. If cores or memory are 0, a task gets the share of its worker's that
    /// corresponds to its share of the worker's accelerators.
    pub shape: Shape,
    /// Number of gangs that may run at the same time.
    pub count: u32,
}

/// Weight and quota of an organisation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrgPolicy {
    /// Weight for borrowed capacity relative to other organisations, at least 1.
    pub weight: u32,
    /// Most accelerators in use at once, guaranteed and borrowed; none means no limit.
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

/// What happens to running jobs when their failure domain is taken out of service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Departure {
    /// They run to their end.
    #[default]
    Finish,
    /// Stoppable jobs are checkpointed if they can be, stopped and queued again.
    Move,
}

/// Settings of the planner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Weight and quota by organisation. Jobs of other organisations are refused.
    pub orgs: BTreeMap<OrgId, OrgPolicy>,
    /// Guarantees of all organisations. If they cannot all be met, an assignment in this order
    /// is tried as well.
    pub guarantees: Vec<Guarantee>,
    /// What happens to running jobs when their failure domain is taken out of service.
    pub departure: Departure,
    /// How long other jobs may backfill the capacity reserved for a waiting gang, counted from
    /// its first reservation.
    pub bypass: Millis,
    /// Time for a checkpoint and stop. After it, the stop is repeated without a checkpoint; 0
    /// means never.
    pub reclaim: Millis,
    /// Most accelerators isolated at once, as a percentage of all.
    pub isolation: u32,
    /// Distinct jobs that fail in a row on a worker before it is isolated.
    pub strikes: u32,
    /// Distinct healthy workers on which a job fails before it is given up.
    pub failures: u32,
    /// Time from the isolation of a worker to its first probe, doubled after each failed probe.
    pub probe: Millis,
    /// Time between two starts on borrowed capacity in a failure domain that is back in
    /// service, while `ramp` lasts.
    pub pace: Millis,
    /// How long starts are paced after a failure domain is back in service.
    pub ramp: Millis,
    /// Whether an urgent job may stop jobs on borrowed capacity that are not urgent.
    pub preempt: bool,
    /// Run time that a job loses by a checkpoint, stop and start, on top of the time since its
    /// last checkpoint.
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
    /// Checks that need no list of workers; all findings are returned together.
    /// [`crate::assign_guarantees`] checks the guarantees against the workers.
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

    /// Sum of the accelerators guaranteed to an organisation, over all failure domains.
    pub fn guaranteed(&self, org: &OrgId) -> Accels {
        let own = self.guarantees.iter().filter(|g| g.org == *org);
        own.map(|g| Accels(g.count.saturating_mul(g.shape.tasks * g.shape.accels.0)))
            .sum()
    }
}

/// Checks the limits that hold on every site; the error says which one is broken.
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
