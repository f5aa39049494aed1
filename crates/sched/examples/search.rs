//! Exhaustive search of a small world up to a depth and a number of faults:
//! `cargo run --release -p sched --example search -- --depth N --faults N`.
//! With `--coarse 1`, an answer arrives at once or never, which reaches deeper in the same time.

#[path = "../tests/model/mod.rs"]
mod model;

use std::env::args;
use std::process::exit;
use std::time::Instant;

use model::search;
use model::search::Search;
use model::world::Params;
use model::world::World;
use sched::SafetyOverrides;

/// Builds the state from which a search begins.
type Root = fn(Params) -> World;

/// Value of a command-line option, or `default`.
fn option(name: &str, default: u8) -> u8 {
    let mut args = args().skip_while(|a| a != name);
    let value = args.nth(1).and_then(|v| v.parse().ok());
    value.unwrap_or(default)
}

fn main() {
    let depth = option("--depth", 10);
    let faults = option("--faults", 1);
    let run = match option("--coarse", 0) {
        0 => Search::run,
        _ => Search::run_coarse,
    };
    let roots: [(&str, Root); 3] = [
        ("planned", search::planned),
        ("starting", search::starting),
        ("running", search::running),
    ];
    for (name, root) in roots {
        for restartable in [false, true] {
            let world = root(search::small_params(
                restartable,
                SafetyOverrides::default(),
            ));
            let begun = Instant::now();
            let found = run(&world, depth, faults);
            let secs = begun.elapsed().as_secs_f64();
            let Some((reason, events)) = found.violation else {
                let (states, events) = (found.states, found.events);
                println!(
                    "{name}, restartable {restartable}, depth {depth}, faults {faults}: \
                     {states} states, {events} events, {secs:.1} s, no violation"
                );
                continue;
            };
            println!("{name}, restartable {restartable}: {reason}\n{events:#?}");
            exit(1);
        }
    }
}
