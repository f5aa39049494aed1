//! Searches all orders of events around the claim state machine:
//! `cargo run --release -p claim --example search -- --depth 12 --states 3000000`.
//! `--case NAME` searches a single case; `--without MECHANISM` disables a safety mechanism.

#[path = "../tests/model/mod.rs"]
mod model;

#[path = "../tests/cases/mod.rs"]
mod cases;

use std::time::Instant;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |name: &str, default: usize| {
        let at = args.iter().position(|a| a == name);
        at.and_then(|i| args.get(i + 1)?.parse().ok())
            .unwrap_or(default)
    };
    let depth = number("--depth", 10);
    let states = number("--states", 3_000_000);
    let text = |name: &str| {
        let at = args.iter().position(|a| a == name);
        at.and_then(|i| args.get(i + 1).cloned())
    };
    let off = text("--without").and_then(|name| cases::without(&name));
    let only = text("--case");
    let mut bad = false;
    for (name, system) in cases::all(off.unwrap_or_default()) {
        if only.as_ref().is_some_and(|o| o != name) {
            continue;
        }
        let start = Instant::now();
        let result = model::search(system, depth, states);
        println!(
            "{name}: depth {} states {} steps {} whole {} in {:.1}s",
            result.depth,
            result.states,
            result.steps,
            result.exhaustive,
            start.elapsed().as_secs_f64()
        );
        if let Some((problem, trace)) = result.violation {
            bad = true;
            println!("  {problem}");
            for event in trace {
                println!("    {event:?}");
            }
        }
    }
    std::process::exit(bad as i32);
}
