//! Shows that random runs can detect violations: with each safety mechanism switched off, they
//! find the violation that the mechanism prevents.

mod model;

use model::soak;
use model::world::Params;
use sched::SafetyOverrides;
use yare::parameterized;

/// Number of episodes to try until one finds the violation.
const MAX_EPISODES: u64 = 400;

/// Parameters without the checks by the coordinators themselves, which would fail before the
/// effect is visible from outside.
fn params(overrides: SafetyOverrides) -> Params {
    Params {
        own_checks: false,
        ..soak::params(&overrides)
    }
}

/// Whether an episode finds a violation whose text contains `want`.
fn finds(params: &Params, want: &str) -> bool {
    let mut runs = (0..MAX_EPISODES).map(|seed| soak::episode(&soak::choices(seed), params));
    runs.any(|run| run.is_err_and(|failure| failure.reason.contains(want)))
}

#[parameterized(
    early_start = {
        SafetyOverrides { early_start: true, ..SafetyOverrides::default() }, "had run"
    },
    ignore_permit = {
        SafetyOverrides { ignore_permit: true, ..SafetyOverrides::default() }, "after the domain"
    },
    restart_all = {
        SafetyOverrides { restart_all: true, ..SafetyOverrides::default() }, "had run"
    },
    long_start = {
        SafetyOverrides { long_start: true, ..SafetyOverrides::default() }, "partially"
    },
)]
fn random_run_finds(overrides: SafetyOverrides, want: &str) {
    assert!(finds(&params(overrides), want));
}

/// If workers do not refuse lower epochs, a former coordinator keeps stopping the tasks of its
/// successor, and jobs never get an outcome.
#[test]
fn random_run_finds_missing_fencing() {
    let params = Params {
        fencing: false,
        ..params(SafetyOverrides::default())
    };
    assert!(finds(&params, "no outcome within"));
}
