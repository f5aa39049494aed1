//! Caps on what an organisation has running, which operators raise and lower.

use std::rc::Rc;

use base::Millis;
use batch::Resources;
use platform_fakes::Event;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::growth::CONFIG_APPLY;
use crate::history::History;
use crate::site::Site;

/// Caps that the changes of the configuration set in turn; 0 is no limit. Without a cap the load has
/// some twenty tasks running at times, and the widest gang has five.
const CAPS: [Resources; 3] = [cap(14), cap(10), NO_CAP];

/// Thousandths of a core that each task of the load needs.
const TASK_CPU: u64 = 1_000;

/// The cap of an organisation that the configuration sets none for.
pub const NO_CAP: Resources = cap(0);

/// Time from the decision on a start until the worker has begun it, at most. A start that was decided
/// by a cap is counted as under that cap for this time.
const START_TIME: Millis = Millis(1_200);

/// A cap may be exceeded by one part in this many, and by one task.
const OVERAGE_DIVISOR: u64 = 10;

const fn cap(tasks: u64) -> Resources {
    Resources {
        cpu: tasks * TASK_CPU,
        memory: 0,
        accels: 0,
    }
}

/// Time from one change to the next, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 1_500..4_500;

/// Time between two checks after the load that no cap is in force.
const LIFT_INTERVAL: Millis = Millis(500);

/// Raises and lowers the cap at random times until `end`, and then lifts it, as what was accepted
/// under less of a cap may not end in time under the lowest one.
pub async fn change(site: Rc<Site>, seed: u64, end: Millis) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0xca9);
    while site.now() < end {
        site.configure();
        site.sleep(Millis(rng.random_range(CHANGE_INTERVAL_MS)))
            .await;
    }
    while !site.is_finished() {
        while site.last_cap() != NO_CAP {
            site.configure();
        }
        site.sleep(LIFT_INTERVAL).await;
    }
}

/// The cap that this version of the configuration sets.
pub fn cap_of(version: u64) -> Resources {
    CAPS[version as usize % CAPS.len()]
}

/// Checks the start of a task that needs `need` while other tasks of the organisation run.
pub fn check(
    history: &History,
    event: &Event,
    others: impl Iterator<Item = Resources>,
    need: Resources,
    report: &mut dyn FnMut(&'static str, String),
) {
    let mut running = need;
    others.for_each(|other| running += other);
    let amounts = |r: &Resources| [r.cpu, r.memory, r.accels];
    let caps = caps_in_force(history, event.at);
    for (kind, (used, task)) in amounts(&running).iter().zip(amounts(&need)).enumerate() {
        let of_kind = caps.iter().map(|cap| amounts(cap)[kind]);
        // Without a cap, or with one that sets no limit, nothing is too much.
        let highest = of_kind.map(|c| if c == 0 { u64::MAX } else { c }).max();
        let most = highest.unwrap_or(u64::MAX);
        if *used
            > most
                .saturating_add(most / OVERAGE_DIVISOR)
                .saturating_add(task)
        {
            let (at, worker) = (event.at, &event.worker);
            report(
                "quota",
                format!("a start on {worker} at {at} makes {used} running under a cap of {most}"),
            );
        }
    }
}

/// Whether no cap may be in force that sets a limit.
pub fn is_unlimited(history: &History, at: Millis) -> bool {
    caps_in_force(history, at).iter().all(|cap| *cap == NO_CAP)
}

/// The caps that may be in force: the last one, and those replaced only a short time ago.
fn caps_in_force(history: &History, at: Millis) -> Vec<Resources> {
    let since = at - CONFIG_APPLY - START_TIME;
    let replaced = |num: usize| history.caps.get(num + 1).map(|(at, _)| *at);
    let caps = history.caps.iter().enumerate();
    let caps = caps.filter(|(num, (set, _))| {
        *set <= at && replaced(*num).is_none_or(|replaced| replaced >= since)
    });
    caps.map(|(_, (_, cap))| *cap).collect()
}
