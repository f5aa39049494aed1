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
use crate::node::NodeConfig;
use crate::node::Platform;
use crate::node::Service;
use crate::node::Stop;
use crate::node::Timing;
use crate::source::Located;
use crate::source::Section;

const ADDRESS_REMEDY: &str = "write an IP number and a port, such as \"127.0.0.1:7001\"";
const DOMAIN_REMEDY: &str = "write the VM's failure domain, such as \"north-1\"";
const ENDPOINT_REMEDY: &str = "write an address such as \"http://127.0.0.1:2379\"";
const VM_REMEDY: &str = "use 1 to 128 letters, digits or '-_.~:/', or leave it out";

/// Default of `platform.calls`.
const DEFAULT_CALLS_PER_SEC: u64 = 20;
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
const CALLS_PER_SEC: Range = range(DEFAULT_CALLS_PER_SEC, 1, 10_000);
const STOP_MS: Range = range(30_000, 0, 3_600_000);
const LEASE_MS: Range = range(2_000, 100, 60_000);
const HEARTBEAT_MS: Range = range(250, 10, 10_000);
const FRESHNESS_MS: Range = range(1_000, 100, 60_000);
const POLL_MS: Range = range(500, 50, 60_000);
const TASK_LEASE_MS: Range = range(10_000, 500, 600_000);
const BODY_BYTES: Range = range(1 << 20, 1 << 10, 1 << 28);
const MEMORY_BYTES: Range = range(120_000_000, 1_000_000, 1 << 40);
const REQUESTS: Range = range(4_096, 1, 1 << 20);

/// Fields of the file, each with its location.
pub struct RawNode {
    location: String,
    vm: Option<Located<String>>,
    domain: Option<Located<String>>,
    domains: Vec<Located<String>>,
    addresses: RawAddresses,
    platform: RawPlatform,
    peers: Vec<Located<String>>,
    service: RawService,
    log: RawLog,
    stop: RawStop,
    timing: RawTiming,
    limits: RawLimits,
}

struct RawAddresses {
    callers: Option<Located<String>>,
    operators: Option<Located<String>>,
    peers: Option<Located<String>>,
}

struct RawPlatform {
    store: Vec<Located<String>>,
    vms: Option<Located<String>>,
    calls: Option<Located<u64>>,
}

struct RawService {
    slots: Option<Located<u64>>,
    connections: Option<Located<u64>>,
}

struct RawLog {
    debug: Option<Located<bool>>,
}

struct RawStop {
    bound: Option<Located<u64>>,
}

struct RawTiming {
    lease: Option<Located<u64>>,
    heartbeat: Option<Located<u64>>,
    freshness: Option<Located<u64>>,
    poll: Option<Located<u64>>,
    task: Option<Located<u64>>,
}

struct RawLimits {
    body: Option<Located<u64>>,
    memory: Option<Located<u64>>,
    requests: Option<Located<u64>>,
}

macro_rules! read {
    ($root:ident, $name:ident => $raw:ident { $($field:ident: $kind:ident $(($remedy:ident))?,)* }) => {{
        let mut section = $root.section(stringify!($name));
        let raw = $raw {
            $($field: section.$kind(stringify!($field) $(, $remedy)?),)*
        };
        section.finish();
        raw
    }};
}

