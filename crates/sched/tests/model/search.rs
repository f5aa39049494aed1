//! Depth-first search over all events of a small world.

use std::collections::hash_map::DefaultHasher;
use std::collections::hash_map::Entry;
use std::fmt::Write as _;
use std::hash::Hasher;

use base::Map;
use base::Millis;
use sched::CallBody;
use sched::Faults;
use sched::Timing;
use work::wire::TaskPhase;

use super::event::Event;
use super::site;
use super::world::Call;
use super::world::Params;
use super::world::World;

/// What a search found.
#[derive(Debug, Default)]
pub struct Found {
    /// Distinct states.
    pub states: usize,
    /// Events carried out.
    pub events: u64,
    /// The first violation with the events that led to it.
    pub violation: Option<(String, Vec<Event>)>,
}

/// Bounds in ticks for a small world.
pub fn small_timing() -> Timing {
    Timing {
        call_delay: Millis(2),
        call_wait: Millis(1),
        call_retry: Millis(0),
        hold_lease: Millis(3),
        start_lease: Millis(3),
        run_lease: Millis(6),
        renew_every: Millis(2),
        poll_least: Millis(500),
        reserve_within: Millis(2),
        commit_within: Millis(4),
        start_within: Millis(2),
        save_within: Millis(2),
        silent_after: Millis(4),
        takeover_within: Millis(1),
        write_wait: Millis(1),
        write_retry: Millis(0),
        write_rate: 1000,
    }
}

/// Two nodes, two workers, one gang of two tasks.
pub fn small(restartable: bool, faults: Faults) -> Params {
    Params {
        workers: 2,
        nodes: 2,
        accels: 1,
        jobs: vec![site::job_spec("j", 2, restartable)],
        timing: small_timing(),
        faults,
        tick: Millis(1),
        inner: true,
        fence: true,
        permit: Millis(2),
    }
}

/// Delivers everything in order until `stop` holds.
pub fn run_until(world: &mut World, stop: impl Fn(&World) -> bool) {
    for _ in 0..200 {
        if stop(world) {
            return;
        }
        let event = messages(world).into_iter().next().unwrap_or(Event::Tick);
        world.apply(&event).expect("no violation without faults");
    }
    panic!("the state that was waited for did not come");
}

/// A world whose coordinator was told to start the gang.
pub fn planned(params: Params) -> World {
    let mut world = World::new(params);
    run_until(&mut world, |w| w.nodes[0].coord.is_ready());
    let job = world.params.jobs[0].id.clone();
    world.apply(&Event::Plan(0, job, 0)).expect("no violation");
    world
}

/// The same with start operations on their way.
pub fn starting(params: Params) -> World {
    let mut world = planned(params);
    run_until(&mut world, |w| w.calls.iter().any(|c| has_start(&c.body)));
    world
}

/// The same with the whole gang running and known to run.
pub fn running(params: Params) -> World {
    let mut world = planned(params);
    run_until(&mut world, |w| {
        let tasks = w.workers.iter().flat_map(|w| w.tasks.values());
        let running = tasks.filter(|t| t.0.phase == TaskPhase::Running);
        running.count() == 2 && w.calls.is_empty()
    });
    world
}

fn has_start(body: &CallBody) -> bool {
    let CallBody::Tasks(call) = body else {
        return false;
    };
    let start = |op: &work::wire::TaskOp| matches!(op, work::wire::TaskOp::Start { .. });
    call.ops.iter().any(start)
}

/// Messages that can be delivered, and paused processes that can go on.
pub fn messages(world: &World) -> Vec<Event> {
    let live = |n: usize| !world.nodes[n].paused;
    let mut list = Vec::new();
    for (i, call) in world.calls.iter().enumerate() {
        match call.result {
            Some(_) if live(call.node) => list.push(Event::Reply(i)),
            None if live(call.node) => list.push(Event::Deliver(i)),
            _ => {}
        }
    }
    for (i, write) in world.writes.iter().enumerate() {
        match write.result {
            Some(_) if live(write.node) => list.push(Event::Wrote(i)),
            None => list.push(Event::Apply(i)),
            _ => {}
        }
    }
    for (n, node) in world.nodes.iter().enumerate() {
        if node.paused {
            list.push(Event::Resume(n));
        }
    }
    list
}

/// The same without late answers: an answer comes at once or never.
fn exchanges(world: &World) -> Vec<Event> {
    let mut list = Vec::new();
    for event in messages(world) {
        match event {
            Event::Apply(i) if !world.writes[i].told => {
                list.extend([Event::Store(i), Event::Apply(i)]);
            }
            Event::Deliver(i) if !world.calls[i].told => {
                list.extend([Event::Exchange(i), Event::Deliver(i)]);
            }
            Event::Reply(_) | Event::Wrote(_) => {}
            other => list.push(other),
        }
    }
    list
}

