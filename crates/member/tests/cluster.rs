//! Several VMs around a stand-in for the platform's key.

use std::collections::BTreeMap;

use base::DomainId;
use base::Millis;
use base::VmId;
use claim::ViewNumber;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

use member::Action;
use member::Input;
use member::Members;
use member::RosterVm;
use member::Settings;
use member::Swap;
use member::ViewRecord;

const STEP: Millis = Millis(250);

/// How the platform treats calls.
#[derive(Clone, Copy, PartialEq)]
enum Store {
    Down,
    Up,
}

struct Cluster {
    now: Millis,
    vms: BTreeMap<VmId, (Members, Pcg64Mcg)>,
    roster: BTreeMap<VmId, RosterVm>,
    store: BTreeMap<DomainId, (ViewRecord, u64)>,
    platform: Store,
    /// Lost pings out of a hundred.
    loss: u32,
    /// VMs that hear nobody and are heard by nobody.
    cut: Vec<VmId>,
    rng: Pcg64Mcg,
    calls: u64,
    /// Compare-and-swaps out of a hundred whose answer is lost.
    unsure: u32,
    /// When each view was made.
    made: BTreeMap<(DomainId, u64), Millis>,
    leases: BTreeMap<(VmId, DomainId), (ViewNumber, Millis)>,
}

fn id<T: std::str::FromStr<Err = base::IdError>>(text: &str) -> T {
    text.parse().unwrap()
}

