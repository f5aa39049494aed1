//! Exhaustive searches of small worlds, and of the same with a mechanism switched off.

mod cases;
mod model;

use yare::parameterized;

/// States of one search in the tests; the example searches more.
const STATES: usize = 12_000;

#[parameterized(
    resend = { "resend" },
    replace = { "replace" },
    lost_pair = { "lost-pair" },
    single = { "single" },
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
)]
fn each_mechanism_is_needed(mechanism: &str, name: &str) {
    let all = cases::all(cases::without(mechanism).unwrap());
    let (_, world) = all.into_iter().find(|(n, _)| *n == name).unwrap();
    let found = model::search(world, usize::MAX, STATES);
    assert!(found.broken.is_some(), "no violation without {mechanism}");
}
