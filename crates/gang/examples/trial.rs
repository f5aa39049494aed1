//! Replays synthetic job tables through the planner and two baselines, and prints one JSON line
//! for each case: `cargo run --release -p gang --example trial -- --site recovery-board --seeds
//! 20`.

#[path = "trial/baseline.rs"]
mod baseline;
#[path = "trial/replay.rs"]
mod replay;
#[path = "trial/table.rs"]
mod table;

use std::collections::BTreeSet;

use base::WorkerId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use serde_json::Value;

use baseline::Fifo;
use replay::Measures;
use replay::Replay;
use table::Site;

fn arg(name: &str) -> Option<String> {
    std::env::args().skip_while(|a| a != name).nth(1)
}

fn main() {
    let name = arg("--site").unwrap_or_else(|| "recovery-board".to_string());
    let seeds = arg("--seeds").and_then(|s| s.parse().ok()).unwrap_or(20);
    let selected_case = arg("--case");
    let Some(site) = table::SITES.iter().find(|s| s.name == name) else {
        eprintln!("sites: recovery-board, slatko-dvor, letter");
        return;
    };
    for case in table::CASES {
        if selected_case.as_deref().is_none_or(|c| c == case) {
            println!("{}", run_case(site, case, seeds));
        }
    }
}

fn run_case(site: &Site, case: &str, seeds: u64) -> Value {
    let runs: Vec<[Vec<f64>; 3]> = (0..seeds).map(|seed| run_seed(site, case, seed)).collect();
    let metrics = [
        "mean_s",
        "median_s",
        "p99_s",
        "fragmentation",
        "away_hours",
        "reclaim_s",
        "done",
        "lost",
    ];
    let mut line = json!({ "site": site.name, "case": case, "seeds": seeds });
    for (i, name) in metrics.iter().enumerate() {
        let summary = |policy: usize| mean_min_max(runs.iter().map(|r| r[policy][i]).collect());
        // Per seed, the better of the two baselines: the higher value for completed work, else
        // the lower.
        let better_baseline = |r: &[Vec<f64>; 3]| match i {
            4 | 6 => r[1][i].max(r[2][i]),
            _ => r[1][i].min(r[2][i]),
        };
        let ratio = runs
            .iter()
            .map(|r| r[0][i] / better_baseline(r).max(1e-9))
            .collect();
        line[*name] =
            json!({ "planner": summary(0), "first_fit": summary(1), "backfill": summary(2) });
        if i < 5 {
            line[*name]["ratio"] = mean_min_max(ratio);
        }
    }
    line
}

/// Mean, minimum and maximum.
fn mean_min_max(list: Vec<f64>) -> Value {
    let round = |x: f64| (x * 1000.0).round() / 1000.0;
    let mean = list.iter().sum::<f64>() / list.len() as f64;
    let min = list.iter().copied().fold(f64::MAX, f64::min);
    let max = list.iter().copied().fold(f64::MIN, f64::max);
    json!([round(mean), round(min), round(max)])
}

fn run_seed(site: &Site, case: &str, seed: u64) -> [Vec<f64>; 3] {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let jobs = table::job_table(site, case, &mut rng);
    let fleet = site.fleet();
    let failing = if case == "black-hole" { 3 } else { 0 };
    let pick = |_| {
        fleet[rng.random_range(0..site.workers.0 as usize)]
            .id
            .clone()
    };
    let failing: BTreeSet<WorkerId> = (0..failing).map(pick).collect();
    let mut planner = gang::Planner::new(site.policy());
    let run = |step: &mut dyn FnMut(_, _) -> _| {
        values_of(Replay::new(site, &jobs, case, failing.clone(), step).run())
    };
    let mut fifo = Fifo::new(false);
    let mut backfill = Fifo::new(true);
    [
        run(&mut |now, input| planner.step(now, input)),
        run(&mut |now, input| fifo.step(now, input)),
        run(&mut |now, input| backfill.step(now, input)),
    ]
}

fn values_of(mut m: Measures) -> Vec<f64> {
    m.times.sort_by(f64::total_cmp);
    let count = m.times.len().max(1);
    let mean = m.times.iter().sum::<f64>() / count as f64;
    let at = |q: f64| {
        m.times
            .get((count as f64 * q) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    let (done, lost) = (f64::from(m.done), f64::from(m.lost));
    vec![
        mean,
        at(0.5),
        at(0.99),
        m.fragmentation,
        m.away,
        m.reclaim,
        done,
        lost,
    ]
}
