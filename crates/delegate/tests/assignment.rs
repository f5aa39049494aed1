//! Which delegate calls which worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::DomainId;
use base::Millis;
use base::VmId;
use base::WorkerId;
use delegate::Assignment;
use delegate::Delegate;
use delegate::Route;
use delegate::Sizing;
use proptest::prelude::*;

const SIZING: Sizing = Sizing {
    min_workers: 500,
    workers_each: 64,
};

const DOMAINS: usize = 6;
const NOW: Millis = Millis(50_000);

fn domain(num: usize) -> DomainId {
    format!("d{num}").parse().expect("a domain")
}

fn vm(num: usize) -> VmId {
    format!("e{num}").parse().expect("a VM")
}

fn worker(num: usize) -> (WorkerId, DomainId) {
    let id = format!("w{num}").parse().expect("a worker");
    (id, domain(num % DOMAINS))
}

/// Daemons on 24 VMs of each domain, three of them strong.
fn daemons() -> Vec<Delegate> {
    let daemon = |num: usize| Delegate {
        vm: vm(num),
        domain: domain(num % DOMAINS),
        address: "127.0.0.1:1".parse().expect("an address"),
        strength: if num / DOMAINS < 3 { 1600.0 } else { 400.0 },
    };
    (0..24 * DOMAINS).map(daemon).collect()
}

fn counts(workers: usize) -> BTreeMap<DomainId, usize> {
    let mut counts = BTreeMap::new();
    for num in 0..workers {
        *counts.entry(worker(num).1).or_default() += 1;
    }
    counts
}

fn linked(workers: usize) -> Assignment {
    let mut assignment = Assignment::new(SIZING);
    assignment.choose(&counts(workers), &daemons(), NOW);
    for (vm, _) in assignment.wanted() {
        assignment.link_up(&vm);
    }
    assignment
}

fn routes(assignment: &Assignment, workers: usize, now: Millis) -> Vec<Route> {
    let route = |num| {
        let (id, domain) = worker(num);
        assignment.route(&id, &domain, now)
    };
    (0..workers).map(route).collect()
}

#[test]
fn a_small_site_uses_no_delegates() {
    let assignment = linked(499);
    assert!(assignment.wanted().is_empty());
    assert!(routes(&assignment, 499, NOW)
        .iter()
        .all(|r| *r == Route::Direct));
}

/// Load pattern: 1,100 workers, as on the large site.
#[test]
fn the_workers_of_a_large_site_are_spread_over_strong_daemons_of_their_domain() {
    let assignment = linked(1_100);
    let mut load: BTreeMap<VmId, usize> = BTreeMap::new();
    for (num, route) in routes(&assignment, 1_100, NOW).into_iter().enumerate() {
        let Route::Via(vm) = route else {
            panic!("worker {num} has no delegate");
        };
        let daemon = daemons().into_iter().find(|d| d.vm == vm);
        let daemon = daemon.expect("a known daemon");
        assert_eq!(daemon.domain, worker(num).1);
        assert_eq!(daemon.strength, 1600.0);
        *load.entry(vm).or_default() += 1;
    }
    assert_eq!(load.len(), 18);
    assert!(load.values().all(|n| *n < 128), "{load:?}");
}

#[test]
fn only_the_workers_of_a_lost_delegate_move_and_they_return() {
    let mut assignment = linked(1_100);
    let before = routes(&assignment, 1_100, NOW);
    let lost = assignment.wanted()[0].0.clone();
    assignment.link_down(&lost, NOW);
    let during = routes(&assignment, 1_100, NOW);
    for (old, new) in before.iter().zip(&during) {
        let moved = *old == Route::Via(lost.clone());
        assert_eq!(old != new, moved);
        assert!(*new != Route::Via(lost.clone()) && *new != Route::Direct);
    }
    assignment.link_up(&lost);
    assert_eq!(
        routes(&assignment, 1_100, NOW),
        during,
        "it is still suspended"
    );
    assert_eq!(routes(&assignment, 1_100, NOW + Millis(10_000)), before);
}

#[test]
fn a_domain_without_delegates_is_served_from_others() {
    let known: Vec<Delegate> = daemons()
        .into_iter()
        .filter(|d| d.domain != domain(2))
        .collect();
    let mut assignment = Assignment::new(SIZING);
    assignment.choose(&counts(1_100), &known, NOW);
    for (vm, _) in assignment.wanted() {
        assignment.link_up(&vm);
    }
    assert!(routes(&assignment, 1_100, NOW)
        .iter()
        .all(|r| *r != Route::Direct));
}

/// A delegate lives but cannot reach a worker that the coordinator may reach.
#[test]
fn a_worker_out_of_its_delegates_reach_is_called_directly_for_a_while() {
    let mut assignment = linked(1_100);
    let (id, domain) = worker(7);
    let route = assignment.route(&id, &domain, NOW);
    assignment.call_failed(&id, &route, NOW);
    assert_eq!(assignment.route(&id, &domain, NOW), Route::Direct);
    assignment.call_failed(&id, &Route::Direct, NOW);
    assert_eq!(assignment.route(&id, &domain, NOW), route);
    assignment.call_failed(&id, &route, NOW);
    assert_eq!(
        assignment.route(&id, &domain, NOW + Millis(60_000)),
        route,
        "the delegate is tried again"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Choose(usize, usize),
    Down(usize),
    Suspend(usize),
    Up(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..24 * DOMAINS;
    let step = prop_oneof![
        (0..1_200usize, vm.clone()).prop_map(|(w, d)| Step::Choose(w, d)),
        vm.clone().prop_map(Step::Down),
        vm.clone().prop_map(Step::Suspend),
        vm.prop_map(Step::Up),
        (0..4_000u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens, calls only go through delegates that are chosen and linked, and a worker
    /// is called directly only if no delegate is usable.
    #[test]
    fn every_worker_has_one_live_route(steps in steps()) {
        let mut assignment = Assignment::new(SIZING);
        let mut linked: BTreeSet<VmId> = BTreeSet::new();
        let mut now = NOW;
        for step in steps {
            match step {
                Step::Choose(workers, known) => {
                    assignment.choose(&counts(workers), &daemons()[..known], now);
                }
                Step::Down(num) => {
                    linked.remove(&vm(num));
                    assignment.link_down(&vm(num), now);
                }
                Step::Suspend(num) => assignment.suspend(&vm(num), now),
                Step::Up(num) => {
                    linked.insert(vm(num));
                    assignment.link_up(&vm(num));
                }
                Step::Wait(span) => now += Millis(span),
            }
            let wanted: BTreeSet<VmId> = assignment.wanted().into_iter().map(|w| w.0).collect();
            let usable: BTreeSet<VmId> = assignment.usable(now).map(|d| d.vm.clone()).collect();
            prop_assert!(usable.is_subset(&wanted) && usable.is_subset(&linked));
            for num in 0..DOMAINS * 2 {
                let (id, domain) = worker(num);
                match assignment.route(&id, &domain, now) {
                    Route::Direct => prop_assert!(usable.is_empty()),
                    Route::Via(vm) => prop_assert!(usable.contains(&vm)),
                }
            }
        }
    }
}
