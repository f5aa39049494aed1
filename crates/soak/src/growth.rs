//! A configuration that grows while most daemons have slow links, and calls that test which version a
//! daemon decides by.

use std::rc::Rc;

use base::JobId;
use base::Millis;
use platform_fakes::FakeCaller;
use platform_fakes::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::site::Site;

/// Time after which a change of the configuration is in force, the default of the settings.
pub const CONFIG_APPLY: Millis = Millis(2_000);

/// Bandwidth of a slow link, in bytes per second. The largest configuration takes almost two seconds.
pub const SLOW_LINK: u64 = 600_000;

/// Queues that each change adds, and the most there are: 1 MB in the store's responses.
const QUEUES_PER_CHANGE: usize = 400;
const MAX_QUEUES: usize = 4_000;

/// Time from one change to the next, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 200..2_500;

/// Time from one probe to the next, in milliseconds.
const PROBE_INTERVAL_MS: std::ops::Range<u64> = 20..120;

/// A call for a queue that a change has added.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Number of the daemon that was called.
    pub daemon: usize,
    /// When the store acknowledged the change.
    pub added: Millis,
    /// When the call was sent.
    pub sent: Millis,
    /// Answer, or how the call failed.
    pub outcome: Outcome,
}

/// Number of queues after the next change.
pub fn next_size(queues: usize) -> usize {
    (queues + QUEUES_PER_CHANGE).min(MAX_QUEUES)
}

/// Changes the configuration at random times until `end`.
pub async fn change(site: Rc<Site>, seed: u64, end: Millis) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x9b0);
    while site.now() < end {
        site.sleep(Millis(rng.random_range(CHANGE_INTERVAL_MS)))
            .await;
        site.configure();
    }
}

/// Calls random daemons for the latest queue that all must know, until `end`.
pub async fn probe(site: Rc<Site>, seed: u64, end: Millis) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x9b1);
    let caller = FakeCaller::new("");
    let job: JobId = "0000000000000000".parse().expect("a valid job id");
    while site.now() < end {
        site.sleep(Millis(rng.random_range(PROBE_INTERVAL_MS)))
            .await;
        let daemon = rng.random_range(0..site.daemon_count());
        let sent = site.now();
        let Some((added, queues)) = site.queues_at(sent.since(CONFIG_APPLY)) else {
            continue;
        };
        let caller = caller.for_queue(&format!("extra{}", queues - 1));
        let outcome = caller.query(site.caller_address(daemon), &job).await;
        site.history.borrow_mut().probes.push(Probe {
            daemon,
            added,
            sent,
            outcome,
        });
    }
}

/// Reports answers by a configuration that a change has replaced for too long.
pub fn check(probes: &[Probe], report: &mut dyn FnMut(&'static str, String)) {
    for probe in probes {
        let age = probe.sent.since(probe.added);
        if probe.outcome == Outcome::Status(404) && age > CONFIG_APPLY {
            let Probe { daemon, sent, .. } = probe;
            report(
                "outdated",
                format!(
                    "daemon {daemon} does not know a queue at {sent}, {age} after it was added"
                ),
            );
        }
    }
}
