//! Exhaustive search of a small world to a small depth. The example `search` goes deeper.

mod model;

use base::Attempt;
use base::JobId;
use base::Millis;
use model::event::Event;
use model::search;
use model::search::Search;
use model::world::Params;
use model::world::World;
use sched::SafetyOverrides;
use work::wire::TaskKey;
use yare::parameterized;

#[parameterized(
    planned = { search::planned, false, 6, 1 },
    starting = { search::starting, false, 5, 2 },
    starting_again = { search::starting, true, 5, 1 },
    running = { search::running, false, 6, 2 },
)]
fn no_violation(root: fn(Params) -> World, restartable: bool, depth: u8, faults: u8) {
    let world = root(search::small_params(
        restartable,
        SafetyOverrides::default(),
    ));
    let found = Search::run(&world, depth, faults);
    println!("{} states, {} events", found.states, found.events);
    assert_eq!(found.violation, None);
}

/// A world after `events`, with mechanisms switched off by `overrides`. Coordinators do not check
/// their invariants in it, so that a violation shows from outside.
fn world_after(root: fn(Params) -> World, overrides: SafetyOverrides, events: &[Event]) -> World {
    let mut params = search::small_params(false, overrides);
    params.own_checks = false;
    params.timing.run_lease = Millis(20);
    let mut world = root(params);
    for event in events {
        world.apply(event).expect("no violation before the search");
    }
    world
}

fn ready_world(params: Params) -> World {
    let mut world = World::new(params);
    search::run_until(&mut world, |w| w.nodes[0].coord.is_ready());
    world
}

fn task_key(num: u32) -> TaskKey {
    TaskKey {
        job: job_id(),
        attempt: Attempt(1),
        task: num,
    }
}

fn job_id() -> JobId {
    "j".parse().expect("job")
}

/// The domain is taken out of service, the node does not learn of it, and a job is placed after
/// its permit has expired.
fn missed_domain_out() -> Vec<Event> {
    let mut events = vec![Event::ToggleWatch(0), Event::TakeDomainOut];
    events.extend(vec![Event::Tick; 6]);
    events.push(Event::Plan(0, job_id(), 0));
    events
}

/// With a safety mechanism switched off, the search finds the violation that it prevents. With
/// the mechanism, the same events cause none.
#[parameterized(
    early_start = {
        SafetyOverrides { early_start: true, ..SafetyOverrides::default() }, search::starting,
        &[Event::DeliverCall(0), Event::Pause(0), Event::Elect(1)], 12, "had run"
    },
    ignore_permit = {
        SafetyOverrides { ignore_permit: true, ..SafetyOverrides::default() }, ready_world,
        &missed_domain_out(), 10, "after the domain"
    },
    long_start = {
        SafetyOverrides { long_start: true, ..SafetyOverrides::default() }, search::starting,
        &[Event::DeliverCall(0), Event::CrashNode(0)], 12, "partially"
    },
    restart_all = {
        SafetyOverrides { restart_all: true, ..SafetyOverrides::default() }, search::running,
        &[Event::EndTask(0, task_key(0), false)], 12, "had run"
    },
)]
fn search_finds(
    overrides: SafetyOverrides,
    root: fn(Params) -> World,
    events: &[Event],
    depth: u8,
    want: &str,
) {
    let found = Search::run_coarse(&world_after(root, overrides, events), depth, 0);
    println!("{} states, {} events", found.states, found.events);
    let (why, path) = found.violation.expect("the search finds a violation");
    assert!(why.contains(want), "{why}");
    let mut intact = world_after(root, SafetyOverrides::default(), events);
    let replayed = path.iter().try_for_each(|e| intact.try_apply(e));
    assert_eq!(
        replayed,
        Ok(()),
        "the same events cause no violation with the mechanism"
    );
}