impl RawNode {
    /// Reads all fields. A field of the wrong type is reported as a finding and left out.
    pub fn read(mut root: Section<'_, '_>) -> RawNode {
        let raw = RawNode {
            location: root.location(),
            vm: root.text("vm"),
            domain: root.required_text("domain", DOMAIN_REMEDY),
            domains: root.texts("domains"),
            addresses: read!(root, addresses => RawAddresses {
                callers: required_text(ADDRESS_REMEDY),
                operators: required_text(ADDRESS_REMEDY),
                peers: required_text(ADDRESS_REMEDY),
            }),
            platform: read!(root, platform => RawPlatform {
                store: required_texts(ENDPOINT_REMEDY),
                vms: required_text(ENDPOINT_REMEDY),
                calls: number,
            }),
            peers: root.texts("peers"),
            service: read!(root, service => RawService {
                slots: number,
                connections: number,
            }),
            log: read!(root, log => RawLog {
                debug: flag,
            }),
            stop: read!(root, stop => RawStop {
                bound: number,
            }),
            timing: read!(root, timing => RawTiming {
                lease: number,
                heartbeat: number,
                freshness: number,
                poll: number,
                task: number,
            }),
            limits: read!(root, limits => RawLimits {
                body: number,
                memory: number,
                requests: number,
            }),
        };
        root.finish();
        raw
    }
}

impl TryFrom<RawNode> for NodeConfig {
    type Error = Findings;

    fn try_from(raw: RawNode) -> Result<NodeConfig, Findings> {
        let mut validator = Validator {
            root: raw.location.clone(),
            findings: Findings::new(),
        };
        let node = convert(&raw, &mut validator);
        match node {
            Some(node) => validator.findings.into_result(node),
            None => Err(validator.findings),
        }
    }
}

/// Every failure domain, sorted. Reports a finding if the VM's own domain is not listed; an
/// absent list stands for the own domain alone.
fn domains(raw: &RawNode, own: Option<&DomainId>, validator: &mut Validator) -> Vec<DomainId> {
    let mut domains: Vec<DomainId> = validator.list("domains", &raw.domains, DOMAINS_REMEDY);
    domains.sort();
    domains.dedup();
    let Some(own) = own else { return domains };
    if domains.is_empty() {
        return vec![own.clone()];
    }
    if !domains.contains(own) {
        let location = raw.domains[0].location.as_str();
        let problem = format!("\"domains\" does not list {own}");
        validator
            .findings
            .add(location, problem, "list every failure domain of the site");
    }
    domains
}

/// Validates the fields; `None` if a required one is missing or invalid.
fn convert(raw: &RawNode, validator: &mut Validator) -> Option<NodeConfig> {
    let vm = validator.parse(&raw.vm, VM_REMEDY);
    let domain = validator.parse(&raw.domain, DOMAIN_REMEDY);
    let domains = domains(raw, domain.as_ref(), validator);
    let addresses = addresses(&raw.addresses, validator);
    let platform = platform(&raw.platform, validator);
    let peers = validator.list("peers", &raw.peers, ADDRESS_REMEDY);
    let timing = timing(&raw.timing, validator);
    let service = service(&raw.service, validator);
    let limits = limits(&raw.limits, validator);
    let bound = validator.millis(&raw.stop.bound, &STOP_MS);
    Some(NodeConfig {
        vm,
        domain: domain?,
        domains,
        addresses: addresses?,
        platform: platform?,
        peers,
        service,
        log: Log {
            debug: raw.log.debug.as_ref().is_some_and(|d| d.value),
        },
        stop: Stop { bound },
        timing,
        limits,
    })
}

fn addresses(raw: &RawAddresses, validator: &mut Validator) -> Option<Addresses> {
    let callers = validator.parse(&raw.callers, ADDRESS_REMEDY);
    let operators = validator.parse(&raw.operators, ADDRESS_REMEDY);
    let peers = validator.parse(&raw.peers, ADDRESS_REMEDY);
    let addresses = Addresses {
        callers: callers?,
        operators: operators?,
        peers: peers?,
    };
    validator.check_distinct(&raw.operators, addresses.operators, addresses.callers);
    validator.check_distinct(&raw.peers, addresses.peers, addresses.callers);
    validator.check_distinct(&raw.peers, addresses.peers, addresses.operators);
    Some(addresses)
}

