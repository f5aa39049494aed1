//! Exhaustive searches of small cases, with all safety mechanisms and with one disabled.

mod cases;
mod model;

use yare::parameterized;

/// Maximum number of states in one test; the example searches more.
const MAX_STATES: usize = 10_000;

/// Maximum number of states within which a violation has to be found.
const MAX_STATES_TO_VIOLATION: usize = 30_000;

#[parameterized(
    resend = { "resend" },
    replace = { "replace" },
    lost_pair = { "lost-pair" },
    single = { "single" },
    timed = { "timed" },
    promise = { "promise" },
    closed = { "closed" },
    closed_late = { "closed-late" },
    chain = { "chain" },
    two_ids = { "two-ids" },
    refusals = { "refusals" },
    late = { "late" },
)]
fn no_violation_found(name: &str) {
    let all = cases::all(Default::default());
    let (_, system) = all.into_iter().find(|(n, _)| *n == name).unwrap();
    let result = model::search(system, usize::MAX, MAX_STATES);
    assert_eq!(result.violation, None);
    assert!(result.exhaustive || result.states >= MAX_STATES);
}

#[parameterized(
    copy = { "copy", "replace" },
    doubt = { "doubt", "single" },
    nonce = { "nonce", "resend" },
    promise = { "promise", "promise" },
    lease = { "lease", "timed" },
    tombstone = { "tombstone", "closed-late" },
)]
fn each_mechanism_is_needed(mechanism: &str, name: &str) {
    let all = cases::all(cases::without(mechanism).unwrap());
    let (_, system) = all.into_iter().find(|(n, _)| *n == name).unwrap();
    let result = model::search(system, usize::MAX, MAX_STATES_TO_VIOLATION);
    assert!(
        result.violation.is_some(),
        "no violation without {mechanism}"
    );
}