fn homes() -> Vec<DomainId> {
    vec![id("north"), id("port")]
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        Cluster {
            now: Millis(1_000_000),
            vms: BTreeMap::new(),
            roster: BTreeMap::new(),
            store: BTreeMap::new(),
            platform: Store::Up,
            loss: 0,
            cut: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            calls: 0,
            unsure: 0,
            made: BTreeMap::new(),
            leases: BTreeMap::new(),
        }
    }

    fn four(seed: u64) -> Cluster {
        let mut cluster = Cluster::new(seed);
        for (vm, domain) in [
            ("n1", "north"),
            ("n2", "north"),
            ("p1", "port"),
            ("p2", "port"),
        ] {
            cluster.start(vm, domain);
        }
        cluster.run(Millis::from_secs(20));
        cluster
    }

    fn start(&mut self, vm: &str, domain: &str) {
        let vm: VmId = id(vm);
        let domain: DomainId = id(domain);
        let members = Members::new(vm.clone(), domain.clone(), homes(), Settings::default());
        let seed = self.rng.next_u64();
        let entry = (members, Pcg64Mcg::seed_from_u64(seed));
        self.vms.insert(vm.clone(), entry);
        let leaving = false;
        let listed = RosterVm {
            id: vm.clone(),
            domain,
            leaving,
        };
        self.roster.insert(vm, listed);
    }

    fn end(&mut self, vm: &str) {
        self.vms.remove(&id::<VmId>(vm));
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let roster: Vec<RosterVm> = self.roster.values().cloned().collect();
            let names: Vec<VmId> = self.vms.keys().cloned().collect();
            for vm in names {
                if self.platform == Store::Up && !self.cut.contains(&vm) {
                    self.step(&vm, Input::Roster(roster.clone()));
                    let asked = self.now;
                    self.step(&vm, Input::Platform { asked, ok: true });
                }
                self.step(&vm, Input::Tick);
                self.vms[&vm].0.check().unwrap();
            }
        }
    }

    fn step(&mut self, vm: &VmId, input: Input) {
        let now = self.now;
        let Some((members, rng)) = self.vms.get_mut(vm) else {
            return;
        };
        for action in members.step(now, input, rng) {
            self.act(vm, action);
        }
    }

    fn reaches(&mut self, vm: &VmId, other: &VmId) -> bool {
        let cut = self.cut.contains(vm) || self.cut.contains(other);
        !cut && self.rng.next_u32() % 100 >= self.loss
    }

    fn act(&mut self, vm: &VmId, action: Action) {
        let asked = self.now;
        let ok = self.platform == Store::Up && !self.cut.contains(vm);
        match action {
            Action::Ping(to) => {
                if let Some((other, _)) = self.vms.get(&to) {
                    let state = other.state(self.now);
                    if self.reaches(vm, &to) {
                        let from = to;
                        self.step(vm, Input::Heard { from, asked, state });
                    }
                }
            }
            Action::Fetch { from, domain } => {
                let record = self
                    .vms
                    .get(&from)
                    .and_then(|(m, _)| m.record(&domain).cloned());
                if let Some(record) = record.filter(|_| self.reaches(vm, &from)) {
                    self.step(vm, Input::Passed { domain, record });
                }
            }
            Action::Read(domain) if ok => {
                self.calls += 1;
                let found = self.store.get(&domain).cloned();
                let read = Input::Read {
                    domain,
                    asked,
                    found,
                };
                self.step(vm, read);
            }
            Action::Read(domain) => self.step(vm, Input::ReadFailed(domain)),
            Action::Propose {
                domain,
                version,
                record,
            } => {
                self.calls += 1;
                let current = self.store.get(&domain).map_or(0, |s| s.1);
                let mut swap = Swap::Unknown;
                if ok && current == version {
                    let version = version + 1;
                    let number = record.view.number.0;
                    self.made.insert((domain.clone(), number), self.now);
                    self.store.insert(domain.clone(), (record.clone(), version));
                    swap = Swap::Won { version };
                } else if ok {
                    swap = Swap::Lost;
                }
                if self.rng.next_u32() % 100 < self.unsure {
                    swap = Swap::Unknown;
                }
                let swapped = Input::Swapped {
                    domain,
                    asked,
                    record,
                    swap,
                };
                self.step(vm, swapped);
            }
            Action::Lease {
                domain,
                view,
                until,
            } => {
                let next = self.made.get(&(domain.clone(), view.0 + 1));
                let latest = next.map_or(Millis::MAX, |at| *at + Settings::default().lease);
                assert!(
                    until <= latest,
                    "{vm} has view {view} after its replacement"
                );
                self.leases.insert((vm.clone(), domain), (view, until));
            }
            Action::PeerDown(_) | Action::PeerUp(_) | Action::View { .. } => {}
        }
    }

    fn members(&self, domain: &str) -> Vec<String> {
        let view = &self.store[&id::<DomainId>(domain)].0.view;
        view.members.iter().map(|vm| vm.to_string()).collect()
    }

    fn number(&self, domain: &str) -> u64 {
        self.store[&id::<DomainId>(domain)].0.view.number.0
    }

    fn has_lease(&self, vm: &str, domain: &str) -> bool {
        let lease = self.leases.get(&(id(vm), id(domain)));
        lease.is_some_and(|l| l.0 .0 == self.number(domain) && self.now < l.1)
    }
}

#[test]
fn views_list_the_own_vms_of_each_domain() {
    let cluster = Cluster::four(1);
    assert_eq!(cluster.members("north"), ["n1", "n2"]);
    assert_eq!(cluster.members("port"), ["p1", "p2"]);
    assert!(cluster.has_lease("n1", "north") && cluster.has_lease("n2", "north"));
}

#[test]
fn a_replaced_vm_is_a_member_within_ten_seconds() {
    let mut cluster = Cluster::four(2);
    cluster.end("n2");
    cluster.roster.remove(&id::<VmId>("n2"));
    cluster.start("n3", "north");
    cluster.run(Millis::from_secs(10));
    assert_eq!(cluster.members("north"), ["n1", "n3"]);
}

#[test]
fn a_vm_of_another_domain_is_borrowed_for_the_second_copy() {
    let mut cluster = Cluster::four(3);
    cluster.end("n2");
    cluster.run(Millis::from_secs(20));
    let members = cluster.members("north");
    assert_eq!(members.len(), 2);
    assert!(members.contains(&"n1".to_string()) && members[1].starts_with('p'));
}

