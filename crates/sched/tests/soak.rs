//! Random runs with fixed seeds find no violation.

mod model;

use model::soak;
use sched::SafetyOverrides;
use yare::parameterized;

#[parameterized(first = { 1 }, second = { 2_250 }, third = { 10_250 }, fourth = { 30_000 })]
fn random_run(seed: u64) {
    let params = soak::params(&SafetyOverrides::default());
    for seed in seed..seed + 15 {
        if let Err(failure) = soak::episode(&soak::choices(seed), &params) {
            let shrunk = soak::shrink(failure, &params);
            panic!(
                "seed {seed}: {}\n{:#?}",
                shrunk.reason,
                soak::trace(&shrunk.choices, &params)
            );
        }
    }
}
