//! Several membership state machines with a simulated platform and lossy links.

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
use member::CasResult;
use member::Input;
use member::ListedVm;
use member::Members;
use member::Settings;
use member::ViewRecord;

const STEP: Millis = Millis(250);

/// Whether the platform answers calls.
#[derive(Clone, Copy, PartialEq)]
enum StoreStatus {
    Down,
    Up,
}

struct Cluster {
    now: Millis,
    vms: BTreeMap<VmId, (Members, Pcg64Mcg)>,
    vm_list: BTreeMap<VmId, ListedVm>,
    store: BTreeMap<DomainId, (ViewRecord, u64)>,
    platform: StoreStatus,
    /// Percentage of lost pings.
    loss_percent: u32,
    /// VMs without any connection to other VMs or the platform.
    isolated: Vec<VmId>,
    rng: Pcg64Mcg,
    calls: u64,
    /// Percentage of compare-and-swaps whose answer is lost.
    unknown_percent: u32,
    /// When each view was written.
    view_times: BTreeMap<(DomainId, u64), Millis>,
    leases: BTreeMap<(VmId, DomainId), (ViewNumber, Millis)>,
}

fn parse<T: std::str::FromStr<Err = base::IdError>>(text: &str) -> T {
    text.parse().unwrap()
}

fn domains() -> Vec<DomainId> {
    vec![parse("north"), parse("port")]
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        Cluster {
            now: Millis(1_000_000),
            vms: BTreeMap::new(),
            vm_list: BTreeMap::new(),
            store: BTreeMap::new(),
            platform: StoreStatus::Up,
            loss_percent: 0,
            isolated: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            calls: 0,
            unknown_percent: 0,
            view_times: BTreeMap::new(),
            leases: BTreeMap::new(),
        }
    }

    fn four_vms(seed: u64) -> Cluster {
        let mut cluster = Cluster::new(seed);
        for (vm, domain) in [
            ("n1", "north"),
            ("n2", "north"),
            ("p1", "port"),
            ("p2", "port"),
        ] {
            cluster.start_vm(vm, domain);
        }
        cluster.run(Millis::from_secs(20));
        cluster
    }

    fn start_vm(&mut self, vm: &str, domain: &str) {
        let vm: VmId = parse(vm);
        let domain: DomainId = parse(domain);
        let members = Members::new(vm.clone(), domain.clone(), domains(), Settings::default());
        let seed = self.rng.next_u64();
        let entry = (members, Pcg64Mcg::seed_from_u64(seed));
        self.vms.insert(vm.clone(), entry);
        let leaving = false;
        let listed = ListedVm {
            id: vm.clone(),
            domain,
            leaving,
        };
        self.vm_list.insert(vm, listed);
    }

    fn end_vm(&mut self, vm: &str) {
        self.vms.remove(&parse::<VmId>(vm));
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let vm_list: Vec<ListedVm> = self.vm_list.values().cloned().collect();
            let names: Vec<VmId> = self.vms.keys().cloned().collect();
            for vm in names {
                if self.platform == StoreStatus::Up && !self.isolated.contains(&vm) {
                    self.step(&vm, Input::VmList(vm_list.clone()));
                    let asked = self.now;
                    self.step(&vm, Input::PlatformCall { asked, ok: true });
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
            self.apply_action(vm, action);
        }
    }

    fn reaches(&mut self, vm: &VmId, other: &VmId) -> bool {
        let isolated = self.isolated.contains(vm) || self.isolated.contains(other);
        !isolated && self.rng.next_u32() % 100 >= self.loss_percent
    }

    fn apply_action(&mut self, vm: &VmId, action: Action) {
        let asked = self.now;
        let ok = self.platform == StoreStatus::Up && !self.isolated.contains(vm);
        match action {
            Action::Ping(to) => {
                if let Some((other, _)) = self.vms.get(&to) {
                    let state = other.state(self.now);
                    if self.reaches(vm, &to) {
                        let from = to;
                        self.step(vm, Input::PingReply { from, asked, state });
                    }
                }
            }
            Action::Fetch { from, domain } => {
                let record = self
                    .vms
                    .get(&from)
                    .and_then(|(m, _)| m.record(&domain).cloned());
                if let Some(record) = record.filter(|_| self.reaches(vm, &from)) {
                    self.step(vm, Input::Fetched { domain, record });
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
                let mut result = CasResult::Unknown;
                if ok && current == version {
                    let version = version + 1;
                    let number = record.view.number.0;
                    self.view_times.insert((domain.clone(), number), self.now);
                    self.store.insert(domain.clone(), (record.clone(), version));
                    result = CasResult::Written { version };
                } else if ok {
                    result = CasResult::NotWritten;
                }
                if self.rng.next_u32() % 100 < self.unknown_percent {
                    result = CasResult::Unknown;
                }
                let proposed = Input::ProposeResult {
                    domain,
                    asked,
                    record,
                    result,
                };
                self.step(vm, proposed);
            }
            Action::Lease {
                domain,
                view,
                until,
            } => {
                let next = self.view_times.get(&(domain.clone(), view.0 + 1));
                let latest = next.map_or(Millis::MAX, |at| *at + Settings::default().lease);
                assert!(
                    until <= latest,
                    "{vm} holds a lease for view {view} beyond its replacement"
                );
                self.leases.insert((vm.clone(), domain), (view, until));
            }
            Action::PeerDown(_) | Action::PeerUp(_) | Action::View { .. } => {}
        }
    }

    fn members(&self, domain: &str) -> Vec<String> {
        let view = &self.store[&parse::<DomainId>(domain)].0.view;
        view.members.iter().map(|vm| vm.to_string()).collect()
    }

    fn number(&self, domain: &str) -> u64 {
        self.store[&parse::<DomainId>(domain)].0.view.number.0
    }

    fn has_lease(&self, vm: &str, domain: &str) -> bool {
        let lease = self.leases.get(&(parse(vm), parse(domain)));
        lease.is_some_and(|l| l.0 .0 == self.number(domain) && self.now < l.1)
    }
}

#[test]
fn each_view_lists_the_vms_of_its_domain() {
    let cluster = Cluster::four_vms(1);
    assert_eq!(cluster.members("north"), ["n1", "n2"]);
    assert_eq!(cluster.members("port"), ["p1", "p2"]);
    assert!(cluster.has_lease("n1", "north") && cluster.has_lease("n2", "north"));
}

#[test]
fn a_replaced_vm_is_a_member_within_ten_seconds() {
    let mut cluster = Cluster::four_vms(2);
    cluster.end_vm("n2");
    cluster.vm_list.remove(&parse::<VmId>("n2"));
    cluster.start_vm("n3", "north");
    cluster.run(Millis::from_secs(10));
    assert_eq!(cluster.members("north"), ["n1", "n3"]);
}

#[test]
fn a_vm_of_another_domain_becomes_the_second_member() {
    let mut cluster = Cluster::four_vms(3);
    cluster.end_vm("n2");
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
    let mut cluster = Cluster::four_vms(4);
    let before = (cluster.number("north"), cluster.number("port"));
    cluster.loss_percent = loss;
    cluster.run(Millis::from_secs(600));
    assert_eq!((cluster.number("north"), cluster.number("port")), before);
}

#[test]
fn leases_survive_a_platform_outage() {
    let mut cluster = Cluster::four_vms(5);
    cluster.platform = StoreStatus::Down;
    cluster.run(Millis::from_secs(600));
    assert!(cluster.has_lease("n1", "north") && cluster.has_lease("p2", "port"));
}

#[test]
fn an_isolated_vm_loses_its_lease() {
    let mut cluster = Cluster::four_vms(6);
    cluster.isolated = vec![parse("n1")];
    cluster.run(Millis::from_secs(130));
    assert!(!cluster.has_lease("n1", "north"));
    assert!(!cluster.members("north").contains(&"n1".to_string()));
}

#[test]
fn a_lost_domain_is_taken_over() {
    let mut cluster = Cluster::four_vms(7);
    cluster.end_vm("n1");
    cluster.end_vm("n2");
    cluster.run(Millis::from_secs(45));
    assert_eq!(cluster.members("north"), ["p1", "p2"]);
}

#[test]
fn all_vms_lost_at_once_are_replaced_after_the_list_lag() {
    let mut cluster = Cluster::four_vms(8);
    for vm in ["n1", "n2", "p1", "p2"] {
        cluster.end_vm(vm);
        cluster.vm_list.remove(&parse::<VmId>(vm));
    }
    for (vm, domain) in [
        ("n3", "north"),
        ("n4", "north"),
        ("p3", "port"),
        ("p4", "port"),
    ] {
        cluster.start_vm(vm, domain);
    }
    cluster.run(Millis::from_secs(400));
    assert_eq!(cluster.members("north"), ["n3", "n4"]);
    assert!(cluster.has_lease("n3", "north"));
}

#[test]
fn a_stopping_vm_leaves_the_view() {
    let mut cluster = Cluster::four_vms(9);
    cluster.step(&parse("n1"), Input::Stop);
    cluster.run(Millis::from_secs(10));
    assert!(!cluster.members("north").contains(&"n1".to_string()));
}

#[test]
fn proofs_cost_few_platform_calls() {
    let mut cluster = Cluster::four_vms(10);
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
    let mut cluster = Cluster::four_vms(seed);
    cluster.unknown_percent = 30;
    for round in 0..150 {
        let chance = cluster.rng.next_u32() % 8;
        let names: Vec<VmId> = cluster.vms.keys().cloned().collect();
        let vm = names[cluster.rng.next_u32() as usize % names.len()].clone();
        match chance {
            0 => cluster.platform = StoreStatus::Down,
            1 | 2 => cluster.platform = StoreStatus::Up,
            3 if cluster.isolated.len() < 2 => cluster.isolated.push(vm),
            4 => cluster.isolated.clear(),
            5 if names.len() > 2 => {
                cluster.end_vm(vm.as_str());
                cluster.vm_list.remove(&vm);
            }
            6 if names.len() < 6 => {
                let domain = domains()[round % 2].to_string();
                cluster.start_vm(&format!("vm{round}"), &domain);
            }
            _ => cluster.loss_percent = 10 * (cluster.rng.next_u32() % 4),
        }
        cluster.run(Millis::from_secs(20));
    }
    assert!(cluster.number("north") > 5, "too few views were made");
}
