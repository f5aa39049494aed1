//! Soak test with random operations: `cargo run --release -p gang --example soak -- --seed 1
//! --steps 10000000`. On a failure it prints the seed, the step and a minimised list of
//! operations, and exits with status 1.

#[path = "../tests/world/mod.rs"]
mod world;

use std::process::ExitCode;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use world::minimise;
use world::Op;
use world::World;

/// Steps before a new world starts, so that a failing sequence stays short enough to minimise.
const STEPS_PER_WORLD: usize = 20_000;

fn arg(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|a| a != name).skip(1);
    args.next().and_then(|a| a.parse().ok()).unwrap_or(default)
}

fn main() -> ExitCode {
    let seed = arg("--seed", 1);
    let steps = arg("--steps", 1_000_000) as usize;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut done = 0;
    while done < steps {
        let count = STEPS_PER_WORLD.min(steps - done);
        let ops: Vec<Op> = (0..count)
            .map(|_| Op(rng.random(), rng.random(), rng.random()))
            .collect();
        let mut world = World::new();
        for (i, op) in ops.iter().enumerate() {
            if let Some(failure) = world.run(*op) {
                println!("seed {seed}, step {}: {failure}", done + i);
                println!("{:#?}", minimise(&ops[..=i]));
                return ExitCode::FAILURE;
            }
        }
        done += count;
    }
    println!("seed {seed}: {done} steps, no violation");
    ExitCode::SUCCESS
}
