//! Values that the other services need, derived from the settings tree.

use std::collections::BTreeMap;

use base::DomainId;
use base::Findings;
use base::Map;
use base::Millis;
use base::OrgId;
use base::WorkerSpec;
use conf::tree::OnOut;
use conf::tree::Tree;
use entry::OrgLimits;
use gang::assign_guarantees;
use gang::Departure;
use gang::Guarantee;
use gang::OrgPolicy;
use gang::Policy;
use plat::VmList;

use crate::vms::worker_spec;

/// Settings of the planner of a failure domain.
pub fn planner_policy(tree: &Tree, domain: &DomainId) -> Policy {
    let org = |org: &OrgId| {
        let policy = OrgPolicy {
            weight: tree.weight(org, domain).0,
            quota: Some(tree.quota(org, domain)),
        };
        (org.clone(), policy)
    };
    let guarantees = tree.guarantees(domain).into_iter();
    let pace = tree.return_pace(domain).max(1);
    Policy {
        orgs: tree.orgs().map(org).collect::<BTreeMap<_, _>>(),
        guarantees: guarantees
            .map(|(org, shape, count)| Guarantee {
                org,
                domain: domain.clone(),
                shape,
                count,
            })
            .collect(),
        departure: match tree.on_out(domain) {
            OnOut::Finish => Departure::Finish,
            OnOut::Move => Departure::Move,
        },
        bypass: tree.bypass_bound(domain),
        isolation: u32::from(tree.isolate_share(domain).0),
        pace: Millis(1_000 / u64::from(pace)),
        ..Policy::default()
    }
}

/// Limits of the organisations' requests in a failure domain.
pub fn org_bounds(tree: &Tree, domain: &DomainId) -> Map<OrgId, OrgLimits> {
    let bounds = |org: &OrgId| OrgLimits {
        weight: f64::from(tree.fair_share(org, domain).0),
        max_deadline: tree.deadline_max(org),
        max_body: tree.max_body(org),
        retry_share: f64::from(tree.retry_budget(org, domain).0) / 100.0,
    };
    tree.orgs().map(|org| (org.clone(), bounds(org))).collect()
}

/// Checks that the workers can meet all guarantees at once. Accepts any guarantees while no worker
/// is known.
pub fn check_guarantees(tree: &Tree, vms: &VmList) -> Result<(), Findings> {
    let workers: Vec<WorkerSpec> = vms.workers.iter().map(worker_spec).collect();
    if workers.is_empty() {
        return Ok(());
    }
    let all = tree.all_guarantees().into_iter();
    let guarantees: Vec<Guarantee> = all
        .map(|(org, domain, shape, count)| Guarantee {
            org,
            domain,
            shape,
            count,
        })
        .collect();
    assign_guarantees(&workers, &guarantees).map(drop)
}
