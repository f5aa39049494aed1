//! Long random runs, and the shrinking of a run that violates an invariant.

use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use claim::Limits;

use super::system::Budget;
use super::system::Event;
use super::system::System;

/// Maximum number of VMs running at the same time.
const MAX_RUNNING: usize = 8;

/// Number of VMs in one run, including replacements.
const VM_COUNT: usize = 24;

/// Number of ids in one run.
const ID_COUNT: usize = 1000;

/// Number of ids in use at the same time.
const ACTIVE_IDS: usize = 12;

/// Number of events after which the oldest id in use is replaced by a new one.
const EVENTS_PER_ID: usize = 40;

/// Maximum number of replays while a run is shrunk.
const MAX_REPLAYS: usize = 3000;

/// Result of a run.
#[derive(Debug, Default)]
pub struct Walk {
    /// Number of events applied.
    pub steps: usize,
    /// Number of requests that ran.
    pub ran: usize,
    /// Number of replies: answers, not run, unknown.
    pub replies: [usize; 3],
    /// The violation and the events up to it.
    pub violation: Option<(String, Vec<Event>)>,
}

/// The initial state for a seed.
pub fn start(seed: u64, limits: &Limits) -> System {
    let names: Vec<String> = (0..VM_COUNT).map(|i| format!("vm{i:02}")).collect();
    let names: Vec<&str> = names.iter().map(|n| n.as_str()).collect();
    let ids: Vec<String> = (0..ID_COUNT).map(|i| format!("order-{i}")).collect();
    let ids: Vec<&str> = ids.iter().map(|i| i.as_str()).collect();
    let budget = Budget {
        sends: 0,
        repeats: 1_000_000,
        crashes: 1_000_000,
        views: Vec::new(),
        jumps: Vec::new(),
        refusals: 1_000_000,
        lost: 1_000_000,
        downs: 1_000_000,
        numbered: seed % 2 == 0,
        timed: seed % 4 < 2,
    };
    System::with_spares(&names, &ids, MAX_RUNNING, limits.clone(), budget)
}

/// Applies `steps` random events.
pub fn walk(seed: u64, steps: usize, limits: &Limits) -> Walk {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut system = start(seed, limits);
    let mut paused = BTreeSet::new();
    let mut events = Vec::new();
    while events.len() < steps {
        let event = choose_event(&system, events.len(), &mut paused, &mut rng);
        if !system.is_possible(&event) {
            continue;
        }
        system.apply(&event);
        events.push(event);
        if let Some(problem) = system.violation.take() {
            return Walk {
                steps: events.len(),
                violation: Some((problem, events)),
                ..Walk::default()
            };
        }
    }
    Walk {
        steps,
        ran: system.ran(),
        replies: system.replies(),
        violation: None,
    }
}

/// Draws the next event. An advance by zero stands for an event that is not available.
fn choose_event(
    system: &System,
    count: usize,
    paused: &mut BTreeSet<usize>,
    rng: &mut Pcg64Mcg,
) -> Event {
    let oldest = count / EVENTS_PER_ID;
    let mut below = |n: usize| (rng.next_u64() % n.max(1) as u64) as usize;
    let live = system.live();
    let vm = live[below(live.len())];
    if paused.contains(&vm) {
        if below(100) == 0 {
            paused.remove(&vm);
        }
        return Event::AdvanceClock(0);
    }
    let message = system.message(below(1 << 16)).unwrap_or(0);
    match below(1000) {
        0..=499 => Event::Deliver(message),
        500..=519 => Event::Repeat(message),
        520..=559 => Event::DropPacket(message),
        560..=659 => nth_entry(system.dispatches(), below(64)).map_or(
            Event::AdvanceClock(0),
            |(token, vm)| match token % 9 {
                0 => Event::Refuse(vm, token),
                _ => Event::Run(vm, token),
            },
        ),
        660..=729 => {
            nth_entry(system.running(), below(64)).map_or(Event::AdvanceClock(0), |(token, vm)| {
                match token % 11 {
                    0 => Event::LoseAnswer(vm, token),
                    _ => Event::Finish(vm, token),
                }
            })
        }
        730..=799 => Event::Send {
            id: (oldest + below(ACTIVE_IDS)) % ID_COUNT,
            vm,
        },
        800..=889 => Event::ReadView(vm),
        890..=959 => Event::Tick(vm),
        960..=974 => Event::AdvanceClock([1, 3, 6, 25, 110][below(5).min(below(5))]),
        975..=979 => Event::LinkDown(vm, live[below(live.len())]),
        980..=985 => {
            paused.insert(vm);
            Event::AdvanceClock(0)
        }
        986..=987 if live.len() > 2 => Event::CrashVm(vm),
        988..=990 if live.len() < MAX_RUNNING => Event::StartVm(system.started()),
        991..=992 => Event::Terminated(vm, below(system.started())),
        993..=994 => Event::SetMembers(next_members(system, &live, below)),
        _ => Event::AdvanceClock(0),
    }
}

/// In most cases keeps at most one member of the view, otherwise draws all members at random.
fn next_members(
    system: &System,
    live: &[usize],
    mut below: impl FnMut(usize) -> usize,
) -> Vec<usize> {
    let mut any = || live[below(live.len())];
    let mut members = vec![any()];
    let old = system.members();
    if any() % 4 > 0 {
        members.extend(old.get(any() % 2).filter(|vm| live.contains(vm)));
    } else {
        members.extend((0..any() % 3).map(|_| any()));
    }
    members
}

fn nth_entry(map: &std::collections::BTreeMap<u64, usize>, at: usize) -> Option<(u64, usize)> {
    let count = map.len().max(1);
    map.iter().nth(at % count).map(|(token, vm)| (*token, *vm))
}

/// The events of a run as lines of a trace.
pub fn describe(seed: u64, limits: &Limits, events: &[Event]) -> Vec<String> {
    let mut system = start(seed, limits);
    let mut lines = Vec::new();
    for event in events.iter() {
        if system.is_possible(event) {
            lines.push(system.describe(event));
            system.apply(event);
        }
    }
    lines
}

/// Shortens a sequence of events that leads to a violation by leaving events out.
pub fn shrink(seed: u64, limits: &Limits, mut events: Vec<Event>) -> Vec<Event> {
    let fails = |events: &[Event]| {
        let mut system = start(seed, limits);
        system.replay(events);
        system.violation.is_some()
    };
    let mut span = (events.len() / 2).max(1);
    let mut tries = 0;
    loop {
        let mut at = 0;
        while at < events.len() && tries < MAX_REPLAYS {
            tries += 1;
            let mut fewer = events.clone();
            fewer.drain(at..(at + span).min(events.len()));
            if fails(&fewer) {
                events = fewer;
            } else {
                at += span;
            }
        }
        if span == 1 {
            return events;
        }
        span = span.div_ceil(2);
        if span == 2 {
            span = 1;
        }
    }
}
