//! Depth-first search through all sequences of events in a small world.

use std::collections::hash_map::DefaultHasher;
use std::collections::hash_map::Entry;
use std::fmt::Write as _;
use std::hash::Hasher;

use base::Map;
use base::Millis;
use sched::CallBody;
use sched::SafetyOverrides;
use sched::Timing;
use work::wire::TaskPhase;

use super::event::Event;
use super::site;
use super::world::Call;
use super::world::Params;
use super::world::World;

/// Result of a search.
#[derive(Debug, Default)]
pub struct Found {
    /// Distinct states.
    pub states: usize,
    /// Events carried out.
    pub events: u64,
    /// The first violation, with the events that led to it.
    pub violation: Option<(String, Vec<Event>)>,
}

/// Short timing for a small world, in ticks of 1 ms.
pub fn small_timing() -> Timing {
    Timing {
        call_lifetime: Millis(2),
        call_timeout: Millis(1),
        retry_pause: Millis(0),
        reserve_lease: Millis(3),
        start_lease: Millis(3),
        run_lease: Millis(6),
        renew_interval: Millis(2),
        min_poll: Millis(500),
        reserve_timeout: Millis(2),
        commit_timeout: Millis(4),
        start_timeout: Millis(2),
        checkpoint_timeout: Millis(2),
        silence_timeout: Millis(4),
        takeover_timeout: Millis(1),
        write_timeout: Millis(1),
        write_pause: Millis(0),
        write_rate: 1000,
    }
}

/// Parameters of a small world: two nodes, two workers, and one gang of two tasks.
pub fn small_params(restartable: bool, overrides: SafetyOverrides) -> Params {
    Params {
        workers: 2,
        nodes: 2,
        accels: 1,
        jobs: vec![site::job_spec("j", 2, restartable)],
        timing: small_timing(),
        overrides,
        tick: Millis(1),
        own_checks: true,
        fencing: true,
        permit_period: Millis(2),
    }
}

/// Delivers all messages in order until `stop` holds.
pub fn run_until(world: &mut World, stop: impl Fn(&World) -> bool) {
    for _ in 0..200 {
        if stop(world) {
            return;
        }
        let event = message_events(world)
            .into_iter()
            .next()
            .unwrap_or(Event::Tick);
        world.apply(&event).expect("no violation without faults");
    }
    panic!("the awaited state was not reached within 200 events");
}

/// A world whose coordinator has received the placement of the gang.
pub fn planned(params: Params) -> World {
    let mut world = World::new(params);
    run_until(&mut world, |w| w.nodes[0].coord.is_ready());
    let job = world.params.jobs[0].id.clone();
    world.apply(&Event::Plan(0, job, 0)).expect("no violation");
    world
}

/// A world in which start operations of the gang are in flight.
pub fn starting(params: Params) -> World {
    let mut world = planned(params);
    run_until(&mut world, |w| w.calls.iter().any(|c| has_start(&c.body)));
    world
}

/// A world in which the whole gang runs and its coordinator knows it.
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

