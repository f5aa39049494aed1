//! Long random runs, and the shortening of a run that breaks something.

use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use claim::Limits;

use super::world::Budget;
use super::world::Event;
use super::world::World;

/// VMs running at the same time, about.
const RUNNING: usize = 8;

/// VMs in one run, replacements included.
const NAMES: usize = 24;

/// Ids of one run.
const IDS: usize = 1000;

/// Ids that are sent at the same time.
const YOUNG: usize = 12;

/// Events after which the oldest of them gives way to a new one.
const ID_EVENTS: usize = 40;

/// Replays at most while a run is shortened.
const MOST_TRIES: usize = 3000;

/// What a run saw.
#[derive(Debug, Default)]
pub struct Walk {
    /// Events carried out.
    pub steps: usize,
    /// Requests that ran.
    pub ran: usize,
    /// Replies: answers, not run, unknown.
    pub replies: [usize; 3],
    /// The violation and the events up to it.
    pub broken: Option<(String, Vec<Event>)>,
}

/// The world that a seed starts with.
pub fn start(seed: u64, limits: &Limits) -> World {
    let names: Vec<String> = (0..NAMES).map(|i| format!("vm{i:02}")).collect();
    let names: Vec<&str> = names.iter().map(|n| n.as_str()).collect();
    let ids: Vec<String> = (0..IDS).map(|i| format!("order-{i}")).collect();
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
    World::with_spares(&names, &ids, RUNNING, limits.clone(), budget)
}

/// A random run of `steps` events.
pub fn walk(seed: u64, steps: usize, limits: &Limits) -> Walk {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = start(seed, limits);
    let mut paused = BTreeSet::new();
    let mut events = Vec::new();
    while events.len() < steps {
        let event = choose(&world, events.len(), &mut paused, &mut rng);
        if !world.can(&event) {
            continue;
        }
        world.apply(&event);
        events.push(event);
        if let Some(problem) = world.broken.take() {
            return Walk {
                steps: events.len(),
                broken: Some((problem, events)),
                ..Walk::default()
            };
        }
    }
    Walk {
        steps,
        ran: world.ran(),
        replies: world.replies(),
        broken: None,
    }
}

fn choose(world: &World, count: usize, paused: &mut BTreeSet<usize>, rng: &mut Pcg64Mcg) -> Event {
    let oldest = count / ID_EVENTS;
    let mut below = |n: usize| (rng.next_u64() % n.max(1) as u64) as usize;
    let live = world.live();
    let vm = live[below(live.len())];
    if paused.contains(&vm) {
        if below(100) == 0 {
            paused.remove(&vm);
        }
        return Event::Wait(0);
    }
    let message = world.message(below(1 << 16)).unwrap_or(0);
    match below(1000) {
        0..=499 => Event::Deliver(message),
        500..=519 => Event::Repeat(message),
        520..=559 => Event::Drop(message),
        560..=659 => {
            pick(world.starts(), below(64)).map_or(Event::Wait(0), |(token, vm)| match token % 9 {
                0 => Event::Refuse(vm, token),
                _ => Event::Run(vm, token),
            })
        }
        660..=729 => pick(world.running(), below(64)).map_or(Event::Wait(0), |(token, vm)| {
            match token % 11 {
                0 => Event::Lose(vm, token),
                _ => Event::Finish(vm, token),
            }
        }),
        730..=799 => Event::Send {
            id: (oldest + below(YOUNG)) % IDS,
            vm,
        },
        800..=889 => Event::Read(vm),
        890..=959 => Event::Tick(vm),
        960..=974 => Event::Wait([1, 3, 6, 25, 110][below(5).min(below(5))]),
        975..=979 => Event::Down(vm, live[below(live.len())]),
        980..=985 => {
            paused.insert(vm);
            Event::Wait(0)
        }
        986..=987 if live.len() > 2 => Event::Crash(vm),
        988..=990 if live.len() < RUNNING => Event::Start(world.started()),
        991..=992 => Event::Gone(vm, below(world.started())),
        993..=994 => Event::View(next_members(world, &live, below)),
        _ => Event::Wait(0),
    }
}

/// Mostly one member of the view changes, at times all do.
fn next_members(
    world: &World,
    live: &[usize],
    mut below: impl FnMut(usize) -> usize,
) -> Vec<usize> {
    let mut any = || live[below(live.len())];
    let mut members = vec![any()];
    let old = world.members();
    if any() % 4 > 0 {
        members.extend(old.get(any() % 2).filter(|vm| live.contains(vm)));
    } else {
        members.extend((0..any() % 3).map(|_| any()));
    }
    members
}

fn pick(map: &std::collections::BTreeMap<u64, usize>, at: usize) -> Option<(u64, usize)> {
    let count = map.len().max(1);
    map.iter().nth(at % count).map(|(token, vm)| (*token, *vm))
}

/// The events of a run as text.
pub fn explain(seed: u64, limits: &Limits, events: &[Event]) -> Vec<String> {
    let mut world = start(seed, limits);
    let mut lines = Vec::new();
    for event in events.iter() {
        if world.can(event) {
            lines.push(world.explain(event));
            world.apply(event);
        }
    }
    lines
}

/// Shortens a run that breaks something, by leaving out events.
pub fn shrink(seed: u64, limits: &Limits, mut events: Vec<Event>) -> Vec<Event> {
    let breaks = |events: &[Event]| {
        let mut world = start(seed, limits);
        world.replay(events);
        world.broken.is_some()
    };
    let mut span = (events.len() / 2).max(1);
    let mut tries = 0;
    loop {
        let mut at = 0;
        while at < events.len() && tries < MOST_TRIES {
            tries += 1;
            let mut fewer = events.clone();
            fewer.drain(at..(at + span).min(events.len()));
            if breaks(&fewer) {
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
