//! Exhaustive searches of small worlds, and of the same with a mechanism switched off.

mod cases;
mod model;

use yare::parameterized;

/// States of one search in the tests; the example searches more.
const STATES: usize = 10_000;

/// States up to which a violation has to be found.
const SOON: usize = 30_000;

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
fn nothing_breaks(name: &str) {
    let all = cases::all(Default::default());
    let (_, world) = all.into_iter().find(|(n, _)| *n == name).unwrap();
    let found = model::search(world, usize::MAX, STATES);
    assert_eq!(found.broken, None);
    assert!(found.whole || found.states >= STATES);
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
    let (_, world) = all.into_iter().find(|(n, _)| *n == name).unwrap();
    let found = model::search(world, usize::MAX, SOON);
    assert!(found.broken.is_some(), "no violation without {mechanism}");
}