/// Faults that can happen.
pub fn faults(world: &World) -> Vec<Event> {
    let mut list = Vec::new();
    if world.out.is_none() {
        list.push(Event::Out);
    }
    for n in 0..world.nodes.len() {
        if world.nodes[n].coord.epoch().is_some() {
            list.push(Event::Mute(n));
        }
        if n != world.holder {
            list.push(Event::Elect(n));
        } else if !world.nodes[n].paused {
            list.push(Event::Pause(n));
            list.push(Event::CrashNode(n));
        }
    }
    for (i, call) in world.calls.iter().enumerate() {
        if call.result.is_none() && !call.told {
            list.push(Event::Copy(i));
        }
    }
    for (i, worker) in world.workers.iter().enumerate() {
        if !worker.tasks.is_empty() {
            list.push(Event::CrashWorker(i));
        }
        for (key, (report, _)) in &worker.tasks {
            if report.phase == TaskPhase::Running {
                list.push(Event::End(i, key.clone(), true));
                list.push(Event::End(i, key.clone(), false));
            }
        }
    }
    for (id, (rec, _)) in &world.store.records {
        if !rec.is_done() && !rec.cancel {
            list.push(Event::Cancel(id.clone()));
        }
    }
    list
}

/// What the planner and the watch of each node may do.
fn hosts(world: &World) -> Vec<Event> {
    let mut list = Vec::new();
    for (n, node) in world.nodes.iter().enumerate() {
        let elected = node.coord.epoch().is_some() && !node.paused;
        if elected && node.seen < world.store.rev {
            list.push(Event::Watch(n));
        }
        let idle = node.coord.is_ready() && node.coord.counts() == (1, 0);
        if idle && !node.paused {
            list.push(Event::Plan(n, world.params.jobs[0].id.clone(), 0));
        }
    }
    list
}

/// Search with a bound on events and, within it, on faults.
pub struct Search {
    /// Whether answers come at once or never.
    coarse: bool,
    seen: Map<u64, (u8, u8)>,
    path: Vec<Event>,
    found: Found,
}

impl Search {
    /// Searches from `world`.
    pub fn run(world: &World, depth: u8, faults: u8) -> Found {
        Search::begin(world, depth, faults, false)
    }

    /// Searches deeper with fewer interleavings: answers come at once or never.
    pub fn run_coarse(world: &World, depth: u8, faults: u8) -> Found {
        Search::begin(world, depth, faults, true)
    }

    fn begin(world: &World, depth: u8, faults: u8, coarse: bool) -> Found {
        let mut search = Search {
            coarse,
            seen: Map::default(),
            path: Vec::new(),
            found: Found::default(),
        };
        search.visit(world, depth, faults);
        search.found.states = search.seen.len();
        search.found
    }

    fn visit(&mut self, world: &World, depth: u8, budget: u8) {
        if depth == 0 || self.found.violation.is_some() || !self.is_new(world, depth, budget) {
            return;
        }
        let mut events = if self.coarse {
            exchanges(world)
        } else {
            messages(world)
        };
        events.push(Event::Tick);
        events.extend(hosts(world));
        if budget > 0 {
            events.extend(faults(world));
        }
        for event in events {
            let mut next = world.clone();
            self.found.events += 1;
            self.path.push(event.clone());
            match next.apply(&event) {
                Ok(()) => self.visit(&next, depth - 1, budget - u8::from(event.is_fault())),
                Err(why) => self.found.violation = Some((why, self.path.clone())),
            }
            self.path.pop();
            if self.found.violation.is_some() {
                return;
            }
        }
    }

    /// Whether the state was not yet visited with as much depth and budget left.
    fn is_new(&mut self, world: &World, depth: u8, budget: u8) -> bool {
        match self.seen.entry(fingerprint(world)) {
            Entry::Vacant(slot) => {
                slot.insert((depth, budget));
                true
            }
            Entry::Occupied(mut slot) => {
                let (deep, left) = *slot.get();
                let known = deep >= depth && left >= budget;
                if !known {
                    slot.insert((depth, budget));
                }
                !known
            }
        }
    }
}

/// Hashes a debug text without the ids of calls, which only tell the order of sending.
#[derive(Default)]
struct Sink {
    hasher: DefaultHasher,
    skips: bool,
}

impl std::fmt::Write for Sink {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        if !self.skips {
            self.hasher.write(text.as_bytes());
        }
        self.skips = text == "CallId" || (self.skips && text != ")");
        Ok(())
    }
}

/// Hash of a whole state.
fn fingerprint(world: &World) -> u64 {
    let mut sink = Sink::default();
    let mut calls: Vec<&Call> = world.calls.iter().collect();
    calls.sort_by_key(|c| (c.node, c.worker, c.told, c.sent, c.id));
    let state = (
        &world.now,
        &world.nodes,
        &world.workers,
        &world.store,
        &calls,
        &world.writes,
        &world.out,
        &world.holder,
        &world.observer,
    );
    write!(sink, "{state:?}").expect("a sink takes everything");
    sink.hasher.finish()
}
