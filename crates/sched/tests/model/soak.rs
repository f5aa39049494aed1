//! Random runs: episodes of random events, each followed by a fault-free period in which every
//! job must get its outcome.

use base::Millis;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sched::SafetyOverrides;
use sched::Timing;
use work::wire::TaskPhase;

use super::event::Event;
use super::search;
use super::site;
use super::world::Params;
use super::world::World;

/// Number of random events of an episode.
pub const EPISODE_EVENTS: usize = 1_000;
/// Ticks without faults within which every job must get its outcome.
const DRAIN_TICKS: usize = 3_000;
/// Share of the choices that are faults, per mille.
const FAULTS_PER_MILLE: u32 = 12;
/// Share of the choices that are ticks, per mille.
const TICKS_PER_MILLE: u32 = 250;

/// A violation, with the choices that led to it.
#[derive(Debug)]
pub struct Failure {
    pub reason: String,
    pub choices: Vec<u32>,
}

/// The random numbers from which the events of an episode are selected.
pub fn choices(seed: u64) -> Vec<u32> {
    let mut rng = Pcg64::seed_from_u64(seed);
    (0..EPISODE_EVENTS).map(|_| rng.random()).collect()
}

/// Parameters of a world with four workers, three nodes and six jobs of one to four tasks.
pub fn params(overrides: &SafetyOverrides) -> Params {
    let spec = |i: u32| site::job_spec(&format!("j{i}"), 1 + i % 4, i % 2 == 0);
    Params {
        workers: 4,
        nodes: 3,
        accels: 2,
        jobs: (0..6).map(spec).collect(),
        timing: Timing::default(),
        overrides: overrides.clone(),
        tick: Millis(100),
        own_checks: true,
        fencing: true,
        permit_period: Millis(1_000),
    }
}

/// Runs an episode. Returns the number of events, or the failure.
pub fn episode(choices: &[u32], params: &Params) -> Result<usize, Failure> {
    let mut world = World::new(params.clone());
    for (i, choice) in choices.iter().enumerate() {
        let event = pick(&world, *choice);
        if let Err(reason) = world.apply(&event) {
            let choices = choices[..=i].to_vec();
            return Err(Failure { reason, choices });
        }
    }
    let drained = drain(&mut world);
    drained.map_err(|reason| Failure {
        reason,
        choices: choices.to_vec(),
    })
}

/// The event that a choice selects in the current state.
pub fn pick(world: &World, choice: u32) -> Event {
    let (kind, num) = (choice % 1_000, (choice / 1_000) as usize);
    let mut list = match kind {
        k if k < FAULTS_PER_MILLE => all_fault_events(world),
        k if k < FAULTS_PER_MILLE + TICKS_PER_MILLE => Vec::new(),
        _ => normal_events(world),
    };
    if list.is_empty() {
        return Event::Tick;
    }
    list.swap_remove(num % list.len())
}

/// Faults of the search, and those that only random runs have.
fn all_fault_events(world: &World) -> Vec<Event> {
    let mut list = search::fault_events(world);
    // Nothing starts after the domain is taken out of service, so not early in an episode.
    list.retain(|e| *e != Event::TakeDomainOut || world.now > Millis(10_000));
    for (n, node) in world.nodes.iter().enumerate() {
        if node.coord.epoch().is_some() {
            list.push(Event::Depose(n));
            list.extend(
                world
                    .params
                    .jobs
                    .iter()
                    .map(|j| Event::Stop(n, j.id.clone())),
            );
        }
    }
    list
}

/// Events of messages, record watches and planners.
fn normal_events(world: &World) -> Vec<Event> {
    let mut list = search::message_events(world);
    list.retain(|e| !matches!(e, Event::Resume(_)) || world.now.0 % 3_000 == 0);
    for (n, node) in world.nodes.iter().enumerate() {
        if node.paused {
            continue;
        }
        if node.coord.epoch().is_some() && node.seen_rev < world.store.rev {
            list.push(Event::DeliverRecords(n));
        }
        if node.coord.is_ready() && world.now.0 % 500 == 0 {
            let open = world
                .store
                .records
                .iter()
                .filter(|(_, r)| r.0.plan().is_none());
            let choice = (world.now.0 / 100) as u32;
            list.extend(open.map(|(id, _)| Event::Plan(n, id.clone(), choice)));
        }
    }
    list
}

