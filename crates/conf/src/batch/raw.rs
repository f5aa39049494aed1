//! Fields of the configuration file as written, and their validation.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use base::Bytes;
use base::Findings;
use base::Millis;

use crate::batch::Addresses;
use crate::batch::BatchConfig;
use crate::batch::DelegateSettings;
use crate::batch::MachineSettings;
use crate::batch::SiteBounds;
use crate::batch::StoreSettings;
use crate::batch::VmResources;
use crate::source::Located;
use crate::source::Section;

const ADDRESS_REMEDY: &str = "write an IP number and a port, such as \"127.0.0.1:7001\"";
const NAME_REMEDY: &str = "use 1 to 128 letters, digits or '-_.~:/'";
const DURATION_REMEDY: &str = "write a time, such as \"400ms\" or \"6s\"";
const RATE_REMEDY: &str = "write calls a second, such as \"60\"";
const CORES_REMEDY: &str = "write a number of cores above 0, such as \"0.25\"";
const MEMORY_REMEDY: &str = "write a number of megabytes above 0, such as \"256\"";
const BANDWIDTH_REMEDY: &str = "write a number of Mbit/s above 0, such as \"100\"";
const COUNT_REMEDY: &str = "write a number of workers from 1, such as \"500\"";
const FACTOR_REMEDY: &str = "write a number from 0 to 100, such as \"3\"";

/// Largest factor.
const MAX_FACTOR: f64 = 100.0;

/// Defaults with which the scheduler's guarantees hold even if the file gives no bounds.
const DEFAULT_BOUNDS: SiteBounds = SiteBounds {
    max_hold: Millis(6_000),
    stop_grace: Millis(1_000),
    reclaim: Millis(3_000),
    config_apply: Millis(2_000),
    drain: Millis(2_000),
    evacuate: Millis(5_000),
    cancel: Millis(3_000),
    stop: Millis(6_000),
    heartbeat: Millis(1_500),
    contact: Millis(3_000),
    status: Millis(120_000),
    pace: Millis(100),
    harm: Millis(4_000),
    upkeep: Millis(2_000),
    handover: Millis(3_000),
    remote_factor: 3,
};

/// Resources of a VM whose settings do not give them.
const DEFAULT_RESOURCES: VmResources = VmResources {
    cores: 1.0,
    memory: Bytes(1_000 * BYTES_PER_MB),
    bandwidth: 1_000.0,
};

/// Delegates of a site whose settings do not size them.
const DEFAULT_DELEGATES: DelegateSettings = DelegateSettings {
    min_workers: 500,
    workers_each: 64,
};

const BYTES_PER_MB: u64 = 1_000_000;

/// Default rate of writes to the store in writes a second.
const DEFAULT_STORE_WRITES: f64 = 400.0;

/// Default limit on a value in the store in bytes.
const DEFAULT_STORE_VALUE: usize = 1 << 20;

/// Default rate of each kind of call to the machine service; low enough for any deployment.
const DEFAULT_MACHINE_CALLS_PER_SEC: f64 = 1.0;

/// Smallest and largest value of any duration in the file, in milliseconds.
const DURATION_RANGE_MS: (u64, u64) = (50, 3_600_000);

type OptionalText = Option<Located<String>>;

/// Fields of the file, each with its location.
pub struct RawBatch {
    vm: OptionalText,
    domain: OptionalText,
    debug: Option<Located<bool>>,
    addresses: [OptionalText; 3],
    links: OptionalText,
    store: [OptionalText; 4],
    adviser: OptionalText,
    machines: [OptionalText; 3],
    resources: [OptionalText; 3],
    delegates: [OptionalText; 2],
    durations: [OptionalText; 15],
    factor: OptionalText,
}

