//! Checks of the policy before it is accepted, and the choice of a failure domain.

mod common;

use base::Accels;
use base::OrgId;
use base::Spread;
use common::*;
use gang::assign_guarantees;
use gang::pick_domain;
use gang::DomainOffer;
use yare::parameterized;

#[parameterized(
    exactly = { 2, 8, Spread::Rack, 2, 0 },
    one_too_many = { 2, 8, Spread::Rack, 3, 1 },
    halves = { 1, 4, Spread::Domain, 8, 0 },
    rack_too_small = { 3, 8, Spread::Rack, 1, 1 },
    across_racks = { 3, 8, Spread::Domain, 1, 0 },
)]
fn assignment_or_findings(tasks: u32, accels: u32, spread: Spread, count: u32, missing: u32) {
    let workers: Vec<_> = (0..4).map(|i| worker("x", i / 2, i % 2)).collect();
    let guarantees = [guarantee("a", "x", shape(tasks, accels, spread), count)];
    match assign_guarantees(&workers, &guarantees) {
        Ok(assignment) => assert_eq!((assignment.gangs.len() as u32, missing), (count, 0)),
        Err(found) => {
            let text = found.to_string();
            assert!(
                text.contains(&format!("short of {missing} of {count}")),
                "{text}"
            );
        }
    }
}

#[test]
fn policy_check_reports_all_problems() {
    let mut policy = policy(vec![guarantee("zz", "x", shape(0, 1, Spread::Domain), 1)]);
    policy.isolation = 101;
    policy.strikes = 0;
    assert_eq!(policy.check().unwrap_err().len(), 4);
}

#[test]
fn guarantees_over_quota_are_reported() {
    let mut policy = policy(vec![guarantee("a", "x", shape(2, 8, Spread::Rack), 1)]);
    let org: OrgId = "a".parse().unwrap();
    policy.orgs.get_mut(&org).unwrap().quota = Some(Accels(8));
    assert_eq!(policy.check().unwrap_err().len(), 1);
}

fn offer(domain: &str, blocks: u32, waiting: u32, unused: bool) -> DomainOffer {
    let unused_guarantee = ("a".parse().unwrap(), Accels(8), 2);
    DomainOffer {
        domain: domain.parse().unwrap(),
        out: false,
        total: Accels(96),
        free_blocks: vec![(Accels(8), blocks)],
        unused_guarantees: unused.then_some(unused_guarantee).into_iter().collect(),
        waiting: Accels(waiting),
    }
}

#[parameterized(
    guarantee_first = { offer("p", 9, 0, false), offer("q", 0, 0, true), "q" },
    tightest_fit = { offer("p", 9, 0, false), offer("q", 3, 0, false), "q" },
    shortest_queue = { offer("p", 0, 32, false), offer("q", 0, 8, false), "q" },
    not_out = { DomainOffer { out: true, ..offer("p", 9, 0, true) }, offer("q", 0, 9, false), "q" },
)]
fn domain_is_chosen(one: DomainOffer, two: DomainOffer, want: &str) {
    let spec = job("j", "a", shape(2, 8, Spread::Rack));
    assert_eq!(pick_domain(&spec, &[one, two]), Some(want.parse().unwrap()));
}