/// Ends all faults and runs until every job has its outcome and no task is active.
fn drain(world: &mut World) -> Result<usize, String> {
    world.domain_out = None;
    for n in 0..world.nodes.len() {
        world.nodes[n].paused = false;
        world.nodes[n].watch_stalled = false;
        world.nodes[n].knows_out = false;
        world.feed(n, sched::Input::DomainOut(false));
    }
    let holder = (world.lock_holder + 1) % world.nodes.len();
    world.apply(&Event::Elect(holder))?;
    for tick in 0..DRAIN_TICKS {
        drain_step(world, holder)?;
        if all_done(world) {
            return Ok(EPISODE_EVENTS + tick);
        }
        world.apply(&Event::Tick)?;
    }
    let open = world.store.records.values().filter(|(r, _)| !r.is_done());
    let open: Vec<_> = open.map(|(r, _)| (&r.spec.id, &r.phase)).collect();
    Err(format!(
        "no outcome within {DRAIN_TICKS} ticks without faults: {open:?}"
    ))
}

/// One step without faults: delivers all messages and regularly plans and finishes jobs.
fn drain_step(world: &mut World, holder: usize) -> Result<(), String> {
    for _ in 0..1_000 {
        let next = search::message_events(world).into_iter().next();
        let Some(event) = next else {
            break;
        };
        world.apply(&event)?;
    }
    if world.nodes[holder].seen_rev < world.store.rev {
        world.apply(&Event::DeliverRecords(holder))?;
    }
    if world.now.0 % 2_000 == 0 {
        plan_next(world, holder)?;
        finish_gangs(world)?;
    }
    Ok(())
}

fn plan_next(world: &mut World, holder: usize) -> Result<(), String> {
    let open = world.store.records.iter().find(|(_, r)| !r.0.is_done());
    match open.map(|(id, r)| (id.clone(), r.0.plan().is_none())) {
        Some((id, true)) => world.apply(&Event::Plan(holder, id, 0)),
        _ => Ok(()),
    }
}

/// Ends the tasks of gangs that were started as a whole.
fn finish_gangs(world: &mut World) -> Result<(), String> {
    let mut ends = Vec::new();
    for (w, worker) in world.workers.iter().enumerate() {
        for (key, (report, _)) in &worker.tasks {
            if report.phase == TaskPhase::Running && gang_started(world, key) {
                ends.push(Event::EndTask(w, key.clone(), true));
            }
        }
    }
    ends.iter().try_for_each(|e| world.apply(e))
}

fn gang_started(world: &World, key: &work::wire::TaskKey) -> bool {
    let size = world.store.records[&key.job].0.spec.shape.tasks as usize;
    let tasks = world.workers.iter().flat_map(|w| &w.tasks);
    let up = |p: TaskPhase| matches!(p, TaskPhase::Finished | TaskPhase::Running);
    let same = tasks.filter(|(k, t)| k.job == key.job && k.attempt == key.attempt && up(t.0.phase));
    same.count() == size
}

fn all_done(world: &World) -> bool {
    let done = world.store.records.values().all(|(r, _)| r.is_done());
    let mut tasks = world.workers.iter().flat_map(|w| w.tasks.values());
    done && !tasks.any(|t| t.0.phase.is_active())
}

/// Removes choices as long as the episode still fails.
pub fn shrink(failure: Failure, params: &Params) -> Failure {
    let mut best = failure;
    let mut size = best.choices.len() / 2;
    while size > 0 {
        let mut at = 0;
        while at < best.choices.len() {
            let mut fewer = best.choices.clone();
            fewer.drain(at..(at + size).min(best.choices.len()));
            match episode(&fewer, params) {
                Err(smaller) if smaller.choices.len() < best.choices.len() => best = smaller,
                _ => at += size,
            }
        }
        size /= 2;
    }
    best
}

/// The events that the choices select, for a failure message.
pub fn trace(choices: &[u32], params: &Params) -> Vec<String> {
    let mut world = World::new(params.clone());
    let mut list = Vec::new();
    for choice in choices {
        let event = pick(&world, *choice);
        list.push(format!("{} {event:?}", world.now));
        if world.apply(&event).is_err() {
            break;
        }
    }
    list
}
