//! Exhaustive search of a small world. Deeper by `--example search`.

mod model;

use model::search;
use model::search::Search;
use model::world::Params;
use model::world::World;
use sched::Faults;
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
