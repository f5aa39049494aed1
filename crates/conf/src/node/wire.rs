//! Fields of the configuration file as written, and their validation.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use base::Bytes;
use base::DomainId;
use base::Findings;
use base::Millis;
use base::Rate;

use crate::node::Addresses;
use crate::node::Endpoint;
use crate::node::Limits;
use crate::node::Log;
use crate::node::Node;
use crate::node::Platform;
use crate::node::Service;
use crate::node::Stop;
use crate::node::Timing;
use crate::source::Section;
use crate::source::Spot;

const ADDRESS_REMEDY: &str = "write an IP number and a port, such as \"127.0.0.1:7001\"";
const DOMAIN_REMEDY: &str = "write the VM's failure domain, such as \"north-1\"";
const ENDPOINT_REMEDY: &str = "write an address such as \"http://127.0.0.1:2379\"";
const VM_REMEDY: &str = "use 1 to 128 letters, digits or '-_.~:/', or leave it out";

/// Default of `platform.calls`.
const CALLS: u64 = 20;
const DOMAINS_REMEDY: &str = "write the names of all failure domains, such as \"north-1\"";

/// Largest number of entries in a list of the file.
const MAX_LIST: usize = 64;

/// Default and limits of a numeric field.
struct Range {
    default: u64,
    min: u64,
    max: u64,
}

const fn range(default: u64, min: u64, max: u64) -> Range {
    Range { default, min, max }
}

const SLOTS: Range = range(8, 1, 4096);
const CONNECTIONS: Range = range(64, 1, 65_536);
const CALL_RATE: Range = range(CALLS, 1, 10_000);
const STOP: Range = range(30_000, 0, 3_600_000);
const LEASE: Range = range(2_000, 100, 60_000);
const HEARTBEAT: Range = range(250, 10, 10_000);
const FRESHNESS: Range = range(1_000, 100, 60_000);
const POLL: Range = range(500, 50, 60_000);
const TASK: Range = range(10_000, 500, 600_000);
const BODY: Range = range(1 << 20, 1 << 10, 1 << 28);
const REQUESTS: Range = range(4_096, 1, 1 << 20);

/// Fields of the file, each with its location.
pub struct NodeWire {
    place: String,
    vm: Option<Spot<String>>,
    domain: Option<Spot<String>>,
    domains: Vec<Spot<String>>,
    addresses: AddressesWire,
    platform: PlatformWire,
    peers: Vec<Spot<String>>,
    service: ServiceWire,
    log: LogWire,
    stop: StopWire,
    timing: TimingWire,
    limits: LimitsWire,
}

struct AddressesWire {
    callers: Option<Spot<String>>,
    operators: Option<Spot<String>>,
    peers: Option<Spot<String>>,
}

struct PlatformWire {
    store: Vec<Spot<String>>,
    vms: Option<Spot<String>>,
    calls: Option<Spot<u64>>,
}

struct ServiceWire {
    slots: Option<Spot<u64>>,
    connections: Option<Spot<u64>>,
}

struct LogWire {
    debug: Option<Spot<bool>>,
}

struct StopWire {
    bound: Option<Spot<u64>>,
}

struct TimingWire {
    lease: Option<Spot<u64>>,
    heartbeat: Option<Spot<u64>>,
    freshness: Option<Spot<u64>>,
    poll: Option<Spot<u64>>,
    task: Option<Spot<u64>>,
}

struct LimitsWire {
    body: Option<Spot<u64>>,
    requests: Option<Spot<u64>>,
}

macro_rules! read {
    ($top:ident, $name:ident => $wire:ident { $($field:ident: $kind:ident $(($remedy:ident))?,)* }) => {{
        let mut section = $top.section(stringify!($name));
        let wire = $wire {
            $($field: section.$kind(stringify!($field) $(, $remedy)?),)*
        };
        section.close();
        wire
    }};
}

