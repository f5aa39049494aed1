//! Runs the claim state machine with long random sequences of events:
//! `cargo run --release -p claim --example soak -- --seed 1 --runs 100 --steps 20000`.
//! `--without MECHANISM` disables a safety mechanism. Each run uses the next seed.

#[path = "../tests/model/mod.rs"]
mod model;

#[path = "../tests/cases/mod.rs"]
mod cases;

use std::time::Instant;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let text = |name: &str| {
        let at = args.iter().position(|a| a == name);
        at.and_then(|i| args.get(i + 1).cloned())
    };
    let number = |name: &str, default: u64| text(name).map_or(default, |t| t.parse().unwrap());
    let first = number("--seed", 1);
    let runs = number("--runs", 10);
    let steps = number("--steps", 20_000) as usize;
    let off = text("--without").and_then(|name| cases::without(&name));
    let limits = cases::limits(off.unwrap_or_default());
    let start = Instant::now();
    let mut ran = 0;
    let mut replies = [0; 3];
    for seed in first..first + runs {
        let walk = model::walk(seed, steps, &limits);
        ran += walk.ran;
        for (sum, count) in replies.iter_mut().zip(walk.replies) {
            *sum += count;
        }
        if let Some((problem, events)) = walk.violation {
            println!("seed {seed}: {problem} after {} events", events.len());
            let events = model::shrink(seed, &limits, events);
            for line in model::describe(seed, &limits, &events) {
                println!("    {line}");
            }
            std::process::exit(1);
        }
    }
    let [answers, not_run, unknown] = replies;
    println!(
        "runs {runs} of {steps} events: ran {ran}, answers {answers}, not run {not_run}, \
         unknown {unknown}, violations 0, in {:.1}s",
        start.elapsed().as_secs_f64()
    );
}
