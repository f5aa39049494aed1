//! Random run over many episodes:
//! `cargo run --release -p sched --example soak -- --seed N --steps N`.

#[path = "../tests/model/mod.rs"]
mod model;

use std::env::args;
use std::process::exit;

use model::soak;
use sched::SafetyOverrides;

/// Value of a command-line option, or `default`.
fn option(name: &str, default: u64) -> u64 {
    let mut args = args().skip_while(|a| a != name);
    let value = args.nth(1).and_then(|v| v.parse().ok());
    value.unwrap_or(default)
}

fn main() {
    let seed = option("--seed", 1);
    let steps = option("--steps", 1_000_000) as usize;
    let params = soak::params(&SafetyOverrides::default());
    let mut done = 0;
    let mut episodes = 0;
    while done < steps {
        let choices = soak::choices(seed + episodes);
        match soak::episode(&choices, &params) {
            Ok(events) => done += events,
            Err(failure) => {
                let shrunk = soak::shrink(failure, &params);
                println!("seed {}: {}", seed + episodes, shrunk.reason);
                for line in soak::trace(&shrunk.choices, &params) {
                    println!("{line}");
                }
                exit(1);
            }
        }
        episodes += 1;
    }
    println!(
        "seeds {seed} to {}: {done} steps in {episodes} episodes, no violation",
        seed + episodes - 1
    );
}