/// Messages that can be delivered, and paused nodes that can resume.
pub fn message_events(world: &World) -> Vec<Event> {
    let live = |n: usize| !world.nodes[n].paused;
    let mut list = Vec::new();
    for (i, call) in world.calls.iter().enumerate() {
        match call.result {
            Some(_) if live(call.node) => list.push(Event::DeliverReply(i)),
            None if live(call.node) => list.push(Event::DeliverCall(i)),
            _ => {}
        }
    }
    for (i, write) in world.writes.iter().enumerate() {
        match write.result {
            Some(_) if live(write.node) => list.push(Event::DeliverWriteResult(i)),
            None => list.push(Event::ApplyWrite(i)),
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

/// Like [`message_events`], but an answer arrives at once or never.
fn coarse_events(world: &World) -> Vec<Event> {
    let mut list = Vec::new();
    for event in message_events(world) {
        match event {
            Event::ApplyWrite(i) if !world.writes[i].abandoned => {
                list.extend([Event::WriteRoundTrip(i), Event::ApplyWrite(i)]);
            }
            Event::DeliverCall(i) if !world.calls[i].abandoned => {
                list.extend([Event::CallRoundTrip(i), Event::DeliverCall(i)]);
            }
            Event::DeliverReply(_) | Event::DeliverWriteResult(_) => {}
            other => list.push(other),
        }
    }
    list
}

/// Faults that can happen in this state.
pub fn fault_events(world: &World) -> Vec<Event> {
    let mut list = Vec::new();
    if world.domain_out.is_none() {
        list.push(Event::TakeDomainOut);
    }
    for n in 0..world.nodes.len() {
        if world.nodes[n].coord.epoch().is_some() {
            list.push(Event::ToggleWatch(n));
        }
        if n != world.lock_holder {
            list.push(Event::Elect(n));
        } else if !world.nodes[n].paused {
            list.push(Event::Pause(n));
            list.push(Event::CrashNode(n));
        }
    }
    for (i, call) in world.calls.iter().enumerate() {
        if call.result.is_none() && !call.abandoned {
            list.push(Event::DuplicateCall(i));
        }
    }
    for (i, worker) in world.workers.iter().enumerate() {
        if !worker.tasks.is_empty() {
            list.push(Event::CrashWorker(i));
        }
        for (key, (report, _)) in &worker.tasks {
            if report.phase == TaskPhase::Running {
                list.push(Event::EndTask(i, key.clone(), true));
                list.push(Event::EndTask(i, key.clone(), false));
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

/// Events of the planner and the record watch of each node.
fn host_events(world: &World) -> Vec<Event> {
    let mut list = Vec::new();
    for (n, node) in world.nodes.iter().enumerate() {
        let elected = node.coord.epoch().is_some() && !node.paused;
        if elected && node.seen_rev < world.store.rev {
            list.push(Event::DeliverRecords(n));
        }
        let idle = node.coord.is_ready() && node.coord.counts() == (1, 0);
        if idle && !node.paused {
            list.push(Event::Plan(n, world.params.jobs[0].id.clone(), 0));
        }
    }
    list
}

/// Search bounded by the number of events and of faults among them.
pub struct Search {
    /// Whether an answer arrives at once or never.
    coarse: bool,
    /// Depth and number of faults left when a state was last searched, by fingerprint.
    visited: Map<u64, (u8, u8)>,
    path: Vec<Event>,
    found: Found,
}

impl Search {
    /// Searches all interleavings from `world`.
    pub fn run(world: &World, depth: u8, faults: u8) -> Found {
        Search::begin(world, depth, faults, false)
    }

    /// Searches only interleavings in which an answer arrives at once or never. Reaches deeper in
    /// the same time.
    pub fn run_coarse(world: &World, depth: u8, faults: u8) -> Found {
        Search::begin(world, depth, faults, true)
    }

    fn begin(world: &World, depth: u8, faults: u8, coarse: bool) -> Found {
        let mut search = Search {
            coarse,
            visited: Map::default(),
            path: Vec::new(),
            found: Found::default(),
        };
        search.visit(world, depth, faults);
        search.found.states = search.visited.len();
        search.found
    }

    fn visit(&mut self, world: &World, depth: u8, budget: u8) {
        if depth == 0 || self.found.violation.is_some() || !self.is_new(world, depth, budget) {
            return;
        }
        let mut events = if self.coarse {
            coarse_events(world)
        } else {
            message_events(world)
        };
        events.push(Event::Tick);
        events.extend(host_events(world));
        if budget > 0 {
            events.extend(fault_events(world));
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

    /// Whether the state was not yet searched with at least as much depth and fault budget left.
    fn is_new(&mut self, world: &World, depth: u8, budget: u8) -> bool {
        match self.visited.entry(fingerprint(world)) {
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

/// Hashes a debug text without the ids of calls, which differ between otherwise equal states.
#[derive(Default)]
struct FingerprintHasher {
    hasher: DefaultHasher,
    skipping: bool,
}

impl std::fmt::Write for FingerprintHasher {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        if !self.skipping {
            self.hasher.write(text.as_bytes());
        }
        self.skipping = text == "CallId" || (self.skipping && text != ")");
        Ok(())
    }
}

/// Hash of the state of a world.
fn fingerprint(world: &World) -> u64 {
    let mut hasher = FingerprintHasher::default();
    let mut calls: Vec<&Call> = world.calls.iter().collect();
    calls.sort_by_key(|c| (c.node, c.worker, c.abandoned, c.sent, c.id));
    let state = (
        &world.now,
        &world.nodes,
        &world.workers,
        &world.store,
        &calls,
        &world.writes,
        &world.domain_out,
        &world.lock_holder,
        &world.observer,
    );
    write!(hasher, "{state:?}").expect("the hasher accepts all text");
    hasher.hasher.finish()
}
