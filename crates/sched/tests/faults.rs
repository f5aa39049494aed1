//! Shows that random runs can detect violations: with each safety mechanism switched off, they
//! find the violation that the mechanism prevents.

mod model;

use model::soak;
use model::world::Params;
use sched::Faults;
use yare::parameterized;

/// Number of episodes to try until one finds the violation.
const MAX_EPISODES: u64 = 400;

/// Parameters without the checks by the coordinators themselves, which would fail before the
/// effect is visible from outside.
fn params(faults: Faults) -> Params {
    Params {
        own_checks: false,
        ..soak::params(&faults)
    }
}

/// Whether an episode finds a violation whose text contains `want`.
fn finds(params: &Params, want: &str) -> bool {
    let mut runs = (0..MAX_EPISODES).map(|seed| soak::episode(&soak::choices(seed), params));
    runs.any(|run| run.is_err_and(|failure| failure.reason.contains(want)))
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

/// If workers do not refuse lower epochs, a former coordinator keeps stopping the tasks of its
/// successor, and jobs never get an outcome.
#[test]
fn random_run_finds_missing_fencing() {
    let params = Params {
        fencing: false,
        ..params(Faults::default())
    };
    assert!(finds(&params, "no outcome within"));
}