impl RawBatch {
    /// Reads all fields. A field of the wrong type is reported as a finding and left out.
    pub fn read(mut root: Section<'_, '_>) -> RawBatch {
        let vm = root.required_text("vm", NAME_REMEDY);
        let domain = root.required_text("domain", NAME_REMEDY);
        let debug = root.flag("debug");
        let mut section = root.section("addresses");
        let names = ["callers", "ready", "operators"];
        let addresses = names.map(|name| section.required_text(name, ADDRESS_REMEDY));
        let links = non_empty(section.text("links"));
        section.finish();
        let mut section = root.section("store");
        let store = [
            section.required_text("address", ADDRESS_REMEDY),
            section.text("min-ttl"),
            non_empty(section.text("writes")),
            non_empty(section.text("value")),
        ];
        section.finish();
        let adviser = non_empty(root.text("adviser"));
        let mut section = root.section("machines");
        let machines = ["address", "orders", "reads"].map(|name| non_empty(section.text(name)));
        section.finish();
        let mut section = root.section("resources");
        let names = ["cores", "memory", "bandwidth"];
        let resources = names.map(|name| non_empty(section.text(name)));
        section.finish();
        let mut section = root.section("delegates");
        let delegates = ["min-workers", "workers-each"].map(|name| section.text(name));
        section.finish();
        let mut section = root.section("bounds");
        let names = [
            "max-hold",
            "stop-grace",
            "reclaim",
            "config-apply",
            "stop",
            "heartbeat",
            "status",
            "pace",
            "harm",
            "upkeep",
            "handover",
            "drain",
            "evacuate",
            "cancel",
            "contact",
        ];
        let durations = names.map(|name| section.text(name));
        let factor = section.text("remote-factor");
        section.finish();
        root.finish();
        RawBatch {
            vm,
            domain,
            debug,
            addresses,
            links,
            store,
            adviser,
            machines,
            resources,
            delegates,
            durations,
            factor,
        }
    }
}

impl TryFrom<RawBatch> for BatchConfig {
    type Error = Findings;

    fn try_from(raw: RawBatch) -> Result<BatchConfig, Findings> {
        let mut findings = Findings::new();
        match convert(&raw, &mut findings) {
            Some(batch) => findings.into_result(batch),
            None => Err(findings),
        }
    }
}

/// Validates the fields; `None` if a required one is missing or invalid.
fn convert(raw: &RawBatch, findings: &mut Findings) -> Option<BatchConfig> {
    let vm = parse(&raw.vm, NAME_REMEDY, findings);
    let domain = parse(&raw.domain, NAME_REMEDY, findings);
    let [callers, ready, operators] =
        [0, 1, 2].map(|num| parse(&raw.addresses[num], ADDRESS_REMEDY, findings));
    let links = parse(&raw.links, ADDRESS_REMEDY, findings);
    let address = parse(&raw.store[0], ADDRESS_REMEDY, findings);
    let min_ttl = duration(&raw.store[1], Millis(1_000), findings);
    let writes = amount(&raw.store[2], RATE_REMEDY, findings).unwrap_or(DEFAULT_STORE_WRITES);
    let value = count(&raw.store[3], findings).unwrap_or(DEFAULT_STORE_VALUE);
    let bounds = bounds(raw, findings);
    let resources = resources(&raw.resources, findings);
    let [min_workers, workers_each] = &raw.delegates;
    let delegates = DelegateSettings {
        min_workers: count(min_workers, findings).unwrap_or(DEFAULT_DELEGATES.min_workers),
        workers_each: count(workers_each, findings).unwrap_or(DEFAULT_DELEGATES.workers_each),
    };
    let adviser = parse(&raw.adviser, ADDRESS_REMEDY, findings);
    let [endpoint, orders, reads] = &raw.machines;
    let endpoint: Option<SocketAddr> = parse(endpoint, ADDRESS_REMEDY, findings);
    let (orders, reads) = (rate(orders, findings), rate(reads, findings));
    let machines = MachineSettings {
        // A service that takes no calls is as good as none.
        address: endpoint.filter(|_| orders > 0.0 && reads > 0.0),
        orders,
        reads,
    };
    Some(BatchConfig {
        vm: vm?,
        domain: domain?,
        addresses: Addresses {
            callers: callers?,
            ready: ready?,
            operators: operators?,
            links,
        },
        store: StoreSettings {
            address: address?,
            min_ttl,
            writes,
            value,
        },
        adviser,
        machines,
        bounds,
        resources,
        delegates,
        debug: raw.debug.as_ref().is_some_and(|d| d.value),
    })
}

