//! Each mechanism switched off: the random run finds the violation, seen from outside.

mod model;

use model::soak;
use model::world::Params;
use sched::Faults;
use yare::parameterized;

/// Episodes tried before a fault counts as not found.
const EPISODES: u64 = 400;

/// Parameters without the coordinators' own checks, so that the effect shows.
fn params(faults: Faults) -> Params {
    Params {
        inner: false,
        ..soak::params(&faults)
    }
}

/// Whether a violation is found whose text contains `want`.
fn finds(params: &Params, want: &str) -> bool {
    let mut runs = (0..EPISODES).map(|seed| soak::episode(&soak::choices(seed), params));
    runs.any(|run| run.is_err_and(|failure| failure.why.contains(want)))
}

#[parameterized(
    early_start = { Faults { early_start: true, ..Faults::default() }, "had run" },
    ignore_permit = { Faults { ignore_permit: true, ..Faults::default() }, "after the domain" },
    restart_all = { Faults { restart_all: true, ..Faults::default() }, "had run" },
    long_start = { Faults { long_start: true, ..Faults::default() }, "partially" },
)]
fn random_run_finds(faults: Faults, want: &str) {
    assert!(finds(&params(faults), want));
}

/// A former coordinator that workers do not refuse keeps ending the work of the next one.
#[test]
fn random_run_finds_workers_without_fence() {
    let params = Params {
        fence: false,
        ..params(Faults::default())
    };
    assert!(finds(&params, "no end"));
}
