//! Simulation of a load burst beyond the capacity of the upstreams, in virtual time. Compares
//! the balancer with two baseline policies and prints one JSON line per policy.
//!
//! Models entry VMs, upstreams with slots, and callers that retry after the delay given with a
//! refusal. One upstream fails every request immediately. Goodput is the share of requests
//! answered within the caller's deadline.

mod simulation;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::json;

use crate::simulation::Policy;
use crate::simulation::RunStats;
use crate::simulation::Simulation;

/// Number of seeds if `--seeds` is not given.
const DEFAULT_SEEDS: u64 = 10;

fn main() {
    let seeds = std::env::args().skip_while(|a| a != "--seeds").nth(1);
    let seeds = seeds.and_then(|s| s.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    for policy in [Policy::Balancer, Policy::Random, Policy::RoundRobin] {
        let runs: Vec<RunStats> = (0..seeds).map(|seed| run(policy, seed)).collect();
        report(policy, &runs);
    }
}

fn run(policy: Policy, seed: u64) -> RunStats {
    let mut simulation = Simulation::new(policy, Pcg64::seed_from_u64(seed));
    simulation.run();
    simulation.stats
}

fn report(policy: Policy, runs: &[RunStats]) {
    let spread = |value: fn(&RunStats) -> f64| {
        let mut all: Vec<f64> = runs.iter().map(value).collect();
        all.sort_by(f64::total_cmp);
        let round = |x: f64| (x * 1000.0).round() / 1000.0;
        json!({
            "min": round(all[0]),
            "median": round(all[all.len() / 2]),
            "max": round(all[all.len() - 1]),
        })
    };
    let line = json!({
        "policy": policy.name(),
        "seeds": runs.len(),
        "goodput_before": spread(|t| t.goodput(0)),
        "goodput_burst": spread(|t| t.goodput(1)),
        "goodput_after": spread(|t| t.goodput(2)),
        "failed_by_bad_upstream": spread(|t| t.failed as f64 / t.offered() as f64),
        "sends_a_request": spread(|t| t.sends as f64 / t.offered() as f64),
        "p99_ms": spread(|t| t.p99()),
        "large_org_in_burst": spread(|t| t.org_goodput(0)),
        "small_org_in_burst": spread(|t| t.org_goodput(2)),
    });
    println!("{line}");
}
