//! Fields of the configuration file as written, and their validation.

use std::fmt::Display;
use std::str::FromStr;

use base::Findings;
use base::Millis;

use crate::batch::Addresses;
use crate::batch::Batch;
use crate::batch::MachineSettings;
use crate::batch::SiteBounds;
use crate::batch::StoreSettings;
use crate::source::Section;
use crate::source::Spot;

const ADDRESS_REMEDY: &str = "write an IP number and a port, such as \"127.0.0.1:7001\"";
const NAME_REMEDY: &str = "use 1 to 128 letters, digits or '-_.~:/'";
const SPAN_REMEDY: &str = "write a time, such as \"400ms\" or \"6s\"";
const RATE_REMEDY: &str = "write calls a second, such as \"60\"";
const FACTOR_REMEDY: &str = "write a number, such as \"3\"";

/// Defaults with which the scheduler's guarantees hold even if the file gives no bounds.
const DEFAULTS: SiteBounds = SiteBounds {
    max_hold: Millis(6_000),
    stop_grace: Millis(1_000),
    reclaim: Millis(3_000),
    config_apply: Millis(2_000),
    stop: Millis(6_000),
    heartbeat: Millis(1_500),
    status: Millis(120_000),
    pace: Millis(100),
    harm: Millis(4_000),
    upkeep: Millis(2_000),
    handover: Millis(3_000),
    remote_factor: 3,
};

/// Default rate of each kind of call to the machine service; low enough for any deployment.
const MACHINE_CALLS: f64 = 1.0;

/// Smallest and largest value of any duration in the file, in milliseconds.
const SPANS: (u64, u64) = (50, 3_600_000);

type Text = Option<Spot<String>>;

/// Fields of the file, each with its location.
pub struct BatchWire {
    vm: Text,
    domain: Text,
    debug: Option<Spot<bool>>,
    addresses: [Text; 3],
    store: [Text; 2],
    adviser: Text,
    machines: [Text; 3],
    spans: [Text; 11],
    factor: Text,
}

impl BatchWire {
    /// Reads all fields. A field of the wrong type is reported as a finding and left out.
    pub fn read(mut top: Section<'_, '_>) -> BatchWire {
        let vm = top.need("vm", NAME_REMEDY);
        let domain = top.need("domain", NAME_REMEDY);
        let debug = top.flag("debug");
        let mut section = top.section("addresses");
        let names = ["callers", "ready", "operators"];
        let addresses = names.map(|name| section.need(name, ADDRESS_REMEDY));
        section.close();
        let mut section = top.section("store");
        let store = [
            section.need("address", ADDRESS_REMEDY),
            section.text("min-ttl"),
        ];
        section.close();
        let adviser = given(top.text("adviser"));
        let mut section = top.section("machines");
        let machines = ["address", "orders", "reads"].map(|name| given(section.text(name)));
        section.close();
        let mut section = top.section("bounds");
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
        ];
        let spans = names.map(|name| section.text(name));
        let factor = section.text("remote-factor");
        section.close();
        top.close();
        BatchWire {
            vm,
            domain,
            debug,
            addresses,
            store,
            adviser,
            machines,
            spans,
            factor,
        }
    }
}

impl TryFrom<BatchWire> for Batch {
    type Error = Findings;

    fn try_from(wire: BatchWire) -> Result<Batch, Findings> {
        let mut found = Findings::new();
        match convert(&wire, &mut found) {
            Some(batch) => found.into_result(batch),
            None => Err(found),
        }
    }
}

/// Validates the fields; `None` if a required one is missing or invalid.
fn convert(wire: &BatchWire, found: &mut Findings) -> Option<Batch> {
    let vm = parse(&wire.vm, NAME_REMEDY, found);
    let domain = parse(&wire.domain, NAME_REMEDY, found);
    let [callers, ready, operators] =
        [0, 1, 2].map(|num| parse(&wire.addresses[num], ADDRESS_REMEDY, found));
    let address = parse(&wire.store[0], ADDRESS_REMEDY, found);
    let min_ttl = span(&wire.store[1], Millis(1_000), found);
    let bounds = bounds(wire, found);
    let adviser = parse(&wire.adviser, ADDRESS_REMEDY, found);
    let [place, orders, reads] = &wire.machines;
    let machines = MachineSettings {
        address: parse(place, ADDRESS_REMEDY, found),
        orders: rate(orders, found),
        reads: rate(reads, found),
    };
    Some(Batch {
        vm: vm?,
        domain: domain?,
        addresses: Addresses {
            callers: callers?,
            ready: ready?,
            operators: operators?,
        },
        store: StoreSettings {
            address: address?,
            min_ttl,
        },
        adviser,
        machines,
        bounds,
        debug: wire.debug.as_ref().is_some_and(|d| d.value),
    })
}

fn bounds(wire: &BatchWire, found: &mut Findings) -> SiteBounds {
    let [hold, grace, reclaim, config, stop, heartbeat, status, pace, harm, upkeep, handover] =
        &wire.spans;
    let factor: Option<f64> = parse(&wire.factor, FACTOR_REMEDY, found);
    SiteBounds {
        max_hold: span(hold, DEFAULTS.max_hold, found),
        stop_grace: span(grace, DEFAULTS.stop_grace, found),
        reclaim: span(reclaim, DEFAULTS.reclaim, found),
        config_apply: span(config, DEFAULTS.config_apply, found),
        stop: span(stop, DEFAULTS.stop, found),
        heartbeat: span(heartbeat, DEFAULTS.heartbeat, found),
        status: span(status, DEFAULTS.status, found),
        pace: span(pace, DEFAULTS.pace, found),
        harm: span(harm, DEFAULTS.harm, found),
        upkeep: span(upkeep, DEFAULTS.upkeep, found),
        handover: span(handover, DEFAULTS.handover, found),
        remote_factor: factor.map_or(DEFAULTS.remote_factor, |f| f.ceil() as u64),
    }
}

/// Treats an empty string as absent, because templates leave unset fields empty.
fn given(text: Text) -> Text {
    text.filter(|spot| !spot.value.is_empty())
}

/// Calls per second, over all daemons.
fn rate(text: &Text, found: &mut Findings) -> f64 {
    let rate: Option<f64> = parse(text, RATE_REMEDY, found);
    rate.filter(|r| *r > 0.0).unwrap_or(MACHINE_CALLS)
}

fn parse<T>(text: &Text, remedy: &str, found: &mut Findings) -> Option<T>
where
    T: FromStr,
    T::Err: Display,
{
    text.as_ref()?.parse(found, remedy)
}

fn span(text: &Text, default: Millis, found: &mut Findings) -> Millis {
    let Some(spot) = text else { return default };
    let Some(span) = spot.parse::<Millis>(found, SPAN_REMEDY) else {
        return default;
    };
    let (min, max) = SPANS;
    if span.0 < min || span.0 > max {
        let problem = format!("{span} is out of range");
        found.add(spot.place.as_str(), problem, "write 50ms to 3600s");
        return default;
    }
    span
}