impl NodeWire {
    /// Reads all fields. A field of the wrong type is reported as a finding and left out.
    pub fn read(mut top: Section<'_, '_>) -> NodeWire {
        let wire = NodeWire {
            place: top.place(),
            vm: top.text("vm"),
            domain: top.need("domain", DOMAIN_REMEDY),
            domains: top.texts("domains"),
            addresses: read!(top, addresses => AddressesWire {
                callers: need(ADDRESS_REMEDY),
                operators: need(ADDRESS_REMEDY),
                peers: need(ADDRESS_REMEDY),
            }),
            platform: read!(top, platform => PlatformWire {
                store: need_list(ENDPOINT_REMEDY),
                vms: need(ENDPOINT_REMEDY),
                calls: number,
            }),
            peers: top.texts("peers"),
            service: read!(top, service => ServiceWire {
                slots: number,
                connections: number,
            }),
            log: read!(top, log => LogWire {
                debug: flag,
            }),
            stop: read!(top, stop => StopWire {
                bound: number,
            }),
            timing: read!(top, timing => TimingWire {
                lease: number,
                heartbeat: number,
                freshness: number,
                poll: number,
                task: number,
            }),
            limits: read!(top, limits => LimitsWire {
                body: number,
                requests: number,
            }),
        };
        top.close();
        wire
    }
}

impl TryFrom<NodeWire> for Node {
    type Error = Findings;

    fn try_from(wire: NodeWire) -> Result<Node, Findings> {
        let mut check = Check {
            top: wire.place.clone(),
            found: Findings::new(),
        };
        let node = convert(&wire, &mut check);
        match node {
            Some(node) => check.found.into_result(node),
            None => Err(check.found),
        }
    }
}

/// Every failure domain, sorted. Reports a finding if the VM's own domain is not listed; an
/// absent list stands for the own domain alone.
fn domains(wire: &NodeWire, own: Option<&DomainId>, check: &mut Check) -> Vec<DomainId> {
    let mut domains: Vec<DomainId> = check.list("domains", &wire.domains, DOMAINS_REMEDY);
    domains.sort();
    domains.dedup();
    let Some(own) = own else { return domains };
    if domains.is_empty() {
        return vec![own.clone()];
    }
    if !domains.contains(own) {
        let place = wire.domains[0].place.as_str();
        let problem = format!("\"domains\" does not list {own}");
        check
            .found
            .add(place, problem, "list every failure domain of the site");
    }
    domains
}

/// Validates the fields; `None` if a required one is missing or invalid.
fn convert(wire: &NodeWire, check: &mut Check) -> Option<Node> {
    let vm = check.parse(&wire.vm, VM_REMEDY);
    let domain = check.parse(&wire.domain, DOMAIN_REMEDY);
    let domains = domains(wire, domain.as_ref(), check);
    let addresses = addresses(&wire.addresses, check);
    let platform = platform(&wire.platform, check);
    let peers = check.list("peers", &wire.peers, ADDRESS_REMEDY);
    let timing = timing(&wire.timing, check);
    let service = service(&wire.service, check);
    let limits = limits(&wire.limits, check);
    let bound = check.span(&wire.stop.bound, &STOP);
    Some(Node {
        vm,
        domain: domain?,
        domains,
        addresses: addresses?,
        platform: platform?,
        peers,
        service,
        log: Log {
            debug: wire.log.debug.as_ref().is_some_and(|d| d.value),
        },
        stop: Stop { bound },
        timing,
        limits,
    })
}

fn addresses(wire: &AddressesWire, check: &mut Check) -> Option<Addresses> {
    let callers = check.parse(&wire.callers, ADDRESS_REMEDY);
    let operators = check.parse(&wire.operators, ADDRESS_REMEDY);
    let peers = check.parse(&wire.peers, ADDRESS_REMEDY);
    let addresses = Addresses {
        callers: callers?,
        operators: operators?,
        peers: peers?,
    };
    check.distinct(&wire.operators, addresses.operators, addresses.callers);
    check.distinct(&wire.peers, addresses.peers, addresses.callers);
    check.distinct(&wire.peers, addresses.peers, addresses.operators);
    Some(addresses)
}