fn platform(raw: &RawPlatform, validator: &mut Validator) -> Option<Platform> {
    let store: Vec<Endpoint> = validator.list("platform.store", &raw.store, ENDPOINT_REMEDY);
    let vms = validator.parse(&raw.vms, ENDPOINT_REMEDY);
    let calls = validator.number(&raw.calls, &CALLS_PER_SEC);
    Some(Platform {
        store,
        vms: vms?,
        calls: Rate(calls as f64),
    })
}

fn service(raw: &RawService, validator: &mut Validator) -> Service {
    Service {
        slots: validator.number(&raw.slots, &SLOTS) as u32,
        connections: validator.number(&raw.connections, &CONNECTIONS) as u32,
    }
}

fn limits(raw: &RawLimits, validator: &mut Validator) -> Limits {
    Limits {
        body: Bytes(validator.number(&raw.body, &BODY_BYTES)),
        memory: Bytes(validator.number(&raw.memory, &MEMORY_BYTES)),
        requests: validator.number(&raw.requests, &REQUESTS) as u32,
    }
}

fn timing(raw: &RawTiming, validator: &mut Validator) -> Timing {
    let timing = Timing {
        lease: validator.millis(&raw.lease, &LEASE_MS),
        heartbeat: validator.millis(&raw.heartbeat, &HEARTBEAT_MS),
        freshness: validator.millis(&raw.freshness, &FRESHNESS_MS),
        poll: validator.millis(&raw.poll, &POLL_MS),
        task: validator.millis(&raw.task, &TASK_LEASE_MS),
    };
    validator.check_half(
        [&raw.heartbeat, &raw.lease],
        [timing.heartbeat, timing.lease],
        "timing.heartbeat must be at most half of timing.lease",
    );
    validator.check_half(
        [&raw.poll, &raw.freshness],
        [timing.poll, timing.freshness],
        "timing.poll must be at most half of timing.freshness",
    );
    timing
}

/// Validates fields and collects the findings.
struct Validator {
    root: String,
    findings: Findings,
}

impl Validator {
    fn parse<T>(&mut self, text: &Option<Located<String>>, remedy: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.as_ref()?.parse(&mut self.findings, remedy)
    }

    fn list<T>(&mut self, name: &str, texts: &[Located<String>], remedy: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if let Some(extra) = texts.get(MAX_LIST) {
            let problem = format!("\"{name}\" has more than {MAX_LIST} entries");
            self.findings
                .add(extra.location.as_str(), problem, "remove some");
        }
        let findings = &mut self.findings;
        let listed = texts.iter().take(MAX_LIST);
        listed.filter_map(|t| t.parse(findings, remedy)).collect()
    }

    fn number(&mut self, field: &Option<Located<u64>>, range: &Range) -> u64 {
        let Some(field) = field else {
            return range.default;
        };
        if field.value < range.min || field.value > range.max {
            let problem = format!("{} is out of range", field.value);
            let remedy = format!("write {} to {}", range.min, range.max);
            self.findings.add(field.location.as_str(), problem, remedy);
            return range.default;
        }
        field.value
    }

    fn millis(&mut self, field: &Option<Located<u64>>, range: &Range) -> Millis {
        Millis(self.number(field, range))
    }

    fn check_distinct(
        &mut self,
        field: &Option<Located<String>>,
        addr: SocketAddr,
        other: SocketAddr,
    ) {
        let Some(field) = field else { return };
        if addr == other && addr.port() != 0 {
            let problem = format!("{addr} is used twice");
            self.findings
                .add(field.location.as_str(), problem, "give each its own port");
        }
    }

    fn check_half(
        &mut self,
        fields: [&Option<Located<u64>>; 2],
        durations: [Millis; 2],
        problem: &str,
    ) {
        if durations[0].0 * 2 <= durations[1].0 {
            return;
        }
        let field = fields.into_iter().flatten().next();
        let location = field.map_or(self.root.clone(), |s| s.location.clone());
        self.findings
            .add(location, problem, "lower the one or raise the other");
    }
}
