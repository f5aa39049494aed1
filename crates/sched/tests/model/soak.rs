//! Long random runs: episodes of random events, then rest until every job has its outcome.

use base::Millis;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sched::Faults;
use sched::Timing;
use work::wire::TaskPhase;

use super::event::Event;
use super::search;
use super::site;
use super::world::Params;
use super::world::World;

/// Random events of one episode.
pub const EPISODE: usize = 1_000;
/// Ticks after which every job must have its outcome once nothing fails any more.
const REST: usize = 3_000;
/// Of a thousand choices, those that are faults.
const FAULTS: u32 = 12;
/// Of a thousand choices, those that are ticks.
const TICKS: u32 = 250;

/// A failure with the choices that led to it.
#[derive(Debug)]
pub struct Failure {
    pub why: String,
    pub choices: Vec<u32>,
}

/// The choices of an episode.
pub fn choices(seed: u64) -> Vec<u32> {
    let mut rng = Pcg64::seed_from_u64(seed);
    (0..EPISODE).map(|_| rng.random()).collect()
}

/// Four workers, three nodes and six jobs of one to four tasks.
pub fn params(faults: &Faults) -> Params {
    let spec = |i: u32| site::job_spec(&format!("j{i}"), 1 + i % 4, i % 2 == 0);
    Params {
        workers: 4,
        nodes: 3,
        accels: 2,
        jobs: (0..6).map(spec).collect(),
        timing: Timing::default(),
        faults: faults.clone(),
        tick: Millis(100),
        inner: true,
        fence: true,
        permit: Millis(1_000),
    }
}

/// Runs an episode. Returns the number of events, or the failure.
pub fn episode(choices: &[u32], params: &Params) -> Result<usize, Failure> {
    let mut world = World::new(params.clone());
    for (i, choice) in choices.iter().enumerate() {
        let event = pick(&world, *choice);
        if let Err(why) = world.apply(&event) {
            let choices = choices[..=i].to_vec();
            return Err(Failure { why, choices });
        }
    }
    let rested = rest(&mut world);
    rested.map_err(|why| Failure {
        why,
        choices: choices.to_vec(),
    })
}

/// The event that a choice stands for.
pub fn pick(world: &World, choice: u32) -> Event {
    let (kind, num) = (choice % 1_000, (choice / 1_000) as usize);
    let mut list = match kind {
        k if k < FAULTS => rare(world),
        k if k < FAULTS + TICKS => Vec::new(),
        _ => usual(world),
    };
    if list.is_empty() {
        return Event::Tick;
    }
    list.swap_remove(num % list.len())
}

fn rare(world: &World) -> Vec<Event> {
    let mut list = search::faults(world);
    // A domain is taken out at the end of a long run, if at all.
    list.retain(|e| *e != Event::Out || world.now > Millis(10_000));
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

fn usual(world: &World) -> Vec<Event> {
    let mut list = search::messages(world);
    list.retain(|e| !matches!(e, Event::Resume(_)) || world.now.0 % 3_000 == 0);
    for (n, node) in world.nodes.iter().enumerate() {
        if node.paused {
            continue;
        }
        if node.coord.epoch().is_some() && node.seen < world.store.rev {
            list.push(Event::Watch(n));
        }
        if node.coord.is_ready() && world.now.0 % 500 == 0 {
            let open = world
                .store
                .records
                .iter()
                .filter(|(_, r)| r.0.plan().is_none());
            let pick = (world.now.0 / 100) as u32;
            list.extend(open.map(|(id, _)| Event::Plan(n, id.clone(), pick)));
        }
    }
    list
}

/// Lets everything work again until every job has its outcome and nothing runs.
fn rest(world: &mut World) -> Result<usize, String> {
    world.out = None;
    for n in 0..world.nodes.len() {
        world.nodes[n].paused = false;
        world.nodes[n].muted = false;
        world.nodes[n].knows_out = false;
        world.feed(n, sched::Input::DomainOut(false));
    }
    let holder = (world.holder + 1) % world.nodes.len();
    world.apply(&Event::Elect(holder))?;
    for tick in 0..REST {
        settle(world, holder)?;
        if is_over(world) {
            return Ok(EPISODE + tick);
        }
        world.apply(&Event::Tick)?;
    }
    let open = world.store.records.values().filter(|(r, _)| !r.is_done());
    let open: Vec<_> = open.map(|(r, _)| (&r.spec.id, &r.phase)).collect();
    Err(format!("no end: {open:?}"))
}

fn settle(world: &mut World, holder: usize) -> Result<(), String> {
    for _ in 0..1_000 {
        let next = search::messages(world).into_iter().next();
        let Some(event) = next else {
            break;
        };
        world.apply(&event)?;
    }
    if world.nodes[holder].seen < world.store.rev {
        world.apply(&Event::Watch(holder))?;
    }
    if world.now.0 % 2_000 == 0 {
        plan_next(world, holder)?;
        end_all(world)?;
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

/// Ends the tasks of gangs that run as a whole.
fn end_all(world: &mut World) -> Result<(), String> {
    let mut ends = Vec::new();
    for (w, worker) in world.workers.iter().enumerate() {
        for (key, (report, _)) in &worker.tasks {
            if report.phase == TaskPhase::Running && is_whole(world, key) {
                ends.push(Event::End(w, key.clone(), true));
            }
        }
    }
    ends.iter().try_for_each(|e| world.apply(e))
}

fn is_whole(world: &World, key: &work::wire::TaskKey) -> bool {
    let size = world.store.records[&key.job].0.spec.shape.tasks as usize;
    let tasks = world.workers.iter().flat_map(|w| &w.tasks);
    let up = |p: TaskPhase| matches!(p, TaskPhase::Finished | TaskPhase::Running);
    let same = tasks.filter(|(k, t)| k.job == key.job && k.attempt == key.attempt && up(t.0.phase));
    same.count() == size
}

fn is_over(world: &World) -> bool {
    let done = world.store.records.values().all(|(r, _)| r.is_done());
    let mut tasks = world.workers.iter().flat_map(|w| w.tasks.values());
    done && !tasks.any(|t| t.0.phase.is_active())
}

/// Leaves out choices as long as the same kind of failure remains.
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

/// The events that choices stand for, for a report.
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
