//! Limits of organisations on the simulated site: configurations, and checks of what runs.

use std::collections::BTreeSet;

use base::OrgId;
use batch::Catalog;
use batch::Org;
use batch::OrgLimit;
use batch::Resources;
use batch::RunNumber;
use batch::TaskId;
use batch::Weight;

use super::catalog;
use super::site::Site;

/// The configuration with this version and a limit on the accelerators of each organisation.
pub fn limited(version: u64, accels: u64) -> Catalog {
    let mut orgs = catalog().orgs;
    for org in &mut orgs {
        org.limit = OrgLimit(Resources {
            accels,
            ..Resources::default()
        });
    }
    let plain = catalog();
    Catalog::new(version, plain.queues, plain.pools, orgs, plain.limits)
}

/// The configuration with this version and these organisations, without limits; `None` stands for no
/// weight.
pub fn weighted(version: u64, weights: &[(&str, Option<f64>)]) -> Catalog {
    let plain = catalog();
    let orgs = weights.iter().map(|(name, weight)| Org {
        name: org(name),
        keys: Vec::new(),
        guarantee: 0,
        limit: OrgLimit::default(),
        weight: weight.map(|w| Weight::try_from(w).expect("a weight")),
    });
    Catalog::new(
        version,
        plain.queues,
        plain.pools,
        orgs.collect(),
        plain.limits,
    )
}

pub fn org(name: &str) -> OrgId {
    name.parse().expect("an organisation")
}

impl Site {
    /// What runs of an organisation, on all workers that are up.
    pub fn running_of(&self, org: &OrgId) -> Resources {
        let mut sum = Resources::default();
        for task in self
            .workers
            .iter()
            .filter(|w| w.up)
            .flat_map(|w| w.runs.keys())
        {
            let submitted = &self.stored[&task.job].0;
            if submitted.org.as_ref() == Some(org) {
                sum += submitted.work.steps[usize::from(task.step)].need;
            }
        }
        sum
    }

    /// What may be running of an organisation, as the coordinator counts it.
    pub fn counted(&self, org: &OrgId) -> Resources {
        let states = self.scheduler.org_states();
        let found = states.into_iter().find(|s| s.org == *org);
        found.map(|s| s.used).unwrap_or_default()
    }

    /// All that runs, by task and run number.
    pub fn all_runs(&self) -> BTreeSet<(TaskId, RunNumber)> {
        let runs = self.workers.iter().filter(|w| w.up).flat_map(|w| &w.runs);
        runs.map(|(task, run)| (task.clone(), run.run)).collect()
    }

    /// Checks that the coordinator counts at least what runs, and its open runs exactly.
    pub fn check_counted(&self, is_exact: bool) {
        let sums = self.scheduler.recount();
        for state in self.scheduler.org_states() {
            let (runs, counted) = (self.running_of(&state.org), state.used);
            assert!(
                counted.fits(&runs),
                "at {} {} runs {runs}, counted are {counted}",
                self.now,
                state.org
            );
            let open = sums.get(&state.org).copied().unwrap_or_default();
            assert!(
                if is_exact {
                    counted == open
                } else {
                    counted.fits(&open)
                },
                "at {} {} has {open} open, counted are {counted}",
                self.now,
                state.org
            );
        }
    }
}