fn bounds(raw: &RawBatch, findings: &mut Findings) -> SiteBounds {
    let [hold, grace, reclaim, config, stop, heartbeat, status, ..] = &raw.durations;
    let [.., pace, harm, upkeep, handover, drain, evacuate, cancel, contact] = &raw.durations;
    let factor = number_up_to(MAX_FACTOR, &raw.factor, FACTOR_REMEDY, findings);
    SiteBounds {
        max_hold: duration(hold, DEFAULT_BOUNDS.max_hold, findings),
        stop_grace: duration(grace, DEFAULT_BOUNDS.stop_grace, findings),
        reclaim: duration(reclaim, DEFAULT_BOUNDS.reclaim, findings),
        config_apply: duration(config, DEFAULT_BOUNDS.config_apply, findings),
        drain: duration(drain, DEFAULT_BOUNDS.drain, findings),
        evacuate: duration(evacuate, DEFAULT_BOUNDS.evacuate, findings),
        cancel: duration(cancel, DEFAULT_BOUNDS.cancel, findings),
        stop: duration(stop, DEFAULT_BOUNDS.stop, findings),
        heartbeat: duration(heartbeat, DEFAULT_BOUNDS.heartbeat, findings),
        contact: duration(contact, DEFAULT_BOUNDS.contact, findings),
        status: duration(status, DEFAULT_BOUNDS.status, findings),
        pace: duration(pace, DEFAULT_BOUNDS.pace, findings),
        harm: duration(harm, DEFAULT_BOUNDS.harm, findings),
        upkeep: duration(upkeep, DEFAULT_BOUNDS.upkeep, findings),
        handover: duration(handover, DEFAULT_BOUNDS.handover, findings),
        remote_factor: factor.map_or(DEFAULT_BOUNDS.remote_factor, |f| f.ceil().max(1.0) as u64),
    }
}

fn resources(fields: &[OptionalText; 3], findings: &mut Findings) -> VmResources {
    let [cores, memory, bandwidth] = fields;
    let megabytes = amount(memory, MEMORY_REMEDY, findings);
    VmResources {
        cores: amount(cores, CORES_REMEDY, findings).unwrap_or(DEFAULT_RESOURCES.cores),
        memory: megabytes.map_or(DEFAULT_RESOURCES.memory, |num| {
            Bytes((num * BYTES_PER_MB as f64) as u64)
        }),
        bandwidth: amount(bandwidth, BANDWIDTH_REMEDY, findings)
            .unwrap_or(DEFAULT_RESOURCES.bandwidth),
    }
}

/// A finite amount above zero; any other number is a finding.
fn amount(text: &OptionalText, remedy: &str, findings: &mut Findings) -> Option<f64> {
    let field = text.as_ref()?;
    let num: f64 = field.parse(findings, remedy)?;
    if num.is_finite() && num > 0.0 {
        return Some(num);
    }
    let problem = format!("{num} is out of range");
    findings.add(field.location.as_str(), problem, remedy);
    None
}

/// A whole number from 1; zero is a finding.
fn count(text: &OptionalText, findings: &mut Findings) -> Option<usize> {
    let field = text.as_ref()?;
    let num: usize = field.parse(findings, COUNT_REMEDY)?;
    if num == 0 {
        findings.add(field.location.as_str(), "0 is out of range", COUNT_REMEDY);
        return None;
    }
    Some(num)
}

/// Treats an empty string as absent, because templates leave unset fields empty.
fn non_empty(text: OptionalText) -> OptionalText {
    text.filter(|field| !field.value.is_empty())
}

/// Calls per second, over all daemons; 0 if none may be made.
fn rate(text: &OptionalText, findings: &mut Findings) -> f64 {
    number_up_to(f64::MAX, text, RATE_REMEDY, findings).unwrap_or(DEFAULT_MACHINE_CALLS_PER_SEC)
}

/// A number from 0 to `max`; any other is a finding.
fn number_up_to(
    max: f64,
    text: &OptionalText,
    remedy: &str,
    findings: &mut Findings,
) -> Option<f64> {
    let field = text.as_ref()?;
    let num: f64 = field.parse(findings, remedy)?;
    if (0.0..=max).contains(&num) {
        return Some(num);
    }
    let problem = format!("{num} is out of range");
    findings.add(field.location.as_str(), problem, remedy);
    None
}

fn parse<T>(text: &OptionalText, remedy: &str, findings: &mut Findings) -> Option<T>
where
    T: FromStr,
    T::Err: Display,
{
    text.as_ref()?.parse(findings, remedy)
}

fn duration(text: &OptionalText, default: Millis, findings: &mut Findings) -> Millis {
    let Some(field) = text else { return default };
    let Some(span) = field.parse::<Millis>(findings, DURATION_REMEDY) else {
        return default;
    };
    let (min, max) = DURATION_RANGE_MS;
    if span.0 < min || span.0 > max {
        let problem = format!("{span} is out of range");
        findings.add(field.location.as_str(), problem, "write 50ms to 3600s");
        return default;
    }
    span
}