#[parameterized(
    slight = { 10 },
    heavy = { 30 },
)]
fn lossy_links_change_no_view(loss: u32) {
    let mut cluster = Cluster::four(4);
    let before = (cluster.number("north"), cluster.number("port"));
    cluster.loss = loss;
    cluster.run(Millis::from_secs(600));
    assert_eq!((cluster.number("north"), cluster.number("port")), before);
}

#[test]
fn leases_last_through_an_outage_of_the_platform() {
    let mut cluster = Cluster::four(5);
    cluster.platform = Store::Down;
    cluster.run(Millis::from_secs(600));
    assert!(cluster.has_lease("n1", "north") && cluster.has_lease("p2", "port"));
}

#[test]
fn a_vm_that_is_cut_off_loses_its_lease() {
    let mut cluster = Cluster::four(6);
    cluster.cut = vec![id("n1")];
    cluster.run(Millis::from_secs(130));
    assert!(!cluster.has_lease("n1", "north"));
    assert!(!cluster.members("north").contains(&"n1".to_string()));
}

#[test]
fn a_lost_domain_is_taken_over() {
    let mut cluster = Cluster::four(7);
    cluster.end("n1");
    cluster.end("n2");
    cluster.run(Millis::from_secs(45));
    assert_eq!(cluster.members("north"), ["p1", "p2"]);
}

#[test]
fn all_vms_lost_at_once_are_replaced_after_the_lag() {
    let mut cluster = Cluster::four(8);
    for vm in ["n1", "n2", "p1", "p2"] {
        cluster.end(vm);
        cluster.roster.remove(&id::<VmId>(vm));
    }
    for (vm, domain) in [
        ("n3", "north"),
        ("n4", "north"),
        ("p3", "port"),
        ("p4", "port"),
    ] {
        cluster.start(vm, domain);
    }
    cluster.run(Millis::from_secs(400));
    assert_eq!(cluster.members("north"), ["n3", "n4"]);
    assert!(cluster.has_lease("n3", "north"));
}

#[test]
fn a_stopping_vm_leaves_the_view() {
    let mut cluster = Cluster::four(9);
    cluster.step(&id("n1"), Input::Stop);
    cluster.run(Millis::from_secs(10));
    assert!(!cluster.members("north").contains(&"n1".to_string()));
}

#[test]
fn proofs_cost_few_platform_calls() {
    let mut cluster = Cluster::four(10);
    let before = cluster.calls;
    cluster.run(Millis::from_secs(3600));
    let calls = cluster.calls - before;
    assert!(calls <= 2 * 3600 / 30, "{calls} calls in an hour");
}

#[parameterized(
    first = { 11 },
    second = { 12 },
    third = { 13 },
    fourth = { 14 },
)]
fn no_lease_outlives_the_replacement_of_its_view(seed: u64) {
    let mut cluster = Cluster::four(seed);
    cluster.unsure = 30;
    for round in 0..150 {
        let chance = cluster.rng.next_u32() % 8;
        let names: Vec<VmId> = cluster.vms.keys().cloned().collect();
        let vm = names[cluster.rng.next_u32() as usize % names.len()].clone();
        match chance {
            0 => cluster.platform = Store::Down,
            1 | 2 => cluster.platform = Store::Up,
            3 if cluster.cut.len() < 2 => cluster.cut.push(vm),
            4 => cluster.cut.clear(),
            5 if names.len() > 2 => {
                cluster.end(vm.as_str());
                cluster.roster.remove(&vm);
            }
            6 if names.len() < 6 => {
                let domain = homes()[round % 2].to_string();
                cluster.start(&format!("vm{round}"), &domain);
            }
            _ => cluster.loss = 10 * (cluster.rng.next_u32() % 4),
        }
        cluster.run(Millis::from_secs(20));
    }
    assert!(cluster.number("north") > 5, "too few views were made");
}