fn platform(wire: &PlatformWire, check: &mut Check) -> Option<Platform> {
    let store: Vec<Endpoint> = check.list("platform.store", &wire.store, ENDPOINT_REMEDY);
    let vms = check.parse(&wire.vms, ENDPOINT_REMEDY);
    let calls = check.number(&wire.calls, &CALL_RATE);
    Some(Platform {
        store,
        vms: vms?,
        calls: Rate(calls as f64),
    })
}

fn service(wire: &ServiceWire, check: &mut Check) -> Service {
    Service {
        slots: check.number(&wire.slots, &SLOTS) as u32,
        connections: check.number(&wire.connections, &CONNECTIONS) as u32,
    }
}

fn limits(wire: &LimitsWire, check: &mut Check) -> Limits {
    Limits {
        body: Bytes(check.number(&wire.body, &BODY)),
        requests: check.number(&wire.requests, &REQUESTS) as u32,
    }
}

fn timing(wire: &TimingWire, check: &mut Check) -> Timing {
    let timing = Timing {
        lease: check.span(&wire.lease, &LEASE),
        heartbeat: check.span(&wire.heartbeat, &HEARTBEAT),
        freshness: check.span(&wire.freshness, &FRESHNESS),
        poll: check.span(&wire.poll, &POLL),
        task: check.span(&wire.task, &TASK),
    };
    check.half(
        [&wire.heartbeat, &wire.lease],
        [timing.heartbeat, timing.lease],
        "timing.heartbeat must be at most half of timing.lease",
    );
    check.half(
        [&wire.poll, &wire.freshness],
        [timing.poll, timing.freshness],
        "timing.poll must be at most half of timing.freshness",
    );
    timing
}

/// Validates fields and collects the findings.
struct Check {
    top: String,
    found: Findings,
}

impl Check {
    fn parse<T>(&mut self, text: &Option<Spot<String>>, remedy: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.as_ref()?.parse(&mut self.found, remedy)
    }

    fn list<T>(&mut self, name: &str, texts: &[Spot<String>], remedy: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if let Some(extra) = texts.get(MAX_LIST) {
            let problem = format!("\"{name}\" has more than {MAX_LIST} entries");
            self.found.add(extra.place.as_str(), problem, "remove some");
        }
        let found = &mut self.found;
        let listed = texts.iter().take(MAX_LIST);
        listed.filter_map(|t| t.parse(found, remedy)).collect()
    }

    fn number(&mut self, spot: &Option<Spot<u64>>, range: &Range) -> u64 {
        let Some(spot) = spot else {
            return range.default;
        };
        if spot.value < range.min || spot.value > range.max {
            let problem = format!("{} is out of range", spot.value);
            let remedy = format!("write {} to {}", range.min, range.max);
            self.found.add(spot.place.as_str(), problem, remedy);
            return range.default;
        }
        spot.value
    }

    fn span(&mut self, spot: &Option<Spot<u64>>, range: &Range) -> Millis {
        Millis(self.number(spot, range))
    }

    fn distinct(&mut self, spot: &Option<Spot<String>>, addr: SocketAddr, other: SocketAddr) {
        let Some(spot) = spot else { return };
        if addr == other && addr.port() != 0 {
            let problem = format!("{addr} is used twice");
            self.found
                .add(spot.place.as_str(), problem, "give each its own port");
        }
    }

    fn half(&mut self, spots: [&Option<Spot<u64>>; 2], spans: [Millis; 2], problem: &str) {
        if spans[0].0 * 2 <= spans[1].0 {
            return;
        }
        let spot = spots.into_iter().flatten().next();
        let place = spot.map_or(self.top.clone(), |s| s.place.clone());
        self.found
            .add(place, problem, "lower the one or raise the other");
    }
}
