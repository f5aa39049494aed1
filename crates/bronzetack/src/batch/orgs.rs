//! Metrics of what each organisation may have running, has, and waits for.

use batch::Resources;
use batch::Scheduler;
use obs::Gauge;
use obs::Metrics;

/// The whole capacity, in the unit of the gauge of shares.
const ALL: i64 = 1_000;

/// Gauges with the organisation as a label. The coordinator sets them; on other daemons the version
/// is 0.
pub struct OrgMetrics {
    limit: Gauge,
    used: Gauge,
    waiting: Gauge,
    share: Gauge,
    version: Gauge,
}

impl OrgMetrics {
    /// Registers the gauges.
    pub fn new(metrics: &Metrics) -> OrgMetrics {
        OrgMetrics {
            limit: metrics.gauge(
                "batch_org_limit",
                "What an organisation may have running, by resource; 0 is no limit",
            ),
            used: metrics.gauge(
                "batch_org_used",
                "What may be running of an organisation, by resource",
            ),
            waiting: metrics.gauge(
                "batch_org_waiting",
                "Steps of an organisation that wait, by reason",
            ),
            share: metrics.gauge(
                "batch_org_share_permille",
                "Part of the capacity that an organisation may use before others; 1000 if all have room",
            ),
            version: metrics.gauge(
                "batch_org_version",
                "Version of the configuration that decides on limits; 0 if not the coordinator",
            ),
        }
    }

    /// Sets the gauges from the state of the coordinator.
    pub fn publish(&self, scheduler: &Scheduler) {
        self.version.set(&[], scheduler.version() as i64);
        for state in scheduler.org_states() {
            let org = state.org.as_str();
            set(&self.limit, org, &state.limit.0);
            set(&self.used, org, &state.used);
            let share = state.share.map_or(ALL, |share| (share * ALL as f64) as i64);
            self.share.set(&[("org", org)], share);
            let reasons = [
                ("limit", state.held),
                ("share", state.deferred),
                ("room", state.crowded),
            ];
            for (reason, steps) in reasons {
                let labels = [("org", org), ("reason", reason)];
                self.waiting.set(&labels, steps as i64);
            }
        }
    }

    /// Shows that this daemon is no longer the coordinator.
    pub fn end(&self) {
        self.version.set(&[], 0);
    }
}

fn set(gauge: &Gauge, org: &str, amounts: &Resources) {
    let resources = [
        ("cpu", amounts.cpu),
        ("memory", amounts.memory),
        ("accels", amounts.accels),
    ];
    for (resource, amount) in resources {
        let labels = [("org", org), ("resource", resource)];
        gauge.set(&labels, amount as i64);
    }
}
