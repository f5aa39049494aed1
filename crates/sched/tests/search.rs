//! Exhaustive search of a small world. Deeper by `--example search`.

mod model;

use base::Attempt;
use base::JobId;
use base::Millis;
use model::event::Event;
use model::search;
use model::search::Search;
use model::world::Params;
use model::world::World;
use sched::Faults;
use work::wire::TaskKey;
use yare::parameterized;

#[parameterized(
    planned = { search::planned, false, 6, 1 },
    starting = { search::starting, false, 5, 2 },
    starting_again = { search::starting, true, 5, 1 },
    running = { search::running, false, 6, 2 },
)]
fn no_violation(root: fn(Params) -> World, restartable: bool, depth: u8, faults: u8) {
    let world = root(search::small(restartable, Faults::default()));
    let found = Search::run(&world, depth, faults);
    println!("{} states, {} events", found.states, found.events);
    assert_eq!(found.violation, None);
}

/// A world in a state in which a mechanism matters, and what happened before the search.
fn scene(root: fn(Params) -> World, faults: Faults, events: &[Event]) -> World {
    let mut params = search::small(false, faults);
    params.inner = false;
    params.timing.run_lease = Millis(20);
    let mut world = root(params);
    for event in events {
        world.apply(event).expect("no violation yet");
    }
    world
}

fn ready(params: Params) -> World {
    let mut world = World::new(params);
    search::run_until(&mut world, |w| w.nodes[0].coord.is_ready());
    world
}

fn task(num: u32) -> TaskKey {
    TaskKey {
        job: job(),
        attempt: Attempt(1),
        task: num,
    }
}

fn job() -> JobId {
    "j".parse().expect("job")
}

/// The domain is out for longer than the bound, and the node does not know it.
fn out_unseen() -> Vec<Event> {
    let mut events = vec![Event::Mute(0), Event::Out];
    events.extend(vec![Event::Tick; 6]);
    events.push(Event::Plan(0, job(), 0));
    events
}

#[parameterized(
    early_start = {
        Faults { early_start: true, ..Faults::default() }, search::starting,
        &[Event::Deliver(0), Event::Pause(0), Event::Elect(1)], 12, "had run"
    },
    ignore_permit = {
        Faults { ignore_permit: true, ..Faults::default() }, ready,
        &out_unseen(), 10, "after the domain"
    },
    long_start = {
        Faults { long_start: true, ..Faults::default() }, search::starting,
        &[Event::Deliver(0), Event::CrashNode(0)], 12, "partially"
    },
    restart_all = {
        Faults { restart_all: true, ..Faults::default() }, search::running,
        &[Event::End(0, task(0), false)], 12, "had run"
    },
)]
fn search_finds(
    faults: Faults,
    root: fn(Params) -> World,
    events: &[Event],
    depth: u8,
    want: &str,
) {
    let found = Search::run_coarse(&scene(root, faults, events), depth, 0);
    println!("{} states, {} events", found.states, found.events);
    let (why, path) = found.violation.expect("a violation");
    assert!(why.contains(want), "{why}");
    let mut sound = scene(root, Faults::default(), events);
    let repeated = path.iter().try_for_each(|e| sound.try_apply(e));
    assert_eq!(
        repeated,
        Ok(()),
        "the same events do no harm with the mechanism"
    );
}
